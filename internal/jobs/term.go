package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
)

const (
	// tickInterval is the interval between checks for lost gangs and unanswered
	// orders.
	tickInterval = 500 * time.Millisecond
	// inboxSize is the capacity of the queue of functions that wait for the
	// goroutine of a term.
	inboxSize = 1024
	// maxDecideRounds bounds the calls of Decide after one event, so that a faulty
	// policy cannot keep the term busy forever.
	maxDecideRounds = 1000
	// drainTimeout bounds the wait for page writes and for placements in progress
	// when the planner stops.
	drainTimeout = 3 * time.Second
)

// term is the state of the planner while this process holds the lease under one
// epoch. One goroutine owns the scheduler and all fields below "owned". Other
// goroutines pass functions to it through post and postAndWait.
type term struct {
	host       *Host
	epoch      uint64
	ctx        context.Context
	cancelTerm context.CancelFunc
	inbox      chan func()
	ended      chan struct{}
	// leaseConfirmedAt is when the latest successful renewal of the lease was
	// issued, in Unix nanoseconds.
	leaseConfirmedAt  atomic.Int64
	draining          atomic.Bool
	publishedTrackers sync.Map // worker -> *eventTracker; a copy of trackers for receiveEvents

	// owned
	sched          framework.Scheduler
	pages          [PageCount]*page
	dirty          map[*page]bool // pages with changes that no write includes
	jobs           map[string]*job
	active         map[string]int // jobs that have not ended, by team
	workers        map[string]*workerStatus
	upWorkers      int       // workers that the scheduler counts as up
	lastWorkerUp   time.Time // when the latest worker appeared
	trackers       map[string]*eventTracker
	strayFirstSeen map[string]time.Time // by worker and job
	loadedAt       time.Time            // when all pages were loaded
	settled        bool                 // the jobs are with the scheduler; see trySettle
	lastExpiry     time.Time            // when dropExpired last ran from tick
	wakeTimer      *time.Timer
}

// job is the planner's copy of a record.
type job struct {
	rec         Record
	page        *page
	encoded     []byte // JSON of rec; nil after a change
	encodedSize int    // size on the page when rec was last encoded, with a comma
	// admitted is set while the scheduler knows the job. Attempt n of the scheduler
	// is attempt attemptBase+n on the wire: attemptBase is the number of attempts
	// made by other schedulers, or 0 for a job that the scheduler has restored.
	admitted    bool
	attemptBase uint64
	// recorded is set once the job is durable on its page, answered once its
	// submission has been answered. An answered job is never refused.
	recorded       bool
	answered       bool
	currentAttempt *attempt // nil while there is none
	failedStarts   int      // attempts in a row that did not start
}

func (j *job) id() string { return j.rec.Status.Job.ID }

func newTerm(h *Host, epoch uint64) *term {
	ctx, cancel := context.WithCancel(h.ctx)
	return &term{
		host: h, epoch: epoch, ctx: ctx, cancelTerm: cancel,
		inbox:          make(chan func(), inboxSize),
		ended:          make(chan struct{}),
		sched:          h.opts.Policy(),
		dirty:          make(map[*page]bool),
		jobs:           make(map[string]*job),
		active:         make(map[string]int),
		workers:        make(map[string]*workerStatus),
		trackers:       make(map[string]*eventTracker),
		strayFirstSeen: make(map[string]time.Time),
	}
}

// stepDown requests the end of the term and returns without waiting for it.
func (t *term) stepDown(reason string) {
	if t.ctx.Err() == nil {
		logEvent("planner_term_ends", log.Fields{"epoch": t.epoch, "reason": reason}).Info("planner term ends")
	}
	t.cancelTerm()
}

// suspended reports whether the lease has not been renewed in time. The term then
// places no jobs, since another process may hold the lease.
func (t *term) suspended() bool {
	return time.Since(time.Unix(0, t.leaseConfirmedAt.Load())) >= LeaseTimeout
}

// post queues f for the goroutine of the term. It reports false if the term has
// ended. That goroutine must not call it, since the queue may be full.
func (t *term) post(f func()) bool {
	select {
	case t.inbox <- f:
		return true
	case <-t.ended:
		return false
	}
}

// postAndWait runs f on the goroutine of the term and waits until f has returned.
// It fails if the term ends, or if ctx ends before f is queued.
func (t *term) postAndWait(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case t.inbox <- func() { defer close(done); f() }:
	case <-t.ended:
		return errNotPlanner()
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-t.ended:
		return errNotPlanner()
	}
}

// run loads the pages, publishes the term and serves it until it ends.
func (t *term) run() {
	defer close(t.ended)
	defer t.cancelTerm()
	began := time.Now()
	loaded, err := t.loadPages()
	if err != nil {
		logEvent("takeover_failed", log.Fields{"epoch": t.epoch, "error": err.Error()}).Warn("takeover of the job pages failed; the planner term ends")
		return
	}
	t.loadedAt = time.Now()
	if c := t.host.opts.Config.Current(); c != nil {
		t.applyConfig(c)
	}
	t.buildJobTable(loaded)
	logEvent("takeover_done", log.Fields{"epoch": t.epoch, "jobs": len(t.jobs), "took_ms": t.loadedAt.Sub(began).Milliseconds()}).Info("job pages taken over")
	t.host.term.Store(t)
	defer t.host.term.Store(nil)
	if c := t.host.opts.Config.Current(); c != nil {
		t.applyConfig(c) // a change may have come before the term was published
	}
	t.loop()
	t.failPending()
}

func (t *term) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	t.wakeTimer = time.NewTimer(time.Hour)
	defer t.wakeTimer.Stop()
	changed := t.host.opts.Membership.Changed()
	t.syncMembership()
	for {
		t.decide()
		t.flush()
		select {
		case <-t.ctx.Done():
			return
		case f := <-t.inbox:
			f()
			t.drainInbox()
		case <-changed:
			changed = t.host.opts.Membership.Changed()
			t.syncMembership()
		case <-tick.C:
			t.syncMembership()
			t.tick()
		case <-t.wakeTimer.C:
		}
	}
}

// drainInbox runs the functions that are already queued, so that their changes go
// into one write for each page.
func (t *term) drainInbox() {
	for range inboxSize {
		select {
		case f := <-t.inbox:
			f()
		default:
			return
		}
	}
}

// failPending runs the queued functions and fails all waiters at the end of the
// term.
func (t *term) failPending() {
	t.drainInbox()
	for _, p := range t.pages {
		t.failWaiters(p)
	}
}

// drain stops placements. It waits, for at most drainTimeout, until all writes are
// durable and no placement is in progress.
func (t *term) drain() {
	t.draining.Store(true)
	ctx, cancel := context.WithTimeout(t.ctx, drainTimeout)
	defer cancel()
	for {
		idle := false
		if t.postAndWait(ctx, func() { idle = t.isIdle() }) != nil || idle {
			return
		}
		if !sleepWithJitter(ctx, minStoreBackoff) {
			return
		}
	}
}

func (t *term) isIdle() bool {
	for _, p := range t.pages {
		if p.inFlightVersion != 0 || p.durableVersion < p.version {
			return false
		}
	}
	for _, j := range t.jobs {
		if j.currentAttempt != nil && j.currentAttempt.phase < phaseStarted {
			return false
		}
	}
	return true
}

func (t *term) applyConfig(c *model.Config) {
	t.sched.SetTeams(time.Now(), c.Teams)
	t.sched.SetWeights(c.Weights)
}

// decide has the scheduler decide and executes its decisions.
func (t *term) decide() {
	// Without any worker, a policy would refuse every job as impossible.
	if !t.settled || t.upWorkers == 0 || t.suspended() || t.draining.Load() {
		return
	}
	for range maxDecideRounds {
		decisions := t.sched.Decide(time.Now())
		if len(decisions) == 0 {
			break
		}
		for i := range decisions {
			t.executeDecision(&decisions[i])
		}
	}
	t.wakeTimer.Stop()
	if next := t.sched.NextWake(); !next.IsZero() {
		t.wakeTimer.Reset(max(time.Until(next), time.Millisecond))
	}
}

func (t *term) executeDecision(d *framework.Decision) {
	metrics.Add("decisions_"+string(d.Kind), 1)
	logEvent("decision", log.Fields{"kind": string(d.Kind), "job": d.Job, "worker": d.Worker, "attempt": d.Attempt, "rule": d.Reason.Rule, "epoch": t.epoch}).Info(d.Reason.Sentence)
	switch d.Kind {
	case framework.Quarantine:
		t.quarantineWorker(d.Worker, true)
		return
	case framework.Probe:
		t.startProbe(d.Worker)
		return
	}
	j := t.jobs[d.Job]
	if j == nil || j.rec.Status.State.Final() {
		t.rejectPlacement(d)
		return
	}
	j.rec.Status.Reason = d.Reason
	switch d.Kind {
	case framework.Place:
		t.placeJob(j, d)
	case framework.Stop:
		t.stopAttempt(j, d.Grace, d.Reason.Sentence)
	case framework.Refuse:
		t.refuseJob(j)
	case framework.Fail:
		t.finishJob(j, model.JobFailed)
	case framework.Park:
		j.rec.Status.State = model.JobParked
	}
	t.markChanged(j)
}

// rejectPlacement undoes a placement of a job that has ended, for example a job
// that was cancelled while its gang was lost. Other decisions need no undoing.
func (t *term) rejectPlacement(d *framework.Decision) {
	if d.Kind != framework.Place {
		return
	}
	now := time.Now()
	t.sched.GangEnded(now, d.Job, framework.AttemptEnd{Attempt: d.Attempt, Outcome: framework.OutcomeNotStarted})
	t.sched.Cancel(now, d.Job)
}

// refuseJob ends a job that can never run. A job whose submission has been
// answered is parked instead until the pool grows, since its caller has been told
// that it was accepted.
func (t *term) refuseJob(j *job) {
	if !j.answered {
		t.finishJob(j, model.JobRefused)
		return
	}
	j.rec.Status.State = model.JobParked
	j.admitted = false
}

// readmitParked submits again the parked jobs that the scheduler does not know. It
// is called when a worker comes up or changes, since they may now fit the pool.
func (t *term) readmitParked() {
	for _, j := range t.jobs {
		if j.rec.Status.State == model.JobParked && !j.admitted && j.currentAttempt == nil {
			t.admitJob(j)
		}
	}
}

// markChanged marks the page of j for a write and returns the version that will
// hold the change.
func (t *term) markChanged(j *job) uint64 {
	j.rec.Status.UpdatedMS = time.Now().UnixMilli()
	j.encoded = nil
	j.page.version++
	t.dirty[j.page] = true
	return j.page.version
}

// finishJob sets the final state of j. The caller must call markChanged.
func (t *term) finishJob(j *job, s model.JobState) {
	st := &j.rec.Status
	if st.State.Final() {
		return
	}
	st.State = s
	st.EndedMS = time.Now().UnixMilli()
	st.Workers = nil
	j.rec.Members = nil
	j.admitted = false
	t.active[st.Job.Team]--
	metrics.Add("ended_"+string(s), 1)
	logEvent("job_ended", log.Fields{"job": st.Job.ID, "team": st.Job.Team, "state": string(s), "code": int(codeOfState(s))}).Info(st.Reason.Sentence)
}

func codeOfState(s model.JobState) result.Code {
	switch s {
	case model.JobCancelled:
		return result.Cancelled
	case model.JobFailed:
		return result.TaskFailed
	case model.JobRefused:
		return result.ImpossibleShape
	}
	return result.OK
}

// tick runs the checks that depend on time alone.
func (t *term) tick() {
	now := time.Now()
	if t.settled {
		t.checkAttempts(now)
		t.checkStrays(now)
		t.probeQuarantined(now)
	}
	if now.Sub(t.lastExpiry) >= time.Minute {
		t.lastExpiry = now
		t.dropExpired(now)
	}
}

// dropExpired removes jobs that ended more than EndedJobRetention ago.
func (t *term) dropExpired(now time.Time) {
	limit := now.Add(-EndedJobRetention).UnixMilli()
	for _, p := range t.pages {
		for _, j := range p.endedJobs() {
			if j.rec.Status.EndedMS > limit {
				break
			}
			t.dropJob(j)
		}
	}
}

func (t *term) dropJob(j *job) {
	j.page.remove(j)
	delete(t.jobs, j.id())
	j.page.version++
	t.dirty[j.page] = true
	metrics.Add("dropped", 1)
}

// dump returns a summary of the term for /debug/state.
func (t *term) dump() any {
	states := make(map[model.JobState]int)
	for _, j := range t.jobs {
		states[j.rec.Status.State]++
	}
	bytes, failing, damaged := 0, 0, 0
	for _, p := range t.pages {
		bytes += p.encodedBytes
		damaged += len(p.damaged)
		if p.failing {
			failing++
		}
	}
	return map[string]any{
		"epoch": t.epoch, "settled": t.settled, "suspended": t.suspended(),
		"jobs": states, "page_bytes": bytes, "failing_pages": failing, "damaged_records": damaged,
		"workers": len(t.workers), "unpacked": t.sched.UnpackedTeams(),
	}
}
