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
	// tickInterval is the time between two checks for lost gangs and unanswered
	// orders.
	tickInterval = 500 * time.Millisecond
	// inboxSize is the number of messages that wait for the goroutine of a term.
	inboxSize = 1024
	// maxDecideRounds bounds the calls of Decide after one event, so that a
	// faulty policy cannot occupy the term for ever.
	maxDecideRounds = 1000
	// drainTimeout bounds the wait for page writes and started placements when
	// the planner stops.
	drainTimeout = 3 * time.Second
)

// term is the time in which this process is the planner under one epoch. One
// goroutine owns the scheduler and all fields below "owned"; other goroutines
// reach it through post and do.
type term struct {
	host       *Host
	epoch      uint64
	ctx        context.Context
	cancelTerm context.CancelFunc
	inbox      chan func()
	ended      chan struct{}
	// leaseConfirmedAt is when the latest successful renewal of the lease was issued,
	// in Unix nanoseconds.
	leaseConfirmedAt  atomic.Int64
	draining          atomic.Bool
	publishedTrackers sync.Map // worker -> *eventTracker

	// owned
	sched          framework.Scheduler
	pages          [Pages]*page
	dirty          map[*page]bool
	jobs           map[string]*job
	active         map[string]int // jobs that have not ended, by team
	workers        map[string]*workerStatus
	upWorkers      int       // workers that the scheduler counts as up
	lastWorkerUp   time.Time // when the latest worker appeared
	trackers       map[string]*eventTracker
	strayFirstSeen map[string]time.Time
	loadedAt       time.Time
	settled        bool
	lastExpiry     time.Time
	wakeTimer      *time.Timer
}

// job is the planner's copy of a record.
type job struct {
	rec         Record
	page        *page
	encoded     []byte // nil after a change
	encodedSize int
	// admitted is set while the scheduler knows the job. Base is the number of
	// attempts that other schedulers have made: attempt n of the present one is
	// attempt base+n on the wire.
	admitted    bool
	attemptBase uint64
	// recorded is set once the job is durable on its page; answered once its
	// submission has been. An answered job is never refused afterwards.
	recorded       bool
	answered       bool
	currentAttempt *attempt
	refusals       int // attempts in a row that did not start
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

// stepDown asks the term to end. It returns at once.
func (t *term) stepDown(reason string) {
	if t.ctx.Err() == nil {
		logEvent("planner_term_ends", log.Fields{"epoch": t.epoch, "reason": reason}).Info("planner term ends")
	}
	t.cancelTerm()
}

// suspended reports whether the lease has not been renewed in time. The term
// then places nothing, since another process may hold the lease.
func (t *term) suspended() bool {
	return time.Since(time.Unix(0, t.leaseConfirmedAt.Load())) >= LeaseTimeout
}

// post hands f to the goroutine of the term. It must not be called by that
// goroutine.
func (t *term) post(f func()) bool {
	select {
	case t.inbox <- f:
		return true
	case <-t.ended:
		return false
	}
}

// postAndWait runs f on the goroutine of the term and waits for its end.
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
		logEvent("takeover_failed", log.Fields{"epoch": t.epoch, "error": err.Error()}).Warn("job pages not taken over")
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

// drainInbox handles the messages that already wait, so that their changes go
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

// failPending answers everything that still waits.
func (t *term) failPending() {
	t.drainInbox()
	for _, p := range t.pages {
		t.failWaiters(p)
	}
}

// drain stops placements and waits until all writes are durable and no
// placement is half done.
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

// decide lets the scheduler decide and carries its decisions out.
func (t *term) decide() {
	// With no worker at all, a policy would call every job impossible.
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

// rejectPlacement undoes a placement of a job that has ended, for example because it was
// cancelled while its gang was lost.
func (t *term) rejectPlacement(d *framework.Decision) {
	if d.Kind != framework.Place {
		return
	}
	now := time.Now()
	t.sched.GangEnded(now, d.Job, framework.End{Attempt: d.Attempt, Outcome: framework.OutcomeNotStarted})
	t.sched.Cancel(now, d.Job)
}

// refuseJob ends a job that can never run. A job that was accepted before waits for
// the pool to grow instead: its caller has been told that it will run.
func (t *term) refuseJob(j *job) {
	if !j.answered {
		t.finishJob(j, model.JobRefused)
		return
	}
	j.rec.Status.State = model.JobParked
	j.admitted = false
}

// readmitParked hands parked jobs that the scheduler does not hold to it again.
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

// finishJob gives j its final state. The caller marks the change.
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

// tick does what depends on time only.
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

// dump returns a summary for /debug/state.
func (t *term) dump() any {
	states := make(map[model.JobState]int)
	for _, j := range t.jobs {
		states[j.rec.Status.State]++
	}
	bytes := 0
	failing := 0
	for _, p := range t.pages {
		bytes += p.encodedBytes
		if p.failing {
			failing++
		}
	}
	return map[string]any{
		"epoch": t.epoch, "settled": t.settled, "suspended": t.suspended(),
		"jobs": states, "page_bytes": bytes, "failing_pages": failing,
		"workers": len(t.workers), "unpacked": t.sched.Unpacked(),
	}
}
