package jobs

import (
	"sync/atomic"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/wire"
)

// eventOutcomeRunning is the outcome of an event that reports the start of all tasks;
// the other outcomes are those of the framework.
const eventOutcomeRunning = "running"

// eventTracker holds the progress of the events of one agent incarnation.
type eventTracker struct {
	incarnation string
	applied     uint64 // highest applied; owned by the term
	pending     []uint64
	durable     map[uint64]bool
	// acked is the highest sequence number up to which all events are durable.
	acked atomic.Uint64
}

// receiveEvents passes events on to the term and returns what is durable by now.
// Agents repeat events until they are acknowledged, so nothing waits here.
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

// markDurable notes that event seq is durable.
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
	version := j.page.version // an event without effect waits for earlier ones
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

// applyAttemptEvent applies an event of the present attempt.
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
	j.refusals = 0
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

// applyAbortingEvent applies an event of a predecessor's attempt that is being
// stopped. Its end may come before the answers to the stop orders.
func (t *term) applyAbortingEvent(j *job, a *attempt, ev *wire.GangEvent) uint64 {
	if ev.Outcome != eventOutcomeRunning {
		j.rec.Status.WorkDoneMS = max(j.rec.Status.WorkDoneMS, ev.KeptMS)
		t.requeueAborted(a)
	}
	return j.page.version
}
