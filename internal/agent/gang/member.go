package gang

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/agent/arbiter"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// phase is the phase of a member or of a supervisor.
type phase string

const (
	phaseArming   phase = "arming" // supervisor only
	phaseArmed    phase = "armed"  // member only
	phaseStarting phase = "starting"
	phaseRunning  phase = "running"
	phaseStopping phase = "stopping"
	phaseEnded    phase = "ended"
)

// member is the part of a gang on this worker.
type member struct {
	m       *Manager
	key     key
	spec    model.Job
	members []wire.Member
	perTask model.Resources
	resume  int64
	started chan struct{} // closed when no first start is in progress

	mu        sync.Mutex
	term      uint64
	phase     phase
	tasks     []*task
	committed bool
	// confirmed is unset in a successor process until the supervisor extends the
	// gang lease; before that no task lease is renewed. Otherwise an agent that
	// crashes again and again would keep its tasks alive without the rest.
	confirmed  bool
	leaseUntil time.Time
	// suspended is set in the window of a planned restart, until the next
	// renewal. The window is not extended by further planned restarts.
	suspended  bool
	stopAt     time.Time // end of the grace period
	stopReason string
	startedAt  time.Time
	endedAt    time.Time
	handover   bool
}

func newMember(m *Manager, o *wire.GangOrder, hold arbiter.Hold) *member {
	t := &member{
		m: m, key: key{o.Job, o.Attempt}, spec: o.Spec, members: o.Members, perTask: hold.PerTask, resume: o.ResumeMS,
		term: o.Term, phase: phaseArmed, confirmed: true, started: make(chan struct{}),
	}
	for _, rank := range hold.Ranks {
		t.tasks = append(t.tasks, &task{rank: rank, id: taskID(o.Job, o.Attempt, rank)})
	}
	return t
}

// accept applies the term of a supervisor as a fencing token.
func (t *member) accept(term uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptLocked(term)
}

func (t *member) acceptLocked(term uint64) error {
	if term < t.term {
		return result.Errorf(result.Fenced, "term %d of the supervisor is lower than %d", term, t.term)
	}
	t.term = term
	return nil
}

// start runs the tasks once. A repeat waits for the first one.
func (t *member) start(ctx context.Context, o *wire.GangOrder) error {
	t.mu.Lock()
	if err := t.acceptLocked(o.Term); err != nil {
		t.mu.Unlock()
		return err
	}
	if t.phase == phaseEnded && t.startedAt.IsZero() {
		t.mu.Unlock()
		return result.Errorf(result.ReservationExpired, "attempt %d of job %s is no longer reserved", t.key.attempt, t.key.job)
	}
	if t.phase != phaseArmed {
		t.mu.Unlock()
		return t.waitStarted(ctx)
	}
	if err := t.m.Arbiter.Start(t.key.job, t.key.attempt); err != nil {
		t.mu.Unlock()
		return err
	}
	now := t.m.Now()
	t.phase = phaseStarting
	t.startedAt = now
	t.leaseUntil = now.Add(Lease)
	for _, k := range t.tasks {
		k.busy = true
		k.mayRunUntil = now.Add(workerTimeout + TaskLease + leaseMargin)
	}
	tasks := t.tasks
	t.mu.Unlock()
	t.m.Changed()
	for _, k := range tasks {
		t.m.Spawn(func() { t.run(k) })
	}
	return t.waitStarted(ctx)
}

func (t *member) waitStarted(ctx context.Context) error {
	select {
	case <-t.started:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run starts one task at the worker. Its answer counts even if the supervisor
// no longer waits for it.
func (t *member) run(k *task) {
	labels, err := encodeLabels(identity{spec: t.spec, attempt: t.key.attempt, rank: k.rank, members: t.members, resume: t.resume})
	var state workerapi.Task
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), workerTimeout)
		state, err = t.m.API.Run(ctx, workerapi.Task{
			ID: k.id, Resources: t.perTask, Command: t.spec.Command, Labels: labels, ResumeMS: t.resume,
		}, TaskLease)
		cancel()
	}
	t.mu.Lock()
	now := t.m.Now()
	k.busy = false
	k.answered = true
	k.renewed = now
	k.mayRunUntil = now.Add(TaskLease + leaseMargin)
	if err != nil {
		k.startError = "start: " + err.Error()
		t.stopLocked(now, Grace, "a task did not start")
	} else {
		k.observe(state, now)
	}
	done := !slices.ContainsFunc(t.tasks, func(k *task) bool { return !k.answered })
	if done {
		if t.phase == phaseStarting {
			t.phase = phaseRunning
		}
		close(t.started)
	}
	t.mu.Unlock()
	if err != nil {
		log.WithFields(log.Fields{"event": "task_start_failed", "job": t.key.job, "task": k.id, "code": int(result.CodeOf(err))}).Error(err.Error())
	}
	t.step()
}

// renew extends the gang lease. A lease of 0 only asks for the report.
func (t *member) renew(o *wire.GangOrder) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.acceptLocked(o.Term); err != nil {
		return err
	}
	now := t.m.Now()
	lease := min(time.Duration(o.LeaseMS)*time.Millisecond, Lease)
	// A lease that has lapsed stays lapsed: the supervisor may have told the
	// planner by now that the gang has ended.
	if t.phase != phaseArmed && lease > 0 && !now.After(t.leaseUntil) {
		t.leaseUntil = now.Add(lease)
		t.suspended = false
		t.confirmLocked(now)
	}
	t.committed = t.committed || o.Committed
	return nil
}

// confirmLocked has a successor process renew the task leases from now on.
func (t *member) confirmLocked(now time.Time) {
	if t.confirmed {
		return
	}
	t.confirmed = true
	for _, k := range t.tasks {
		k.renewed = now.Add(-TaskRenewInterval)
	}
}

// suspend keeps the gang lease for the window of a planned restart of the
// supervisor's agent.
func (t *member) suspend(window time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.m.Now()
	if until := now.Add(window); !t.suspended && !now.After(t.leaseUntil) && until.After(t.leaseUntil) {
		t.leaseUntil = until
		t.suspended = true
	}
}

// stop checkpoints the tasks within grace and stops them.
func (t *member) stop(grace time.Duration, reason string) {
	t.mu.Lock()
	t.stopLocked(t.m.Now(), grace, reason)
	t.mu.Unlock()
	t.step()
}

func (t *member) stopLocked(now time.Time, grace time.Duration, reason string) {
	switch t.phase {
	case phaseArmed:
		t.m.Arbiter.End(t.key.job, t.key.attempt)
		t.endLocked(now)
	case phaseStarting, phaseRunning:
		t.phase = phaseStopping
		t.stopAt = now.Add(grace)
		t.stopReason = reason
		t.m.Arbiter.SetHoldStopping(t.key.job, t.key.attempt)
		t.m.Changed()
	case phaseStopping:
		if at := now.Add(grace); at.Before(t.stopAt) {
			t.stopAt = at
		}
	}
}

func (t *member) endLocked(now time.Time) {
	t.phase = phaseEnded
	t.endedAt = now
}

// step advances the member by the time and starts the calls that are due.
func (t *member) step() {
	t.mu.Lock()
	calls := t.advance(t.m.Now())
	t.mu.Unlock()
	for _, call := range calls {
		t.m.Spawn(call)
	}
}

func (t *member) advance(now time.Time) []func() {
	switch t.phase {
	case phaseArmed:
		if !t.m.Arbiter.HasHold(t.key.job, t.key.attempt) {
			t.endLocked(now)
		}
		return nil
	case phaseEnded:
		return nil
	case phaseStarting, phaseRunning:
		if now.After(t.leaseUntil) {
			log.WithFields(log.Fields{"event": "gang_lease_expired", "job": t.key.job, "attempt": t.key.attempt, "code": int(result.GangLost)}).Warn("the supervisor has not renewed the gang lease")
			t.stopLocked(now, Grace, "the gang lease expired")
		}
	}
	var calls []func()
	for _, k := range t.tasks {
		if call := t.due(k, now); call != nil {
			calls = append(calls, call)
		}
	}
	if !slices.ContainsFunc(t.tasks, func(k *task) bool { return !k.over }) {
		t.m.Arbiter.End(t.key.job, t.key.attempt)
		t.endLocked(now)
		t.m.Changed()
	}
	return calls
}

func (t *member) forgettable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase == phaseEnded && now.Sub(t.endedAt) > forgetAfter
}

// active reports whether the member may have tasks at the worker.
func (t *member) active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase != phaseArmed && t.phase != phaseEnded
}

// expiredUnstarted reports whether the reservation ended before a start.
func (t *member) expiredUnstarted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase == phaseEnded && t.startedAt.IsZero()
}

func (t *member) addUsage(usage []workerapi.Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.tasks {
		for _, u := range usage {
			if u.ID == k.id {
				k.peakGB = max(k.peakGB, u.PeakMemoryGB, u.MemoryGB)
			}
		}
	}
}

func (t *member) report() *wire.MemberReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.m.Now()
	r := &wire.MemberReport{Worker: t.m.Worker, Handover: t.handover}
	for _, k := range t.tasks {
		r.Tasks = append(r.Tasks, k.report(t, now))
	}
	return r
}
