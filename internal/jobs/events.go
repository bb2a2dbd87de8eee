package jobs

import (
	"sync/atomic"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/wire"
)

// eventRunning is the outcome of an event that reports the start of all tasks;
// the other outcomes are those of the framework.
const eventRunning = "running"

// eventTracker holds the progress of the events of one agent incarnation.
type eventTracker struct {
	incarnation string
	seen        uint64 // highest applied; owned by the term
	pending     []uint64
	recorded    map[uint64]bool
	// acked is the highest sequence number up to which all events are durable.
	acked atomic.Uint64
}

// offerEvents passes events on to the term and returns what is durable by now.
// Agents repeat events until they are acknowledged, so nothing waits here.
func (t *term) offerEvents(worker, incarnation string, events []wire.GangEvent) uint64 {
	if v, ok := t.acks.Load(worker); ok {
		if tr := v.(*eventTracker); tr.incarnation == incarnation {
			acked := tr.acked.Load()
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
	tr := t.trackers[worker]
	if tr == nil || tr.incarnation != incarnation {
		tr = &eventTracker{incarnation: incarnation, recorded: make(map[uint64]bool)}
		t.trackers[worker] = tr
		t.acks.Store(worker, tr)
	}
	for i := range events {
		ev := &events[i]
		if ev.Seq <= tr.seen {
			continue
		}
		tr.seen = ev.Seq
		tr.pending = append(tr.pending, ev.Seq)
		t.applyEvent(tr, ev)
	}
}

// record notes that event seq is durable.
func (tr *eventTracker) record(seq uint64) {
	tr.recorded[seq] = true
	for len(tr.pending) > 0 && tr.recorded[tr.pending[0]] {
		tr.acked.Store(tr.pending[0])
		delete(tr.recorded, tr.pending[0])
		tr.pending = tr.pending[1:]
	}
}

func (t *term) applyEvent(tr *eventTracker, ev *wire.GangEvent) {
	metrics.Add("gang_events", 1)
	j := t.jobs[ev.Job]
	if j == nil {
		tr.record(ev.Seq)
		return
	}
	version := j.page.version // an event without effect waits for earlier ones
	if a := j.att; a != nil && a.number == ev.Attempt {
		version = t.gangEvent(j, a, ev)
	}
	seq := ev.Seq
	t.await(j.page, version, func(err error) {
		if err == nil {
			tr.record(seq)
		}
	}, nil)
}

// gangEvent applies an event of the present attempt.
func (t *term) gangEvent(j *job, a *attempt, ev *wire.GangEvent) uint64 {
	if a.phase == phaseAborting && ev.Outcome != string(framework.OutcomeDone) {
		return t.abortingEvent(j, a, ev)
	}
	if ev.Outcome != eventRunning {
		return t.endAttempt(j, framework.Outcome(ev.Outcome), *ev)
	}
	if a.phase == phaseRunning {
		return j.page.version
	}
	a.enter(phaseRunning)
	j.refusals = 0
	st := &j.rec.Status
	st.StartedMS = ev.AtMS
	if st.StartedMS == 0 {
		st.StartedMS = time.Now().UnixMilli()
	}
	metrics.Add("gangs_started", 1)
	t.sched.GangStarted(time.Now(), j.id(), a.number-j.base)
	if a.stop {
		t.sendStop(a)
		return t.changed(j)
	}
	st.State = model.JobRunning
	return t.changed(j)
}

// abortingEvent applies an event of a predecessor's attempt that is being
// stopped. Its end may come before the answers to the stop orders.
func (t *term) abortingEvent(j *job, a *attempt, ev *wire.GangEvent) uint64 {
	if ev.Outcome != eventRunning {
		j.rec.Status.WorkDoneMS = max(j.rec.Status.WorkDoneMS, ev.KeptMS)
		t.aborted(a)
	}
	return j.page.version
}
