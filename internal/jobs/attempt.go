package jobs

import (
	"context"
	"time"

	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/wire"
)

// Timeouts and intervals of an attempt.
const (
	// reservationTTL is how long an agent keeps a reservation without a start
	// order.
	reservationTTL = 3 * time.Second
	// attemptLostTimeout is how long a member may fail to report the attempt
	// before the attempt counts as lost. It is longer than the 5 s in which the
	// rest of a broken gang stops.
	attemptLostTimeout = 6 * time.Second
	// startReportTimeout is how long a started attempt may be missing from the
	// reports of all its members. It covers three heartbeats and the exchanges
	// that pass them on.
	startReportTimeout = 4 * time.Second
	// minStartBackoff and maxStartBackoff bound the backoff after an attempt that
	// did not start. The first such attempt is reported to the scheduler at once.
	minStartBackoff = 50 * time.Millisecond
	maxStartBackoff = 2 * time.Second
	// stopRetryInterval is the interval between stop orders for one attempt.
	stopRetryInterval = time.Second
	// defaultGracePeriod is the time that a gang has for a checkpoint if the
	// decision sets none.
	defaultGracePeriod = time.Second
)

// gangStateRunning is the state, in a worker's report, of a gang whose tasks
// have started.
const gangStateRunning = "running"

// phase is the progress of an attempt as the planner knows it.
type phase int

const (
	phaseRecording phase = iota // the record is not durable yet
	phaseReserving              // reservations and the start order are being sent
	phaseStarted                // the supervisor has the start order
	phaseRunning                // all tasks run
	phaseAborting               // an attempt of an earlier planner is being stopped
)

// attempt is one attempt to run a job on a gang of workers.
type attempt struct {
	job        *job
	number     uint64 // the attempt number on the wire and in the record
	workers    []string
	phase      phase
	ctx        context.Context // cancelled at the end of the attempt, or to keep it from starting
	cancel     context.CancelFunc
	phaseSince time.Time

	stopRequested bool
	stopGrace     time.Duration
	stopReason    string
	lastStopAt    time.Time
	stopOrders    int // sent by sendStop so far
	// missingSince is when a member was first seen not to report the attempt;
	// zero while all members report it.
	missingSince time.Time
}

func (t *term) newAttempt(j *job, number uint64) *attempt {
	a := &attempt{job: j, number: number, phaseSince: time.Now(), workers: j.rec.Status.Workers}
	a.ctx, a.cancel = context.WithCancel(t.ctx)
	return a
}

func (a *attempt) setPhase(p phase) {
	a.phase = p
	a.phaseSince = time.Now()
}

// isCurrent reports whether a is still the current attempt of its job.
func (a *attempt) isCurrent() bool { return a.job.currentAttempt == a }

// placeJob records a new attempt on the page of j and starts it once the record
// is durable.
func (t *term) placeJob(j *job, d *framework.Decision) {
	st := &j.rec.Status
	st.Workers = d.Workers
	a := t.newAttempt(j, j.attemptBase+d.Attempt)
	j.currentAttempt = a
	st.State = model.JobStarting
	st.Attempt = a.number
	view := t.host.opts.Membership.View()
	gang, missing := gangMembers(view, d.Workers)
	j.rec.Members = gang
	version := t.markChanged(j)
	if missing != "" {
		t.endAttempt(j, framework.OutcomeNotStarted, wire.GangEvent{BlamedWorker: missing, Message: "worker " + missing + " is not in the membership"})
		return
	}
	t.whenDurable(j.page, version, func(err error) {
		if err != nil || !a.isCurrent() {
			return
		}
		if a.stopRequested {
			t.endAttempt(j, framework.OutcomeStopped, wire.GangEvent{Message: a.stopReason})
			return
		}
		a.setPhase(phaseReserving)
		go t.startGang(a, t.newStartPlan(j, a))
	}, nil)
}

// gangMembers groups the ranks by worker, in order of rank, so that the first
// member holds rank 0 and is the supervisor. If a worker is dead or not in the
// view, it is returned as missing.
func gangMembers(view *members.View, workers []string) (gang []wire.Member, missing string) {
	index := make(map[string]int, len(workers))
	for rank, id := range workers {
		i, ok := index[id]
		if !ok {
			w := view.Workers[id]
			if w == nil || w.Health == members.Dead {
				return gang, id
			}
			i = len(gang)
			index[id] = i
			gang = append(gang, wire.Member{Worker: id, Address: w.State.Address, Incarnation: w.State.Incarnation})
		}
		gang[i].Ranks = append(gang[i].Ranks, rank)
	}
	return gang, ""
}

// markStarted records that the supervisor has, or may have, the start order.
func (t *term) markStarted(a *attempt) {
	if !a.isCurrent() || a.phase != phaseReserving {
		return
	}
	a.setPhase(phaseStarted)
	if a.stopRequested {
		t.sendStop(a)
	}
}

// handleNotStarted ends an attempt of which no task has run. If the previous
// attempt did not start either, it waits for a backoff first.
func (t *term) handleNotStarted(a *attempt, blamed string, err error) {
	if !a.isCurrent() || a.phase != phaseReserving {
		return
	}
	j := a.job
	if a.stopRequested {
		t.endAttempt(j, framework.OutcomeStopped, wire.GangEvent{Message: a.stopReason})
		return
	}
	metrics.Add("attempts_not_started", 1)
	ev := wire.GangEvent{BlamedWorker: blamed, Message: err.Error()}
	delay := startBackoff(j.failedStarts)
	j.failedStarts++
	if delay == 0 {
		t.endAttempt(j, framework.OutcomeNotStarted, ev)
		return
	}
	// The scheduler counts the attempt as placed during the backoff, so that the
	// policy does not repeat the same placement in a tight loop.
	time.AfterFunc(delay, func() {
		t.post(func() {
			if a.isCurrent() {
				t.endAttempt(j, framework.OutcomeNotStarted, ev)
			}
		})
	})
}

func startBackoff(failedStarts int) time.Duration {
	if failedStarts == 0 {
		return 0
	}
	return min(minStartBackoff<<min(failedStarts-1, 8), maxStartBackoff)
}

// stopAttempt stops the current attempt of j, if there is one.
func (t *term) stopAttempt(j *job, grace time.Duration, reason string) {
	a := j.currentAttempt
	if a == nil || a.stopRequested {
		return
	}
	if grace <= 0 {
		grace = defaultGracePeriod
	}
	a.stopRequested, a.stopGrace, a.stopReason = true, grace, reason
	j.rec.Status.State = model.JobStopping
	t.markChanged(j)
	switch a.phase {
	case phaseReserving:
		a.cancel() // startGang then calls markStarted or handleNotStarted
	case phaseStarted, phaseRunning:
		t.sendStop(a)
	}
}

// endAttempt ends the current attempt of j, tells the scheduler, and returns the
// version of the page that holds the change.
func (t *term) endAttempt(j *job, outcome framework.Outcome, ev wire.GangEvent) uint64 {
	a := j.currentAttempt
	a.cancel()
	j.currentAttempt = nil
	st := &j.rec.Status
	st.Workers = nil
	j.rec.Members = nil
	st.CheckpointedMS = max(st.CheckpointedMS, ev.CheckpointedMS)
	if outcome != framework.OutcomeNotStarted {
		j.failedStarts = 0
	}
	if j.admitted {
		t.sched.GangEnded(time.Now(), j.id(), framework.AttemptEnd{
			Attempt:          a.number - j.attemptBase,
			Outcome:          outcome,
			BlamedWorker:     ev.BlamedWorker,
			PreservedRunTime: time.Duration(ev.CheckpointedMS) * time.Millisecond,
			PeakMemoryGB:     ev.PeakMemoryGB,
		})
	}
	t.releaseProbed(a, outcome)
	switch {
	case outcome == framework.OutcomeDone:
		st.Reason = model.Reason{Rule: "done", Sentence: "All tasks ended with success."}
		t.finishJob(j, model.JobDone)
	case st.CancelRequested:
		t.finishCancelled(j)
	default:
		st.State = model.JobQueued
		st.StartedMS = 0
		st.Reason = model.Reason{Rule: "attempt_" + string(outcome), Sentence: attemptEndSentence(ev.Message, outcome),
			Fields: map[string]string{"blamed_worker": ev.BlamedWorker}}
	}
	return t.markChanged(j)
}

func attemptEndSentence(message string, outcome framework.Outcome) string {
	if message != "" {
		return message
	}
	return "The attempt ended as " + string(outcome) + "; the job is queued again."
}

func (t *term) finishCancelled(j *job) {
	j.rec.Status.Reason = model.Reason{Rule: "cancelled", Sentence: "The job was cancelled on request."}
	t.finishJob(j, model.JobCancelled)
}

// checkAttempts repeats stop orders that had no effect and ends attempts that
// their members no longer report.
func (t *term) checkAttempts(now time.Time) {
	view := t.host.opts.Membership.View()
	for _, j := range t.jobs {
		a := j.currentAttempt
		if a == nil || a.phase != phaseStarted && a.phase != phaseRunning {
			continue
		}
		if a.stopRequested && now.Sub(a.lastStopAt) >= stopRetryInterval {
			t.sendStop(a)
		}
		t.checkAttempt(now, view, j, a)
	}
}

// checkAttempt ends a as lost if its members have not reported it in time. While a
// member is dead, it sends stop orders to the members, since the gang cannot go on
// without it.
func (t *term) checkAttempt(now time.Time, view *members.View, j *job, a *attempt) {
	reporting, dead := countMembers(view, j, a)
	if reporting == len(j.rec.Members) {
		a.missingSince = time.Time{}
		return
	}
	if a.missingSince.IsZero() {
		a.missingSince = now
	}
	missingFor := now.Sub(a.missingSince)
	lost := missingFor >= attemptLostTimeout ||
		reporting == 0 && missingFor >= startReportTimeout ||
		reporting == 0 && dead == len(j.rec.Members)
	switch {
	case lost:
		metrics.Add("attempts_lost", 1)
		t.sendStopTo(a, j.rec.Members)
		blamed := firstMissingWorker(view, j, a)
		t.endAttempt(j, framework.OutcomeLost, wire.GangEvent{Message: "The gang is no longer reported by worker " + blamed + "; the job is queued again."})
	case dead > 0 && now.Sub(a.lastStopAt) >= stopRetryInterval:
		t.sendStopTo(a, j.rec.Members)
	}
}

// countMembers counts the members that report the attempt and those that are
// dead or not in the view.
func countMembers(view *members.View, j *job, a *attempt) (reporting, dead int) {
	for _, m := range j.rec.Members {
		w := view.Workers[m.Worker]
		switch {
		case w == nil || w.Health == members.Dead:
			dead++
		case reportsAttempt(w, j.id(), a.number):
			reporting++
		}
	}
	return reporting, dead
}

func reportsAttempt(w *members.Worker, job string, number uint64) bool {
	for _, g := range w.State.Gangs {
		if g.Job == job && g.Attempt == number {
			return true
		}
	}
	return false
}

func firstMissingWorker(view *members.View, j *job, a *attempt) string {
	for _, m := range j.rec.Members {
		w := view.Workers[m.Worker]
		if w == nil || w.Health == members.Dead || !reportsAttempt(w, j.id(), a.number) {
			return m.Worker
		}
	}
	return ""
}
