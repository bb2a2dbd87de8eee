package jobs

import (
	"context"
	"time"

	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/wire"
)

// Times of an attempt.
const (
	// reservationTTL is the time after which an agent drops a reservation that is
	// not followed by a start.
	reservationTTL = 3 * time.Second
	// attemptLostTimeout is the time after which an attempt that a member no longer
	// reports counts as lost. It is longer than the 5 s in which the rest of a
	// broken gang stops.
	attemptLostTimeout = 6 * time.Second
	// startReportTimeout is the time in which a started attempt must appear in the
	// reports of its members: three heartbeats and the exchanges.
	startReportTimeout = 4 * time.Second
	// minStartBackoff and maxStartBackoff bound the wait after an attempt that did not
	// start. The first refusal is reported at once.
	minStartBackoff = 50 * time.Millisecond
	maxStartBackoff = 2 * time.Second
	// stopRetryInterval is the time between two stop orders for the same attempt.
	stopRetryInterval = time.Second
	// defaultGracePeriod is the time for a checkpoint if the decision names none.
	defaultGracePeriod = time.Second
)

// gangStateRunning is the state of a gang in a worker's report whose tasks have
// started.
const gangStateRunning = "running"

// phase is the progress of an attempt on the planner's side.
type phase int

const (
	phaseRecording phase = iota // the record is not durable yet
	phaseReserving              // reservations and the start order are under way
	phaseStarted                // the supervisor has the start order
	phaseRunning                // all tasks run
	phaseAborting               // a predecessor's attempt is being stopped
)

// attempt is one try to run a job.
type attempt struct {
	job        *job
	number     uint64 // as on the wire
	workers    []string
	phase      phase
	ctx        context.Context // ends with the attempt or when it must not start
	cancel     context.CancelFunc
	phaseSince time.Time

	stopRequested bool // a stop was asked for
	stopGrace     time.Duration
	stopReason    string
	lastStopAt    time.Time
	stopOrders    int
	// missingSince is when a member was first found not to report the attempt.
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

// isCurrent reports whether a is still the attempt of its job.
func (a *attempt) isCurrent() bool { return a.job.currentAttempt == a }

// placeJob records an attempt on the page of its job and starts it once the record
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
// member holds rank 0 and is the supervisor.
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

// markStarted records that the supervisor has the start order, or may have it.
func (t *term) markStarted(a *attempt) {
	if !a.isCurrent() || a.phase != phaseReserving {
		return
	}
	a.setPhase(phaseStarted)
	if a.stopRequested {
		t.sendStop(a)
	}
}

// handleNotStarted records that no task of the attempt has run.
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
	delay := startBackoff(j.refusals)
	j.refusals++
	if delay == 0 {
		t.endAttempt(j, framework.OutcomeNotStarted, ev)
		return
	}
	// The attempt keeps its place in the scheduler during the wait, so that the
	// policy does not repeat the same placement in a tight loop.
	time.AfterFunc(delay, func() {
		t.post(func() {
			if a.isCurrent() {
				t.endAttempt(j, framework.OutcomeNotStarted, ev)
			}
		})
	})
}

func startBackoff(refusals int) time.Duration {
	if refusals == 0 {
		return 0
	}
	return min(minStartBackoff<<min(refusals-1, 8), maxStartBackoff)
}

// stopAttempt stops the present attempt of j.
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
		a.cancel() // startGang then reports how far it came
	case phaseStarted, phaseRunning:
		t.sendStop(a)
	}
}

// endAttempt ends the present attempt of j and tells the scheduler.
func (t *term) endAttempt(j *job, outcome framework.Outcome, ev wire.GangEvent) uint64 {
	a := j.currentAttempt
	a.cancel()
	j.currentAttempt = nil
	st := &j.rec.Status
	st.Workers = nil
	j.rec.Members = nil
	st.WorkDoneMS = max(st.WorkDoneMS, ev.KeptMS)
	if outcome != framework.OutcomeNotStarted {
		j.refusals = 0
	}
	if j.admitted {
		t.sched.GangEnded(time.Now(), j.id(), framework.End{
			Attempt:      a.number - j.attemptBase,
			Outcome:      outcome,
			BlamedWorker: ev.BlamedWorker,
			WorkKept:     time.Duration(ev.KeptMS) * time.Millisecond,
			PeakMemoryGB: ev.PeakMemoryGB,
		})
	}
	t.releaseProbed(a, outcome)
	switch {
	case outcome == framework.OutcomeDone:
		st.Reason = model.Reason{Rule: "done", Sentence: "All tasks ended with success."}
		t.finishJob(j, model.JobDone)
	case st.Cancel:
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

// checkAttempts repeats stop orders and finds attempts that nobody reports.
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

// countMembers counts the members that report the attempt and those that are dead.
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
