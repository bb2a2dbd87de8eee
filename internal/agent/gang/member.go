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

// phase is the state of a member or of a supervisor.
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
	manager   *Manager
	key       gangKey
	spec      model.Job
	members   []wire.Member
	perTask   model.Resources
	resumeMS  int64
	startDone chan struct{} // closed after the worker has answered every start

	mu        sync.Mutex
	term      uint64
	phase     phase
	tasks     []*task
	committed bool // every task of the gang has started
	// confirmed is false in a successor process until the supervisor extends the
	// gang lease; before that, task leases are not renewed. Otherwise an agent
	// that crashes repeatedly would keep its tasks running without the rest of
	// the gang.
	confirmed  bool
	leaseUntil time.Time
	// suspended is true from a planned restart until the next renewal of the gang
	// lease. Further planned restarts do not extend the window.
	suspended   bool
	stopAt      time.Time // end of the grace period
	stopReason  string
	startedAt   time.Time
	endedAt     time.Time
	handingOver bool // this agent is being restarted as planned
}

func newMember(m *Manager, o *wire.GangOrder, hold arbiter.Hold) *member {
	mb := &member{
		manager: m, key: gangKey{o.Job, o.Attempt}, spec: o.Spec, members: o.Members, perTask: hold.PerTask, resumeMS: o.ResumeMS,
		term: o.Term, phase: phaseArmed, confirmed: true, startDone: make(chan struct{}),
	}
	for _, rank := range hold.Ranks {
		mb.tasks = append(mb.tasks, &task{rank: rank, id: taskID(o.Job, o.Attempt, rank)})
	}
	return mb
}

// acceptTerm records the term of a supervisor and rejects a term lower than the
// highest one seen with the code Fenced.
func (mb *member) acceptTerm(term uint64) error {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.acceptTermLocked(term)
}

func (mb *member) acceptTermLocked(term uint64) error {
	if term < mb.term {
		return result.Errorf(result.Fenced, "supervisor term %d is fenced: the member has seen term %d", term, mb.term)
	}
	mb.term = term
	return nil
}

// start starts the tasks and waits until the worker has answered for all of them.
// A repeat only waits.
func (mb *member) start(ctx context.Context, o *wire.GangOrder) error {
	mb.mu.Lock()
	if err := mb.acceptTermLocked(o.Term); err != nil {
		mb.mu.Unlock()
		return err
	}
	if mb.phase == phaseEnded && mb.startedAt.IsZero() {
		mb.mu.Unlock()
		return result.Errorf(result.ReservationExpired, "attempt %d of job %s is no longer reserved", mb.key.attempt, mb.key.job)
	}
	if mb.phase != phaseArmed {
		mb.mu.Unlock()
		return mb.waitStarted(ctx)
	}
	if err := mb.manager.Arbiter.Start(mb.key.job, mb.key.attempt); err != nil {
		mb.mu.Unlock()
		return err
	}
	now := mb.manager.Now()
	mb.phase = phaseStarting
	mb.startedAt = now
	mb.leaseUntil = now.Add(GangLease)
	for _, t := range mb.tasks {
		t.callPending = true
		t.mayRunUntil = now.Add(workerTimeout + TaskLease + leaseMargin)
	}
	tasks := mb.tasks
	mb.mu.Unlock()
	mb.manager.OnChange()
	for _, t := range tasks {
		mb.manager.Spawn(func() { mb.runTask(t) })
	}
	return mb.waitStarted(ctx)
}

func (mb *member) waitStarted(ctx context.Context) error {
	select {
	case <-mb.startDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runTask starts one task at the worker. The answer is recorded even if the
// supervisor no longer waits for it.
func (mb *member) runTask(t *task) {
	labels, err := encodeLabels(taskIdentity{spec: mb.spec, attempt: mb.key.attempt, rank: t.rank, members: mb.members, resumeMS: mb.resumeMS})
	var state workerapi.Task
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), workerTimeout)
		state, err = mb.manager.API.Run(ctx, workerapi.Task{
			ID: t.id, Resources: mb.perTask, Command: mb.spec.Command, Labels: labels, ResumeMS: mb.resumeMS,
		}, TaskLease)
		cancel()
	}
	mb.mu.Lock()
	now := mb.manager.Now()
	t.callPending = false
	t.startAnswered = true
	t.renewedAt = now
	t.mayRunUntil = now.Add(TaskLease + leaseMargin)
	if err != nil {
		t.startError = "start: " + err.Error()
		mb.stopLocked(now, DefaultGracePeriod, "a task failed to start")
	} else {
		t.observe(state, now)
	}
	done := !slices.ContainsFunc(mb.tasks, func(t *task) bool { return !t.startAnswered })
	if done {
		if mb.phase == phaseStarting {
			mb.phase = phaseRunning
		}
		close(mb.startDone)
	}
	mb.mu.Unlock()
	if err != nil {
		log.WithFields(log.Fields{"event": "task_start_failed", "job": mb.key.job, "task": t.id, "code": int(result.CodeOf(err))}).Error(err.Error())
	}
	mb.step()
}

// renew extends the gang lease. An order with a lease of 0 does not extend it.
func (mb *member) renew(o *wire.GangOrder) error {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if err := mb.acceptTermLocked(o.Term); err != nil {
		return err
	}
	now := mb.manager.Now()
	lease := min(time.Duration(o.LeaseMS)*time.Millisecond, GangLease)
	// An expired lease is not renewed: the supervisor may already have reported
	// to the planner that the gang has ended.
	if mb.phase != phaseArmed && lease > 0 && !now.After(mb.leaseUntil) {
		mb.leaseUntil = now.Add(lease)
		mb.suspended = false
		mb.confirmLocked(now)
	}
	mb.committed = mb.committed || o.Committed
	return nil
}

// confirmLocked enables the renewal of the task leases in a successor process and
// makes it due at once.
func (mb *member) confirmLocked(now time.Time) {
	if mb.confirmed {
		return
	}
	mb.confirmed = true
	for _, t := range mb.tasks {
		t.renewedAt = now.Add(-TaskRenewInterval)
	}
}

// suspend extends the gang lease to the end of the window of a planned restart of
// the supervisor's agent. It has no effect on an expired lease, or if the lease has
// not been renewed since an earlier planned restart.
func (mb *member) suspend(window time.Duration) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	now := mb.manager.Now()
	if until := now.Add(window); !mb.suspended && !now.After(mb.leaseUntil) && until.After(mb.leaseUntil) {
		mb.leaseUntil = until
		mb.suspended = true
	}
}

// stop gives the tasks the grace period for a checkpoint and then stops them.
func (mb *member) stop(grace time.Duration, reason string) {
	mb.mu.Lock()
	mb.stopLocked(mb.manager.Now(), grace, reason)
	mb.mu.Unlock()
	mb.step()
}

func (mb *member) stopLocked(now time.Time, grace time.Duration, reason string) {
	switch mb.phase {
	case phaseArmed:
		mb.manager.Arbiter.End(mb.key.job, mb.key.attempt)
		mb.endLocked(now)
	case phaseStarting, phaseRunning:
		mb.phase = phaseStopping
		mb.stopAt = now.Add(grace)
		mb.stopReason = reason
		mb.manager.Arbiter.SetHoldStopping(mb.key.job, mb.key.attempt)
		mb.manager.OnChange()
	case phaseStopping:
		if at := now.Add(grace); at.Before(mb.stopAt) {
			mb.stopAt = at
		}
	}
}

func (mb *member) endLocked(now time.Time) {
	mb.phase = phaseEnded
	mb.endedAt = now
}

// step advances the state machine to the current time and starts the calls to the
// worker that are due.
func (mb *member) step() {
	mb.mu.Lock()
	calls := mb.advance(mb.manager.Now())
	mb.mu.Unlock()
	for _, call := range calls {
		mb.manager.Spawn(call)
	}
}

func (mb *member) advance(now time.Time) []func() {
	switch mb.phase {
	case phaseArmed:
		if !mb.manager.Arbiter.HasHold(mb.key.job, mb.key.attempt) {
			mb.endLocked(now)
		}
		return nil
	case phaseEnded:
		return nil
	case phaseStarting, phaseRunning:
		if now.After(mb.leaseUntil) {
			log.WithFields(log.Fields{"event": "gang_lease_expired", "job": mb.key.job, "attempt": mb.key.attempt, "code": int(result.GangLost)}).Warn("gang lease expired without a renewal by the supervisor; stopping the tasks")
			mb.stopLocked(now, DefaultGracePeriod, "the gang lease expired")
		}
	}
	var calls []func()
	for _, t := range mb.tasks {
		if call := mb.dueCall(t, now); call != nil {
			calls = append(calls, call)
		}
	}
	if !slices.ContainsFunc(mb.tasks, func(t *task) bool { return !t.ended }) {
		mb.manager.Arbiter.End(mb.key.job, mb.key.attempt)
		mb.endLocked(now)
		mb.manager.OnChange()
	}
	return calls
}

// forgettable reports whether the member ended more than endedGangRetention ago.
func (mb *member) forgettable(now time.Time) bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.phase == phaseEnded && now.Sub(mb.endedAt) > endedGangRetention
}

// active reports whether the worker may hold tasks of the member.
func (mb *member) active() bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.phase != phaseArmed && mb.phase != phaseEnded
}

// endedBeforeStart reports whether the member ended before a start of its tasks.
func (mb *member) endedBeforeStart() bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.phase == phaseEnded && mb.startedAt.IsZero()
}

// addUsage updates the peak memory of the tasks.
func (mb *member) addUsage(usage []workerapi.Usage) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	for _, t := range mb.tasks {
		for _, u := range usage {
			if u.ID == t.id {
				t.peakMemoryGB = max(t.peakMemoryGB, u.PeakMemoryGB, u.MemoryGB)
			}
		}
	}
}

func (mb *member) report() *wire.MemberReport {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	now := mb.manager.Now()
	r := &wire.MemberReport{Worker: mb.manager.Worker, Handover: mb.handingOver}
	for _, t := range mb.tasks {
		r.Tasks = append(r.Tasks, t.report(mb, now))
	}
	return r
}
