// Package gang runs the tasks of gangs on one worker (member) and supervises the
// gangs whose first member is this worker (supervisor). Members and supervisors
// are state machines with an injected clock; they advance on Tick, on calls and
// on the answers to their own calls.
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

// Durations of the gang protocol.
const (
	// GangLease is the duration of the lease by which a supervisor lets a member
	// run its tasks. A member whose gang lease expires stops its tasks.
	GangLease = 2 * time.Second
	// GangRenewInterval is the interval between renewals of the gang lease.
	GangRenewInterval = 500 * time.Millisecond
	// DefaultGracePeriod is the time that tasks get for a checkpoint before they
	// are stopped.
	DefaultGracePeriod = time.Second
	// TaskLease is the duration of the lease of a task at the worker. The worker
	// ends a task whose lease expires.
	TaskLease = 3 * time.Second
	// TaskRenewInterval is the interval between renewals of a task lease.
	TaskRenewInterval = time.Second
	// HandoverWindow is the time within which a successor process must take over
	// after a planned restart.
	HandoverWindow = 15 * time.Second
	// TickInterval is the interval between calls of Tick.
	TickInterval = 50 * time.Millisecond

	// maxGracePeriod bounds the grace period that a planner may request, because
	// task leases are not renewed during a checkpoint.
	maxGracePeriod = 2 * time.Second
	// armTimeout bounds the arming of all members. It is shorter than the 3 s of
	// an armed reservation, so that a member armed first is still armed when the
	// last one is.
	armTimeout = 2 * time.Second
	// startTimeout bounds the start of all tasks after all members are armed.
	startTimeout = 2 * time.Second
	// startFailureWindow is the time after the start of a gang within which the
	// failure of a task counts as a failed start.
	startFailureWindow = 5 * time.Second
	// retryInterval is the interval between attempts of a failed call.
	retryInterval = 200 * time.Millisecond
	// stopPollInterval is the interval at which the supervisor asks a member
	// whether it has stopped. It is short because a team that claims its guarantee
	// waits for the answer.
	stopPollInterval = 50 * time.Millisecond
	// callTimeout bounds a call to another agent. It is shorter than the gang
	// lease.
	callTimeout = 600 * time.Millisecond
	// workerTimeout bounds a call to the worker interface that is not a renewal or
	// a checkpoint.
	workerTimeout = time.Second
	// renewTimeout bounds a renewal of a task lease, so that two attempts fit
	// into maxTaskSilence.
	renewTimeout = 450 * time.Millisecond
	// maxTaskSilence is the time since the last successful renewal after which a
	// task counts as lost. Together with the gang lease and the grace period it
	// makes up the 5 s for which a part of a gang may run without the rest.
	maxTaskSilence = 2 * time.Second
	// leaseMargin is added to a task lease for the time in which an unanswered
	// call to the worker may still take effect.
	leaseMargin = time.Second
	// usageInterval is the interval between reads of the task usage.
	usageInterval = time.Second
	// endedGangRetention is how long an ended gang is kept to answer repeated
	// calls.
	endedGangRetention = 10 * time.Minute
	// outcomeRunning is the outcome in the event of a gang whose tasks have all
	// started.
	outcomeRunning = "running"
)

// Caller calls other agents. It is implemented by transport.Pool.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error
}

// Config holds the identity and the dependencies of a Manager.
type Config struct {
	Worker  string // id of this worker
	API     workerapi.WorkerAPI
	Arbiter *arbiter.Arbiter
	Caller  Caller
	Now     func() time.Time
	// Spawn runs f in the background. Tests run it synchronously.
	Spawn func(f func())
	// OnChange is called after each change that heartbeats report.
	OnChange func()
}

// gangKey identifies a gang: one attempt of a job.
type gangKey struct {
	job     string
	attempt uint64
}

// Manager runs the members and supervisors of this worker. It is safe for
// concurrent use.
type Manager struct {
	Config
	events *eventLog

	mu               sync.Mutex
	members          map[gangKey]*member
	supervisors      map[gangKey]*supervisor
	usageRequestedAt time.Time
	usagePending     bool
	frozen           bool // set by a handover; Tick has no effect any more
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

// Tick advances all members and supervisors to the current time and starts the
// calls that are due.
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

// snapshot returns the members and supervisors, ordered by gang, and whether a
// handover has begun.
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

// forgetEnded drops gangs that ended more than endedGangRetention ago.
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

// pollUsage reads the task usage in the background every usageInterval while it
// is needed.
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

// StartGang starts a gang, which must be reserved on all its members, and
// supervises it. A repeat is idempotent. The outcome is reported as an event.
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
		return result.Errorf(result.BadRequest, "gang needs a job id and an attempt of at least 1")
	}
	if err := checkMembers(req.Members); err != nil {
		return err
	}
	if req.Members[0].Worker != m.Worker {
		return result.Errorf(result.BadRequest, "worker %s cannot supervise the gang: it is not its first member", m.Worker)
	}
	if m.supervisor(gangKey{req.Job.ID, req.Attempt}) != nil {
		return nil
	}
	if !m.Arbiter.HasHold(req.Job.ID, req.Attempt) {
		return result.Errorf(result.ReservationExpired, "attempt %d of job %s is not reserved", req.Attempt, req.Job.ID)
	}
	return nil
}

// StopGang gives the tasks the grace period for a checkpoint and stops them. At
// the supervisor it ends the whole gang with the outcome stopped, at another
// member only the tasks of that member.
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
	return result.Errorf(result.StaleAttempt, "attempt %d of job %s is not known to this worker", req.Attempt, req.Job)
}

// Arm serves wire.KindArm: it confirms the reservation and creates the member.
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
	if mb := m.members[k]; mb == nil || mb.endedBeforeStart() {
		m.members[k] = newMember(m, o, hold)
	}
	return nil
}

// Start serves wire.KindStart. It returns after the worker has answered the start
// of every task.
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

// Renew serves wire.KindRenew: it extends the gang lease.
func (m *Manager) Renew(o *wire.GangOrder) (*wire.MemberReport, error) {
	mb := m.member(gangKey{o.Job, o.Attempt})
	if mb == nil {
		return nil, result.Errorf(result.StaleAttempt, "attempt %d of job %s is not known to this worker", o.Attempt, o.Job)
	}
	if err := mb.renew(o); err != nil {
		return nil, err
	}
	return mb.report(), nil
}

// Abort serves wire.KindAbort: it gives the member's tasks the grace period for a
// checkpoint and stops them.
func (m *Manager) Abort(o *wire.GangOrder) (*wire.MemberReport, error) {
	mb := m.member(gangKey{o.Job, o.Attempt})
	if mb == nil {
		return nil, result.Errorf(result.StaleAttempt, "attempt %d of job %s is not known to this worker", o.Attempt, o.Job)
	}
	if err := mb.acceptTerm(o.Term); err != nil {
		return nil, err
	}
	grace := min(time.Duration(max(o.GraceMS, 0))*time.Millisecond, maxGracePeriod)
	mb.stop(grace, o.Reason)
	return mb.report(), nil
}

// Events returns the oldest unacknowledged events, at most
// maxEventsPerHeartbeat.
func (m *Manager) Events() []wire.GangEvent { return m.events.pending() }

// Acknowledge drops the events with sequence numbers up to and including seq.
func (m *Manager) Acknowledge(seq uint64) { m.events.acknowledge(seq) }

// emit queues and logs an event and requests a heartbeat to send it.
func (m *Manager) emit(e wire.GangEvent) {
	e = m.events.add(e)
	log.WithFields(log.Fields{
		"event": "gang_" + e.Outcome, "job": e.Job, "attempt": e.Attempt, "blamed_worker": e.BlamedWorker, "code": int(outcomeCode(e.Outcome)),
	}).Info(e.Message)
	m.OnChange()
}

// outcomeCode returns the result code under which an outcome is logged.
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
