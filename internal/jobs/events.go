package jobs

import (
	"sync/atomic"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/wire"
)

// eventOutcomeRunning is the outcome of an event that reports the start of all
// tasks. The other outcomes are the values of framework.Outcome.
const eventOutcomeRunning = "running"

// eventTracker tracks which events of one agent incarnation are applied and
// which of these are durable. The incarnation never changes, and acked may be read
// on any goroutine; the other fields belong to the goroutine of the term.
type eventTracker struct {
	incarnation string
	applied     uint64          // highest sequence number applied
	pending     []uint64        // applied but not acknowledged, in ascending order
	durable     map[uint64]bool // the sequence numbers in pending that are durable
	// acked is the highest sequence number up to which all events are durable.
	acked atomic.Uint64
}

// receiveEvents passes events on to the goroutine of the term and returns the
// sequence number up to which events are durable now. It does not wait for the
// new ones, since agents repeat events until they are acknowledged.
func (t *term) receiveEvents(worker, incarnation string, events []wire.GangEvent) uint64 {
	if v, ok := t.publishedTrackers.Load(worker); ok {
		if tracker := v.(*eventTracker); tracker.incarnation == incarnation {
			acked := tracker.acked.Load()
			if len(events) == 0 || events[len(events)-1].Seq <= acked {
				return acked
			}
			defer t.post(func() { t.applyEvents(worker, incarnation, events) })
			return acked
		}
	}
	if len(events) > 0 {
		t.post(func() { t.applyEvents(worker, incarnation, events) })
	}
	return 0
}

func (t *term) applyEvents(worker, incarnation string, events []wire.GangEvent) {
	if !t.settled {
		return // the agent sends them again
	}
	tracker := t.trackers[worker]
	if tracker == nil || tracker.incarnation != incarnation {
		tracker = &eventTracker{incarnation: incarnation, durable: make(map[uint64]bool)}
		t.trackers[worker] = tracker
		t.publishedTrackers.Store(worker, tracker)
	}
	for i := range events {
		ev := &events[i]
		if ev.Seq <= tracker.applied {
			continue
		}
		tracker.applied = ev.Seq
		tracker.pending = append(tracker.pending, ev.Seq)
		t.applyEvent(tracker, ev)
	}
}

// markDurable records that event seq is durable and advances acked.
func (tr *eventTracker) markDurable(seq uint64) {
	tr.durable[seq] = true
	for len(tr.pending) > 0 && tr.durable[tr.pending[0]] {
		tr.acked.Store(tr.pending[0])
		delete(tr.durable, tr.pending[0])
		tr.pending = tr.pending[1:]
	}
}

func (t *term) applyEvent(tracker *eventTracker, ev *wire.GangEvent) {
	metrics.Add("gang_events", 1)
	j := t.jobs[ev.Job]
	if j == nil {
		tracker.markDurable(ev.Seq)
		return
	}
	version := j.page.version // an event without effect is durable with the earlier changes
	if a := j.currentAttempt; a != nil && a.number == ev.Attempt {
		version = t.applyAttemptEvent(j, a, ev)
	}
	seq := ev.Seq
	t.whenDurable(j.page, version, func(err error) {
		if err == nil {
			tracker.markDurable(seq)
		}
	}, nil)
}

// applyAttemptEvent applies an event of the current attempt of j. It returns the
// version of the page that must be durable before the event is acknowledged.
func (t *term) applyAttemptEvent(j *job, a *attempt, ev *wire.GangEvent) uint64 {
	if a.phase == phaseAborting && ev.Outcome != string(framework.OutcomeDone) {
		return t.applyAbortingEvent(j, a, ev)
	}
	if ev.Outcome != eventOutcomeRunning {
		return t.endAttempt(j, framework.Outcome(ev.Outcome), *ev)
	}
	if a.phase == phaseRunning {
		return j.page.version
	}
	a.setPhase(phaseRunning)
	j.failedStarts = 0
	st := &j.rec.Status
	st.StartedMS = ev.AtMS
	if st.StartedMS == 0 {
		st.StartedMS = time.Now().UnixMilli()
	}
	metrics.Add("gangs_started", 1)
	t.sched.GangStarted(time.Now(), j.id(), a.number-j.attemptBase)
	if a.stopRequested {
		t.sendStop(a)
		return t.markChanged(j)
	}
	st.State = model.JobRunning
	return t.markChanged(j)
}

// applyAbortingEvent applies an event of an earlier planner's attempt that is
// being stopped. The event of its end may come before the answers to the stop
// orders.
func (t *term) applyAbortingEvent(j *job, a *attempt, ev *wire.GangEvent) uint64 {
	if ev.Outcome != eventOutcomeRunning {
		j.rec.Status.CheckpointedMS = max(j.rec.Status.CheckpointedMS, ev.CheckpointedMS)
		t.requeueAborted(a)
	}
	return j.page.version
}
