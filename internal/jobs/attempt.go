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
	// reserveExpiry is the time after which an agent drops a reservation that is
	// not followed by a start.
	reserveExpiry = 3 * time.Second
	// lostAfter is the time after which an attempt that a member no longer
	// reports counts as lost. It is longer than the 5 s in which the rest of a
	// broken gang stops.
	lostAfter = 6 * time.Second
	// startGrace is the time in which a started attempt must appear in the
	// reports of its members: three heartbeats and the exchanges.
	startGrace = 4 * time.Second
	// firstBackoff and maxBackoff bound the wait after an attempt that did not
	// start. The first refusal is reported at once.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// stopRepeat is the time between two stop orders for the same attempt.
	stopRepeat = time.Second
	// defaultGrace is the time for a checkpoint if the decision names none.
	defaultGrace = time.Second
)

// gangRunning is the state of a gang in a worker's report whose tasks have
// started.
const gangRunning = "running"

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
	job     *job
	number  uint64 // as on the wire
	workers []string
	phase   phase
	ctx     context.Context // ends with the attempt or when it must not start
	cancel  context.CancelFunc
	since   time.Time // of the phase

	stop     bool // a stop was asked for
	grace    time.Duration
	reason   string
	stopSent time.Time
	stops    int
	// missing is when a member was first found not to report the attempt.
	missing time.Time
}

func (t *term) newAttempt(j *job, number uint64) *attempt {
	a := &attempt{job: j, number: number, since: time.Now(), workers: j.rec.Status.Workers}
	a.ctx, a.cancel = context.WithCancel(t.ctx)
	return a
}

func (a *attempt) enter(p phase) {
	a.phase = p
	a.since = time.Now()
}

// current reports whether a is still the attempt of its job.
func (a *attempt) current() bool { return a.job.att == a }

// place records an attempt on the page of its job and starts it once the record
// is durable.
func (t *term) place(j *job, d *framework.Decision) {
	st := &j.rec.Status
	st.Workers = d.Workers
	a := t.newAttempt(j, j.base+d.Attempt)
	j.att = a
	st.State = model.JobStarting
	st.Attempt = a.number
	view := t.h.o.Membership.View()
	gang, missing := gangMembers(view, d.Workers)
	j.rec.Members = gang
	version := t.changed(j)
	if missing != "" {
		t.endAttempt(j, framework.OutcomeNotStarted, wire.GangEvent{BlamedWorker: missing, Message: "worker " + missing + " is not in the membership"})
		return
	}
	t.await(j.page, version, func(err error) {
		if err != nil || !a.current() {
			return
		}
		if a.stop {
			t.endAttempt(j, framework.OutcomeStopped, wire.GangEvent{Message: a.reason})
			return
		}
		a.enter(phaseReserving)
		go t.startGang(a, t.planStart(j, a))
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

// started records that the supervisor has the start order, or may have it.
func (t *term) started(a *attempt) {
	if !a.current() || a.phase != phaseReserving {
		return
	}
	a.enter(phaseStarted)
	if a.stop {
		t.sendStop(a)
	}
}

// notStarted records that no task of the attempt has run.
func (t *term) notStarted(a *attempt, blamed string, err error) {
	if !a.current() || a.phase != phaseReserving {
		return
	}
	j := a.job
	if a.stop {
		t.endAttempt(j, framework.OutcomeStopped, wire.GangEvent{Message: a.reason})
		return
	}
	metrics.Add("attempts_not_started", 1)
	ev := wire.GangEvent{BlamedWorker: blamed, Message: err.Error()}
	delay := backoff(j.refusals)
	j.refusals++
	if delay == 0 {
		t.endAttempt(j, framework.OutcomeNotStarted, ev)
		return
	}
	// The attempt keeps its place in the scheduler during the wait, so that the
	// policy does not repeat the same placement in a tight loop.
	time.AfterFunc(delay, func() {
		t.post(func() {
			if a.current() {
				t.endAttempt(j, framework.OutcomeNotStarted, ev)
			}
		})
	})
}

func backoff(refusals int) time.Duration {
	if refusals == 0 {
		return 0
	}
	return min(firstBackoff<<min(refusals-1, 8), maxBackoff)
}

// stopAttempt stops the present attempt of j.
func (t *term) stopAttempt(j *job, grace time.Duration, reason string) {
	a := j.att
	if a == nil || a.stop {
		return
	}
	if grace <= 0 {
		grace = defaultGrace
	}
	a.stop, a.grace, a.reason = true, grace, reason
	j.rec.Status.State = model.JobStopping
	t.changed(j)
	switch a.phase {
	case phaseReserving:
		a.cancel() // startGang then reports how far it came
	case phaseStarted, phaseRunning:
		t.sendStop(a)
	}
}

// endAttempt ends the present attempt of j and tells the scheduler.
func (t *term) endAttempt(j *job, outcome framework.Outcome, ev wire.GangEvent) uint64 {
	a := j.att
	a.cancel()
	j.att = nil
	st := &j.rec.Status
	st.Workers = nil
	j.rec.Members = nil
	st.WorkDoneMS = max(st.WorkDoneMS, ev.KeptMS)
	if outcome != framework.OutcomeNotStarted {
		j.refusals = 0
	}
	if j.admitted {
		t.sched.GangEnded(time.Now(), j.id(), framework.End{
			Attempt:      a.number - j.base,
			Outcome:      outcome,
			BlamedWorker: ev.BlamedWorker,
			WorkKept:     time.Duration(ev.KeptMS) * time.Millisecond,
			PeakMemoryGB: ev.PeakMemoryGB,
		})
	}
	t.noteProbe(a, outcome)
	switch {
	case outcome == framework.OutcomeDone:
		st.Reason = model.Reason{Rule: "done", Sentence: "All tasks ended with success."}
		t.finish(j, model.JobDone)
	case st.Cancel:
		t.cancelled(j)
	default:
		st.State = model.JobQueued
		st.StartedMS = 0
		st.Reason = model.Reason{Rule: "attempt_" + string(outcome), Sentence: sentence(ev.Message, outcome),
			Fields: map[string]string{"blamed_worker": ev.BlamedWorker}}
	}
	return t.changed(j)
}

func sentence(message string, outcome framework.Outcome) string {
	if message != "" {
		return message
	}
	return "The attempt ended as " + string(outcome) + "; the job is queued again."
}

func (t *term) cancelled(j *job) {
	j.rec.Status.Reason = model.Reason{Rule: "cancelled", Sentence: "The job was cancelled on request."}
	t.finish(j, model.JobCancelled)
}

// checkAttempts repeats stop orders and finds attempts that nobody reports.
func (t *term) checkAttempts(now time.Time) {
	view := t.h.o.Membership.View()
	for _, j := range t.jobs {
		a := j.att
		if a == nil || a.phase != phaseStarted && a.phase != phaseRunning {
			continue
		}
		if a.stop && now.Sub(a.stopSent) >= stopRepeat {
			t.sendStop(a)
		}
		t.checkAttempt(now, view, j, a)
	}
}

func (t *term) checkAttempt(now time.Time, view *members.View, j *job, a *attempt) {
	listed, dead := presence(view, j, a)
	if listed == len(j.rec.Members) {
		a.missing = time.Time{}
		return
	}
	if a.missing.IsZero() {
		a.missing = now
	}
	silent := now.Sub(a.missing)
	lost := silent >= lostAfter ||
		listed == 0 && silent >= startGrace ||
		listed == 0 && dead == len(j.rec.Members)
	switch {
	case lost:
		metrics.Add("attempts_lost", 1)
		t.orderStop(a, j.rec.Members)
		blamed := firstMissing(view, j, a)
		t.endAttempt(j, framework.OutcomeLost, wire.GangEvent{Message: "The gang is no longer reported by worker " + blamed + "; the job is queued again."})
	case dead > 0 && now.Sub(a.stopSent) >= stopRepeat:
		t.orderStop(a, j.rec.Members)
	}
}

// presence counts the members that report the attempt and those that are dead.
func presence(view *members.View, j *job, a *attempt) (listed, dead int) {
	for _, m := range j.rec.Members {
		w := view.Workers[m.Worker]
		switch {
		case w == nil || w.Health == members.Dead:
			dead++
		case lists(w, j.id(), a.number):
			listed++
		}
	}
	return listed, dead
}

func lists(w *members.Worker, job string, number uint64) bool {
	for _, g := range w.State.Gangs {
		if g.Job == job && g.Attempt == number {
			return true
		}
	}
	return false
}

func firstMissing(view *members.View, j *job, a *attempt) string {
	for _, m := range j.rec.Members {
		w := view.Workers[m.Worker]
		if w == nil || w.Health == members.Dead || !lists(w, j.id(), a.number) {
			return m.Worker
		}
	}
	return ""
}
