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

// Settled reports whether no gang is starting or stopping here, so that a
// handover finds only running tasks.
func (m *Manager) Settled() bool {
	members, supervisors, _ := m.all()
	for _, t := range members {
		t.mu.Lock()
		moving := t.phase == phaseArmed || t.phase == phaseStarting || t.phase == phaseStopping
		t.mu.Unlock()
		if moving {
			return false
		}
	}
	for _, s := range supervisors {
		s.mu.Lock()
		moving := s.phase != phaseRunning && s.phase != phaseEnded
		s.mu.Unlock()
		if moving {
			return false
		}
	}
	return true
}

// Handover prepares a planned restart: task leases are extended to
// HandoverWindow, and supervisors or members elsewhere are notified. After it
// the manager no longer advances; the successor process adopts the tasks.
func (m *Manager) Handover(ctx context.Context) {
	m.mu.Lock()
	m.frozen = true
	m.mu.Unlock()
	members, _, _ := m.all()
	var wg sync.WaitGroup
	for _, t := range members {
		for _, f := range t.handoverCalls() {
			wg.Add(1)
			m.Spawn(func() {
				defer wg.Done()
				f(ctx)
			})
		}
	}
	wg.Wait()
}

func (t *member) handoverCalls() []func(context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase != phaseRunning {
		return nil
	}
	t.handover = true
	window := HandoverWindow
	if t.suspended {
		window = max(t.leaseUntil.Sub(t.m.Now()), time.Millisecond)
	}
	var calls []func(context.Context)
	for _, k := range t.tasks {
		if !k.over {
			calls = append(calls, func(ctx context.Context) { t.extend(ctx, k.id, window) })
		}
	}
	for _, other := range t.notified() {
		calls = append(calls, func(ctx context.Context) { t.notify(ctx, other, window) })
	}
	return calls
}

func (t *member) extend(ctx context.Context, id string, window time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	if _, err := t.m.API.Renew(ctx, id, window); err != nil {
		log.WithFields(log.Fields{"event": "handover_failed", "job": t.key.job, "task": id, "code": int(result.CodeOf(err))}).Warn(err.Error())
	}
}

// notified returns the supervisor, or at the supervisor all other members.
func (t *member) notified() []wire.Member {
	if len(t.members) == 0 {
		return nil
	}
	if t.members[0].Worker != t.m.Worker {
		return t.members[:1]
	}
	return t.members[1:]
}

func (t *member) notify(ctx context.Context, other wire.Member, window time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg := &wire.Handover{Job: t.key.job, Attempt: t.key.attempt, Worker: t.m.Worker, WindowMS: window.Milliseconds()}
	if err := t.m.Caller.Call(ctx, other.Address, wire.KindHandover, msg, &wire.Ack{}); err != nil {
		log.WithFields(log.Fields{"event": "handover_failed", "job": t.key.job, "worker": other.Worker, "code": int(result.CodeOf(err))}).Warn(err.Error())
	}
}

// HandleHandover serves wire.KindHandover.
func (m *Manager) HandleHandover(h *wire.Handover) error {
	k := key{h.Job, h.Attempt}
	window := min(time.Duration(max(h.WindowMS, 0))*time.Millisecond, HandoverWindow)
	if s := m.supervisor(k); s != nil {
		s.suspend(h.Worker, window)
		return nil
	}
	t := m.member(k)
	if t == nil {
		return result.Errorf(result.StaleAttempt, "attempt %d of job %s is not known here", h.Attempt, h.Job)
	}
	if len(t.members) == 0 || t.members[0].Worker != h.Worker {
		return result.Errorf(result.Forbidden, "worker %s does not supervise job %s", h.Worker, h.Job)
	}
	t.suspend(window)
	return nil
}

func (s *supervisor) suspend(worker string, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if now := s.m.Now(); p.Worker == worker && !now.Before(p.handoverUntil) {
			p.handoverUntil = now.Add(window)
		}
	}
}

// adoptEndedWithin is the age up to which the ended tasks of a gang that is
// supervised here are adopted, so that its end is reported again.
const adoptEndedWithin = time.Minute

// Adopt takes over the tasks that the worker already runs. Tasks without
// usable labels are stopped. Call it once, before any other method.
func (m *Manager) Adopt(tasks []workerapi.Task) {
	now := m.Now()
	groups := make(map[key][]workerapi.Task)
	ids := make(map[key]identity)
	for _, task := range tasks {
		id, err := decodeLabels(task.Labels)
		if err != nil {
			m.adoptOrphan(task, now)
			continue
		}
		k := key{id.spec.ID, id.attempt}
		ids[k] = id
		groups[k] = append(groups[k], task)
	}
	for k, group := range groups {
		m.adoptGroup(k, ids[k], group, now)
	}
}

func (m *Manager) adoptOrphan(task workerapi.Task, now time.Time) {
	if ended(task.State) {
		return
	}
	log.WithFields(log.Fields{"event": "task_orphaned", "task": task.ID, "code": int(result.BadRequest)}).Warn("a task without usable labels is stopped")
	k := key{task.ID, 1}
	m.Arbiter.Adopt(arbiter.Hold{Job: k.job, Attempt: k.attempt, Ranks: []int{0}, PerTask: task.Resources})
	t := m.adoptedMember(k, identity{}, []workerapi.Task{task}, []int{0}, now)
	t.stopLocked(now, Grace, "a task without usable labels")
	m.members[k] = t
}

func (m *Manager) adoptGroup(k key, id identity, group []workerapi.Task, now time.Time) {
	running := 0
	recent := false
	ranks := make([]int, len(group))
	for i, task := range group {
		d, _ := decodeLabels(task.Labels)
		ranks[i] = d.rank
		if !ended(task.State) {
			running++
		}
		recent = recent || now.Sub(time.UnixMilli(task.EndedMS)) < adoptEndedWithin
	}
	supervised := id.members[0].Worker == m.Worker
	if running == 0 && !(supervised && recent) {
		return
	}
	t := m.adoptedMember(k, id, group, ranks, now)
	m.members[k] = t
	if running > 0 {
		m.adoptHold(k, t)
	}
	if supervised {
		m.supervisors[k] = m.adoptedSupervisor(k, id, t, handoverLeft(group))
	}
	log.WithFields(log.Fields{"event": "gang_adopted", "job": k.job, "attempt": k.attempt, "tasks": running, "supervisor": supervised}).Info("tasks of an earlier process were taken over")
}

// adoptHold books the running tasks.
func (m *Manager) adoptHold(k key, t *member) {
	var ranks []int
	for _, task := range t.tasks {
		if !task.over {
			ranks = append(ranks, task.rank)
		}
	}
	m.Arbiter.Adopt(arbiter.Hold{Job: k.job, Attempt: k.attempt, Ranks: ranks, PerTask: t.perTask})
}

func (m *Manager) adoptedMember(k key, id identity, group []workerapi.Task, ranks []int, now time.Time) *member {
	t := &member{
		m: m, key: k, spec: id.spec, members: id.members, perTask: group[0].Resources, resume: id.resume,
		started: make(chan struct{}), phase: phaseRunning, leaseUntil: now.Add(Lease),
		startedAt: time.UnixMilli(group[0].StartedMS), committed: true,
	}
	close(t.started)
	if window := handoverLeft(group); window > 0 {
		t.leaseUntil = now.Add(window)
		t.suspended = true
	}
	for i, state := range group {
		task := &task{rank: ranks[i], id: state.ID, answered: true}
		lease := max(TaskLease, time.Duration(state.LeaseMS)*time.Millisecond)
		task.mayRunUntil = now.Add(lease + leaseMargin)
		task.observe(state, now)
		t.tasks = append(t.tasks, task)
	}
	return t
}

func (m *Manager) adoptedSupervisor(k key, id identity, t *member, window time.Duration) *supervisor {
	now := m.Now()
	s := newSupervisor(m, &wire.StartGang{Job: id.spec, Attempt: k.attempt, Members: id.members, ResumeMS: id.resume})
	s.phase = phaseRunning
	s.startedAt = t.startedAt
	s.adopted = true
	for _, p := range s.peers {
		p.armed = true
		p.started = true
		p.seen = now
		p.handoverUntil = now.Add(window)
	}
	return s
}

// handoverLeft returns the rest of the window of a planned restart, which shows
// in task leases longer than TaskLease; 0 after a crash. Until it ends, other
// agents of the gang may be restarting as well.
func handoverLeft(group []workerapi.Task) time.Duration {
	var left time.Duration
	for _, task := range group {
		lease := min(time.Duration(task.LeaseMS)*time.Millisecond, HandoverWindow)
		if !ended(task.State) && lease > TaskLease {
			left = max(left, lease)
		}
	}
	return left
}

// Abandon stops the gangs that cannot be handed over because they have not
// started as a whole.
func (m *Manager) Abandon() {
	_, supervisors, _ := m.all()
	for _, s := range supervisors {
		s.mu.Lock()
		starting := s.phase == phaseArming || s.phase == phaseStarting
		s.mu.Unlock()
		if starting {
			s.stop(framework.OutcomeLost, 0, "the agent of the supervisor stops")
		}
	}
}
