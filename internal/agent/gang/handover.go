package gang

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/agent/arbiter"
	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// Settled reports whether all members and supervisors on this worker are running or
// have ended, so that a handover finds running tasks only.
func (m *Manager) Settled() bool {
	members, supervisors, _ := m.snapshot()
	for _, mb := range members {
		mb.mu.Lock()
		inTransition := mb.phase == phaseArmed || mb.phase == phaseStarting || mb.phase == phaseStopping
		mb.mu.Unlock()
		if inTransition {
			return false
		}
	}
	for _, s := range supervisors {
		s.mu.Lock()
		inTransition := s.phase != phaseRunning && s.phase != phaseEnded
		s.mu.Unlock()
		if inTransition {
			return false
		}
	}
	return true
}

// PrepareHandover prepares a planned restart of the agent. It extends the task
// leases to HandoverWindow and notifies the supervisors and members on other
// workers. From then on Tick has no effect; the successor process adopts the
// tasks.
func (m *Manager) PrepareHandover(ctx context.Context) {
	m.mu.Lock()
	m.frozen = true
	m.mu.Unlock()
	members, _, _ := m.snapshot()
	var wg sync.WaitGroup
	for _, mb := range members {
		for _, f := range mb.handoverCalls() {
			wg.Add(1)
			m.Spawn(func() {
				defer wg.Done()
				f(ctx)
			})
		}
	}
	wg.Wait()
}

// handoverCalls returns the calls that extend the task leases and notify the
// other agents of the gang.
func (mb *member) handoverCalls() []func(context.Context) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.phase != phaseRunning {
		return nil
	}
	mb.handingOver = true
	window := HandoverWindow
	if mb.suspended {
		window = max(mb.leaseUntil.Sub(mb.manager.Now()), time.Millisecond)
	}
	var calls []func(context.Context)
	for _, t := range mb.tasks {
		if !t.ended {
			calls = append(calls, func(ctx context.Context) { mb.extendTaskLease(ctx, t.id, window) })
		}
	}
	for _, other := range mb.handoverRecipients() {
		calls = append(calls, func(ctx context.Context) { mb.sendHandover(ctx, other, window) })
	}
	return calls
}

func (mb *member) extendTaskLease(ctx context.Context, id string, window time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	if _, err := mb.manager.API.Renew(ctx, id, window); err != nil {
		log.WithFields(log.Fields{"event": "handover_failed", "job": mb.key.job, "task": id, "code": int(result.CodeOf(err))}).Warn(err.Error())
	}
}

// handoverRecipients returns the member that supervises the gang or, if that is
// this worker, all other members.
func (mb *member) handoverRecipients() []wire.Member {
	if len(mb.members) == 0 {
		return nil
	}
	if mb.members[0].Worker != mb.manager.Worker {
		return mb.members[:1]
	}
	return mb.members[1:]
}

func (mb *member) sendHandover(ctx context.Context, other wire.Member, window time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg := &wire.Handover{Job: mb.key.job, Attempt: mb.key.attempt, Worker: mb.manager.Worker, WindowMS: window.Milliseconds()}
	if err := mb.manager.Caller.Call(ctx, other.Address, wire.KindHandover, msg, &wire.Ack{}); err != nil {
		log.WithFields(log.Fields{"event": "handover_failed", "job": mb.key.job, "worker": other.Worker, "code": int(result.CodeOf(err))}).Warn(err.Error())
	}
}

// HandleHandover serves wire.KindHandover: the agent of a supervisor or member
// is about to be restarted.
func (m *Manager) HandleHandover(h *wire.Handover) error {
	k := gangKey{h.Job, h.Attempt}
	window := min(time.Duration(max(h.WindowMS, 0))*time.Millisecond, HandoverWindow)
	if s := m.supervisor(k); s != nil {
		s.suspend(h.Worker, window)
		return nil
	}
	mb := m.member(k)
	if mb == nil {
		return result.Errorf(result.StaleAttempt, "attempt %d of job %s is not known to this worker", h.Attempt, h.Job)
	}
	if len(mb.members) == 0 || mb.members[0].Worker != h.Worker {
		return result.Errorf(result.Forbidden, "worker %s does not supervise the gang of job %s", h.Worker, h.Job)
	}
	mb.suspend(window)
	return nil
}

// suspend keeps a member from counting as lost during the window of the planned
// restart of its agent. A further handover does not extend a window that has not
// ended.
func (s *supervisor) suspend(worker string, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if now := s.manager.Now(); p.Worker == worker && !now.Before(p.handoverUntil) {
			p.handoverUntil = now.Add(window)
		}
	}
}

// maxAdoptedEndAge is the time since the end of its latest task within which a
// supervisor's successor process adopts a gang that has no running tasks. The
// successor process then reports the end of the gang again.
const maxAdoptedEndAge = time.Minute

// Adopt takes over the tasks that an earlier process started on the worker. It
// stops tasks without usable labels. It must be called once, before any other
// method.
func (m *Manager) Adopt(tasks []workerapi.Task) {
	now := m.Now()
	groups := make(map[gangKey][]workerapi.Task)
	ids := make(map[gangKey]taskIdentity)
	for _, task := range tasks {
		id, err := decodeLabels(task.Labels)
		if err != nil {
			m.adoptOrphan(task, now)
			continue
		}
		k := gangKey{id.spec.ID, id.attempt}
		ids[k] = id
		groups[k] = append(groups[k], task)
	}
	for k, group := range groups {
		m.adoptGroup(k, ids[k], group, now)
	}
}

// adoptOrphan adopts a task without usable labels under its task id, so that its
// resources stay reserved until it has stopped.
func (m *Manager) adoptOrphan(task workerapi.Task, now time.Time) {
	if hasEnded(task.State) {
		return
	}
	log.WithFields(log.Fields{"event": "task_orphaned", "task": task.ID, "code": int(result.BadRequest)}).Warn("task has no usable labels and is stopped")
	k := gangKey{task.ID, 1}
	m.Arbiter.Adopt(arbiter.Hold{Job: k.job, Attempt: k.attempt, Ranks: []int{0}, PerTask: task.Resources})
	mb := m.newAdoptedMember(k, taskIdentity{}, []workerapi.Task{task}, []int{0}, now)
	mb.stopLocked(now, DefaultGracePeriod, "the task has no usable labels")
	m.members[k] = mb
}

func (m *Manager) adoptGroup(k gangKey, id taskIdentity, group []workerapi.Task, now time.Time) {
	running := 0
	recent := false
	ranks := make([]int, len(group))
	for i, task := range group {
		identity, _ := decodeLabels(task.Labels)
		ranks[i] = identity.rank
		if !hasEnded(task.State) {
			running++
		}
		recent = recent || now.Sub(time.UnixMilli(task.EndedMS)) < maxAdoptedEndAge
	}
	supervised := id.members[0].Worker == m.Worker
	if running == 0 && !(supervised && recent) {
		return
	}
	mb := m.newAdoptedMember(k, id, group, ranks, now)
	m.members[k] = mb
	if running > 0 {
		m.adoptHold(k, mb)
	}
	if supervised {
		m.supervisors[k] = m.newAdoptedSupervisor(k, id, mb, remainingHandover(group))
	}
	log.WithFields(log.Fields{"event": "gang_adopted", "job": k.job, "attempt": k.attempt, "tasks": running, "supervisor": supervised}).Info("tasks of an earlier agent process adopted")
}

// adoptHold reserves the resources of the running tasks.
func (m *Manager) adoptHold(k gangKey, mb *member) {
	var ranks []int
	for _, task := range mb.tasks {
		if !task.ended {
			ranks = append(ranks, task.rank)
		}
	}
	m.Arbiter.Adopt(arbiter.Hold{Job: k.job, Attempt: k.attempt, Ranks: ranks, PerTask: mb.perTask})
}

func (m *Manager) newAdoptedMember(k gangKey, id taskIdentity, group []workerapi.Task, ranks []int, now time.Time) *member {
	mb := &member{
		manager: m, key: k, spec: id.spec, members: id.members, perTask: group[0].Resources, resumeMS: id.resumeMS,
		startDone: make(chan struct{}), phase: phaseRunning, leaseUntil: now.Add(GangLease),
		startedAt: time.UnixMilli(group[0].StartedMS), committed: true,
	}
	close(mb.startDone)
	if window := remainingHandover(group); window > 0 {
		mb.leaseUntil = now.Add(window)
		mb.suspended = true
	}
	for i, state := range group {
		task := &task{rank: ranks[i], id: state.ID, startAnswered: true}
		lease := max(TaskLease, time.Duration(state.LeaseMS)*time.Millisecond)
		task.mayRunUntil = now.Add(lease + leaseMargin)
		task.observe(state, now)
		mb.tasks = append(mb.tasks, task)
	}
	return mb
}

func (m *Manager) newAdoptedSupervisor(k gangKey, id taskIdentity, mb *member, window time.Duration) *supervisor {
	now := m.Now()
	s := newSupervisor(m, &wire.StartGang{Job: id.spec, Attempt: k.attempt, Members: id.members, ResumeMS: id.resumeMS})
	s.phase = phaseRunning
	s.startedAt = mb.startedAt
	s.adopted = true
	for _, p := range s.peers {
		p.armed = true
		p.started = true
		p.lastSeen = now
		p.handoverUntil = now.Add(window)
	}
	return s
}

// remainingHandover returns the time left in the window of a planned restart, 0
// after a crash. Only a planned restart leaves task leases longer than TaskLease.
// Until the window ends, other agents of the gang may be restarting as well.
func remainingHandover(group []workerapi.Task) time.Duration {
	var left time.Duration
	for _, task := range group {
		lease := min(time.Duration(task.LeaseMS)*time.Millisecond, HandoverWindow)
		if !hasEnded(task.State) && lease > TaskLease {
			left = max(left, lease)
		}
	}
	return left
}

// StopStartingGangs stops the gangs that are supervised here and of which not all
// tasks have started. They cannot be handed over.
func (m *Manager) StopStartingGangs() {
	_, supervisors, _ := m.snapshot()
	for _, s := range supervisors {
		s.mu.Lock()
		starting := s.phase == phaseArming || s.phase == phaseStarting
		s.mu.Unlock()
		if starting {
			s.stop(framework.OutcomeLost, 0, "the agent of the supervisor is stopping")
		}
	}
}
