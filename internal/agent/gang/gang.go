// Package gang runs the tasks of gangs on one worker (member) and watches over
// the gangs whose first member is this worker (supervisor). Its state machines
// do nothing but advance on Tick and on answers, with an injected clock.
package gang

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/agent/arbiter"
	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// Times of the gang protocol (section 6 of the design).
const (
	// GangLease is the gang lease of a member.
	GangLease = 2 * time.Second
	// GangRenewInterval is the time between two renewals of the gang lease.
	GangRenewInterval = 500 * time.Millisecond
	// DefaultGracePeriod is the time for a checkpoint before a stop.
	DefaultGracePeriod = time.Second
	// TaskLease is the lease of a task at the worker.
	TaskLease = 3 * time.Second
	// TaskRenewInterval is the time between two renewals of a task lease.
	TaskRenewInterval = time.Second
	// HandoverWindow is the time in which a successor process must take over
	// after a planned stop.
	HandoverWindow = 15 * time.Second
	// TickInterval is the time between two calls of Tick.
	TickInterval = 50 * time.Millisecond

	// maxGracePeriod bounds the grace period that a planner may give; task leases are
	// not renewed during a checkpoint.
	maxGracePeriod = 2 * time.Second
	// armTimeout bounds the arming of all members; it is shorter than the
	// reservation of 3 s, so that an armed member is still armed at the start.
	armTimeout = 2 * time.Second
	// startTimeout bounds the start of all tasks after arming.
	startTimeout = 2 * time.Second
	// startFailureWindow is the run time below which the failure of a task
	// counts as a failed start.
	startFailureWindow = 5 * time.Second
	// retryInterval is the time between two attempts of a failed call.
	retryInterval = 200 * time.Millisecond
	// stopPollInterval is the time between two questions whether a member has
	// stopped; a team that claims its guarantee waits for the answer.
	stopPollInterval = 50 * time.Millisecond
	// callTimeout bounds a call to another agent, shorter than the gang lease.
	callTimeout = 600 * time.Millisecond
	// workerTimeout bounds a call to the worker interface.
	workerTimeout = time.Second
	// renewTimeout bounds a renewal of a task lease, so that two attempts fit
	// into maxTaskSilence.
	renewTimeout = 450 * time.Millisecond
	// maxTaskSilence is the time without an answer of the worker after which a task
	// counts as lost. Together with the gang lease and the grace period it makes
	// up the 5 s for which a part of a gang may run without the rest.
	maxTaskSilence = 2 * time.Second
	// leaseMargin covers the time for which an unanswered call to the worker
	// may still take effect.
	leaseMargin = time.Second
	// usageInterval is the time between two reads of the usage.
	usageInterval = time.Second
	// endedGangRetention is the time for which an ended gang answers repeats.
	endedGangRetention = 10 * time.Minute
	// outcomeRunning is the event of a gang of which every task has started.
	outcomeRunning = "running"
)

// Caller sends calls to other agents; transport.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error
}

// Config holds what a Manager needs.
type Config struct {
	Worker  string
	API     workerapi.WorkerAPI
	Arbiter *arbiter.Arbiter
	Caller  Caller
	Now     func() time.Time
	// Spawn runs f in the background; tests run it at once.
	Spawn func(f func())
	// OnChange is called after a change that a heartbeat reports.
	OnChange func()
}

type gangKey struct {
	job     string
	attempt uint64
}

// Manager holds the members and supervisors of this worker. It is safe for
// concurrent use.
type Manager struct {
	Config
	events *eventLog

	mu               sync.Mutex
	members          map[gangKey]*member
	supervisors      map[gangKey]*supervisor
	usageRequestedAt time.Time
	usagePending     bool
	frozen           bool // after a handover nothing advances
}

// New returns a manager without gangs.
func New(c Config) *Manager {
	return &Manager{
		Config:      c,
		events:      &eventLog{now: c.Now},
		members:     make(map[gangKey]*member),
		supervisors: make(map[gangKey]*supervisor),
	}
}

func (m *Manager) member(k gangKey) *member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members[k]
}

func (m *Manager) supervisor(k gangKey) *supervisor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.supervisors[k]
}

// Tick advances all gangs.
func (m *Manager) Tick() {
	members, supervisors, frozen := m.snapshot()
	if frozen {
		return
	}
	for _, s := range supervisors {
		s.step()
	}
	for _, mb := range members {
		mb.step()
	}
	m.pollUsage(slices.ContainsFunc(members, (*member).active))
	m.forgetEnded()
}

func (m *Manager) snapshot() ([]*member, []*supervisor, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]*member, 0, len(m.members))
	for _, mb := range m.members {
		members = append(members, mb)
	}
	supervisors := make([]*supervisor, 0, len(m.supervisors))
	for _, s := range m.supervisors {
		supervisors = append(supervisors, s)
	}
	slices.SortFunc(members, func(a, b *member) int { return a.key.compare(b.key) })
	slices.SortFunc(supervisors, func(a, b *supervisor) int { return a.key.compare(b.key) })
	return members, supervisors, m.frozen
}

func (k gangKey) compare(o gangKey) int {
	switch {
	case k.job != o.job:
		if k.job < o.job {
			return -1
		}
		return 1
	case k.attempt < o.attempt:
		return -1
	case k.attempt > o.attempt:
		return 1
	}
	return 0
}

func (m *Manager) forgetEnded() {
	now := m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, mb := range m.members {
		if mb.forgettable(now) {
			delete(m.members, k)
		}
	}
	for k, s := range m.supervisors {
		if s.forgettable(now) {
			delete(m.supervisors, k)
		}
	}
}

// pollUsage reads the usage of the tasks in the background.
func (m *Manager) pollUsage(needed bool) {
	now := m.Now()
	m.mu.Lock()
	due := needed && !m.usagePending && now.Sub(m.usageRequestedAt) >= usageInterval
	if due {
		m.usagePending = true
		m.usageRequestedAt = now
	}
	m.mu.Unlock()
	if due {
		m.Spawn(m.fetchUsage)
	}
}

func (m *Manager) fetchUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), workerTimeout)
	defer cancel()
	usage, err := m.API.Usage(ctx)
	members, _, _ := m.snapshot()
	m.mu.Lock()
	m.usagePending = false
	m.mu.Unlock()
	if err != nil {
		return
	}
	for _, mb := range members {
		mb.addUsage(usage)
	}
}

// StartGang accepts a fully reserved gang to be supervised here. A repeat is
// idempotent. The outcome follows as an event.
func (m *Manager) StartGang(req *wire.StartGang) error {
	if err := m.validateStartGang(req); err != nil {
		return err
	}
	k := gangKey{req.Job.ID, req.Attempt}
	m.mu.Lock()
	if m.supervisors[k] != nil {
		m.mu.Unlock()
		return nil
	}
	s := newSupervisor(m, req)
	m.supervisors[k] = s
	m.mu.Unlock()
	s.step()
	return nil
}

func (m *Manager) validateStartGang(req *wire.StartGang) error {
	if req.Job.ID == "" || req.Attempt == 0 {
		return result.Errorf(result.BadRequest, "a gang needs a job and an attempt")
	}
	if err := checkMembers(req.Members); err != nil {
		return err
	}
	if req.Members[0].Worker != m.Worker {
		return result.Errorf(result.BadRequest, "worker %s is not the first member of the gang", m.Worker)
	}
	if m.supervisor(gangKey{req.Job.ID, req.Attempt}) != nil {
		return nil
	}
	if !m.Arbiter.HasHold(req.Job.ID, req.Attempt) {
		return result.Errorf(result.ReservationExpired, "attempt %d of job %s is not reserved", req.Attempt, req.Job.ID)
	}
	return nil
}

// StopGang checkpoints and stops a gang. At its supervisor the whole gang ends
// with the outcome stopped; at another member the tasks of that member end.
func (m *Manager) StopGang(req *wire.StopGang) error {
	k := gangKey{req.Job, req.Attempt}
	grace := min(time.Duration(max(req.GraceMS, 0))*time.Millisecond, maxGracePeriod)
	if s := m.supervisor(k); s != nil {
		s.stop(framework.OutcomeStopped, grace, req.Reason)
		return nil
	}
	if mb := m.member(k); mb != nil {
		mb.stop(grace, req.Reason)
		return nil
	}
	return result.Errorf(result.StaleAttempt, "attempt %d of job %s is not known here", req.Attempt, req.Job)
}

// Arm serves wire.KindArm.
func (m *Manager) Arm(o *wire.GangOrder) error {
	if err := checkMembers(o.Members); err != nil {
		return err
	}
	k := gangKey{o.Job, o.Attempt}
	if mb := m.member(k); mb != nil {
		if err := mb.acceptTerm(o.Term); err != nil {
			return err
		}
	}
	hold, err := m.Arbiter.Arm(o.Job, o.Attempt)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if mb := m.members[k]; mb == nil || mb.expiredUnstarted() {
		m.members[k] = newMember(m, o, hold)
	}
	return nil
}

// Start serves wire.KindStart. It returns when every task has been answered for.
func (m *Manager) Start(ctx context.Context, o *wire.GangOrder) (*wire.MemberReport, error) {
	mb := m.member(gangKey{o.Job, o.Attempt})
	if mb == nil {
		return nil, result.Errorf(result.ReservationExpired, "attempt %d of job %s is not armed", o.Attempt, o.Job)
	}
	if err := mb.start(ctx, o); err != nil {
		return nil, err
	}
	return mb.report(), nil
}

// Renew serves wire.KindRenew.
func (m *Manager) Renew(o *wire.GangOrder) (*wire.MemberReport, error) {
	mb := m.member(gangKey{o.Job, o.Attempt})
	if mb == nil {
		return nil, result.Errorf(result.StaleAttempt, "attempt %d of job %s is not known here", o.Attempt, o.Job)
	}
	if err := mb.renew(o); err != nil {
		return nil, err
	}
	return mb.report(), nil
}

// Abort serves wire.KindAbort: the member's tasks are checkpointed and stopped.
func (m *Manager) Abort(o *wire.GangOrder) (*wire.MemberReport, error) {
	mb := m.member(gangKey{o.Job, o.Attempt})
	if mb == nil {
		return nil, result.Errorf(result.StaleAttempt, "attempt %d of job %s is not known here", o.Attempt, o.Job)
	}
	if err := mb.acceptTerm(o.Term); err != nil {
		return nil, err
	}
	grace := min(time.Duration(max(o.GraceMS, 0))*time.Millisecond, maxGracePeriod)
	mb.stop(grace, o.Reason)
	return mb.report(), nil
}

// Events returns the events that are not acknowledged, at most a bounded number.
func (m *Manager) Events() []wire.GangEvent { return m.events.pending() }

// Acknowledge drops the events up to and including seq.
func (m *Manager) Acknowledge(seq uint64) { m.events.acknowledge(seq) }

// emit records an event and has it sent at once.
func (m *Manager) emit(e wire.GangEvent) {
	e = m.events.add(e)
	log.WithFields(log.Fields{
		"event": "gang_" + e.Outcome, "job": e.Job, "attempt": e.Attempt, "blamed_worker": e.BlamedWorker, "code": int(outcomeCode(e.Outcome)),
	}).Info(e.Message)
	m.OnChange()
}

func outcomeCode(outcome string) result.Code {
	switch framework.Outcome(outcome) {
	case framework.OutcomeStopped:
		return result.Preempted
	case framework.OutcomeLost:
		return result.GangLost
	case framework.OutcomeStartFailed, framework.OutcomeTaskFailed, framework.OutcomeOutOfMemory:
		return result.TaskFailed
	case framework.OutcomeNotStarted:
		return result.ReservationExpired
	}
	return result.OK
}
