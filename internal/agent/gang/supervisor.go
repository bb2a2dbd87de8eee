package gang

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// supervisor starts a gang as a whole and ends it as a whole.
type supervisor struct {
	m    *Manager
	key  key
	req  wire.StartGang
	term uint64

	mu        sync.Mutex
	phase     phase
	peers     []*peer
	phaseAt   time.Time
	startedAt time.Time
	grace     time.Duration
	outcome   framework.Outcome
	blamed    string
	message   string
	// adopted is set in a successor process until every member has answered. A
	// supervisor that crashes again and again would otherwise extend the leases
	// of a gang of which a member is lost.
	adopted bool
	fenced  bool // a newer supervisor is in charge
}

// peer is a member as its supervisor sees it.
type peer struct {
	wire.Member
	armed   bool
	started bool
	ended   bool
	busy    bool
	seen    time.Time // latest answer that confirmed the gang lease
	tried   time.Time // latest call
	// handoverUntil is the end of the window of a planned restart.
	handoverUntil time.Time
	tasks         map[int]wire.TaskReport
}

func newSupervisor(m *Manager, req *wire.StartGang) *supervisor {
	now := m.Now()
	s := &supervisor{
		m: m, key: key{req.Job.ID, req.Attempt}, req: *req,
		// A successor process has a later time, so a higher term.
		term:  uint64(now.UnixMilli()),
		phase: phaseArming, phaseAt: now, grace: Grace,
	}
	for _, member := range req.Members {
		s.peers = append(s.peers, &peer{Member: member, tasks: make(map[int]wire.TaskReport)})
	}
	return s
}

// step advances the supervisor by the time and starts the calls that are due.
func (s *supervisor) step() {
	s.mu.Lock()
	calls := s.advance(s.m.Now())
	s.mu.Unlock()
	for _, call := range calls {
		s.m.Spawn(call)
	}
}

func (s *supervisor) advance(now time.Time) []func() {
	switch s.phase {
	case phaseArming:
		s.checkArmed(now)
	case phaseStarting:
		s.checkStarted(now)
	case phaseRunning:
		s.checkLost(now)
	}
	if s.phase == phaseStopping {
		s.checkEnded(now)
	}
	if s.phase == phaseEnded {
		return nil
	}
	var calls []func()
	for _, p := range s.peers {
		if kind, due := s.due(p, now); due {
			p.busy = true
			p.tried = now
			calls = append(calls, func() { s.call(p, kind) })
		}
	}
	return calls
}

// due returns the call to a member that is due.
func (s *supervisor) due(p *peer, now time.Time) (wire.Kind, bool) {
	since := now.Sub(p.tried)
	switch {
	case p.busy || p.ended:
		return 0, false
	case s.phase == phaseArming:
		return wire.KindArm, !p.armed && since >= retryInterval
	case s.phase == phaseStarting && !p.started:
		return wire.KindStart, since >= retryInterval
	case s.phase == phaseStopping:
		return wire.KindAbort, since >= stopInterval
	}
	interval := RenewInterval
	if now.Sub(p.seen) > RenewInterval+callTimeout {
		interval = retryInterval // after a failed renewal
	}
	return wire.KindRenew, since >= interval
}

func (s *supervisor) checkArmed(now time.Time) {
	if !slices.ContainsFunc(s.peers, func(p *peer) bool { return !p.armed }) {
		s.setPhase(phaseStarting, now)
		for _, p := range s.peers {
			p.tried = time.Time{}
		}
		return
	}
	if now.Sub(s.phaseAt) > armTimeout {
		s.fail(now, framework.OutcomeNotStarted, "", "not all members confirmed their reservation in time")
	}
}

func (s *supervisor) checkStarted(now time.Time) {
	if !slices.ContainsFunc(s.peers, func(p *peer) bool { return !p.started }) {
		s.setPhase(phaseRunning, now)
		s.startedAt = now
		s.emitRunning()
		return
	}
	if now.Sub(s.phaseAt) > startTimeout {
		s.fail(now, framework.OutcomeLost, "", "member "+s.first(func(p *peer) bool { return !p.started })+" did not answer the start")
		return
	}
	s.checkLost(now)
}

func (s *supervisor) checkLost(now time.Time) {
	for _, p := range s.peers {
		if p.started && !p.ended && now.Sub(p.seen) > Lease && now.After(p.handoverUntil) {
			s.fail(now, framework.OutcomeLost, "", "member "+p.Worker+" is lost")
			return
		}
	}
}

// unreachableEnd is the time after the last sign of life by which the tasks of
// a member that cannot be reached have ended: the gang lease and the grace
// period pass, or its agent is dead and the task lease passes.
const unreachableEnd = Lease + Grace + TaskLease

func (s *supervisor) checkEnded(now time.Time) {
	for _, p := range s.peers {
		last := p.seen
		if last.IsZero() {
			last = s.phaseAt
		}
		if !p.ended && now.Sub(last) > unreachableEnd && now.After(p.handoverUntil) {
			p.ended = true
		}
	}
	if slices.ContainsFunc(s.peers, func(p *peer) bool { return !p.ended }) {
		return
	}
	s.setPhase(phaseEnded, now)
	if !s.fenced {
		s.m.emit(s.finalEvent())
	}
}

func (s *supervisor) setPhase(p phase, now time.Time) {
	s.phase = p
	s.phaseAt = now
	s.m.Changed()
}

func (s *supervisor) first(f func(*peer) bool) string {
	if i := slices.IndexFunc(s.peers, f); i >= 0 {
		return s.peers[i].Worker
	}
	return ""
}

// fail ends the gang; the first reason counts.
func (s *supervisor) fail(now time.Time, outcome framework.Outcome, blamed, message string) {
	if s.phase == phaseStopping || s.phase == phaseEnded {
		return
	}
	s.outcome = outcome
	s.blamed = blamed
	s.message = message
	for _, p := range s.peers {
		p.tried = time.Time{}
	}
	s.setPhase(phaseStopping, now)
}

// stop ends the gang on request.
func (s *supervisor) stop(outcome framework.Outcome, grace time.Duration, reason string) {
	s.mu.Lock()
	if s.phase != phaseStopping && s.phase != phaseEnded {
		s.grace = grace
	}
	s.fail(s.m.Now(), outcome, "", reason)
	s.mu.Unlock()
	s.step()
}

func (s *supervisor) emitRunning() {
	s.m.emit(wire.GangEvent{Job: s.key.job, Attempt: s.key.attempt, Outcome: outcomeRunning, Message: "every task of the gang has started"})
}

// finalEvent sums up the reports. A gang continues from the earliest of the
// checkpoints of its tasks.
func (s *supervisor) finalEvent() wire.GangEvent {
	e := wire.GangEvent{
		Job: s.key.job, Attempt: s.key.attempt, Outcome: string(s.outcome),
		BlamedWorker: s.blamed, Message: cmp.Or(s.message, "the gang was stopped on request"),
	}
	kept := int64(-1)
	for _, p := range s.peers {
		for _, rank := range p.Ranks {
			report, ok := p.tasks[rank]
			value := s.req.ResumeMS
			if ok {
				value = max(value, report.KeptMS)
				e.PeakMemoryGB = max(e.PeakMemoryGB, report.PeakMemoryGB)
			}
			if kept < 0 || value < kept {
				kept = value
			}
		}
	}
	e.KeptMS = max(kept, 0)
	return e
}

// note records a member's report and ends the gang if a task has ended badly.
func (s *supervisor) note(p *peer, r *wire.MemberReport, now time.Time) {
	running := 0
	for _, t := range r.Tasks {
		p.tasks[t.Rank] = t
		switch t.State {
		case string(workerapi.TaskRunning), taskStarting, taskStopping, stateFailedRunning:
			running++
		}
	}
	p.ended = running == 0 && s.phase != phaseArming && (p.started || s.phase == phaseStopping)
	for _, rank := range p.Ranks {
		t, ok := p.tasks[rank]
		if !ok {
			s.fail(now, framework.OutcomeLost, "", "member "+p.Worker+" does not know all of its tasks")
			return
		}
		s.judgeFailure(p, t, now)
	}
	for _, rank := range p.Ranks {
		s.judgeLoss(p, p.tasks[rank], now)
	}
	if s.adopted && !slices.ContainsFunc(s.peers, func(p *peer) bool { return len(p.tasks) < len(p.Ranks) }) {
		s.adopted = false
		for _, p := range s.peers {
			p.tried = time.Time{}
		}
		s.emitRunning()
	}
	if s.phase == phaseRunning && !slices.ContainsFunc(s.peers, func(p *peer) bool { return !p.done() }) {
		s.fail(now, framework.OutcomeDone, "", "all tasks have ended with success")
	}
}

func (p *peer) done() bool {
	for _, rank := range p.Ranks {
		if p.tasks[rank].State != string(workerapi.TaskDone) {
			return false
		}
	}
	return true
}

func (s *supervisor) describe(p *peer, t wire.TaskReport) string {
	return "task " + taskID(s.key.job, s.key.attempt, t.Rank) + " on " + p.Worker + ": " + cmp.Or(t.Reason, t.State)
}

// judgeFailure ends the gang for a task that failed by itself.
func (s *supervisor) judgeFailure(p *peer, t wire.TaskReport, now time.Time) {
	reason := s.describe(p, t)
	switch t.State {
	case string(workerapi.TaskOutOfMemory):
		s.fail(now, framework.OutcomeOutOfMemory, "", reason)
	case string(workerapi.TaskFailed), stateFailedRunning:
		outcome := framework.OutcomeTaskFailed
		if s.phase == phaseStarting || now.Sub(s.startedAt) < startFailureWindow {
			outcome = framework.OutcomeStartFailed
		}
		s.fail(now, outcome, p.Worker, reason)
	}
}

// judgeLoss ends the gang for a task that was ended from outside. It comes
// after judgeFailure for all tasks of a member, because a failed task makes the
// member stop the others.
func (s *supervisor) judgeLoss(p *peer, t wire.TaskReport, now time.Time) {
	switch t.State {
	case string(workerapi.TaskLapsed), string(workerapi.TaskStopped), taskStopping:
		s.fail(now, framework.OutcomeLost, "", s.describe(p, t))
	}
}

func (s *supervisor) forgettable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == phaseEnded && now.Sub(s.phaseAt) > forgetAfter
}

// call sends one order to a member and records the answer.
func (s *supervisor) call(p *peer, kind wire.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout(kind))
	defer cancel()
	if kind == wire.KindStart && !s.mayStart(p) {
		return
	}
	report, err := s.send(ctx, p, kind)
	s.mu.Lock()
	now := s.m.Now()
	p.busy = false
	if err != nil {
		s.callFailed(p, kind, err, now)
	} else {
		s.callDone(p, kind, report, now)
	}
	s.mu.Unlock()
	s.step()
}

// mayStart reports whether the gang still starts. Another member may have
// failed since the call became due.
func (s *supervisor) mayStart(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != phaseStarting {
		p.busy = false
		return false
	}
	return true
}

func (s *supervisor) timeout(kind wire.Kind) time.Duration {
	if kind == wire.KindStart {
		return workerTimeout + callTimeout // the answer comes after the worker's
	}
	return callTimeout
}

func (s *supervisor) callDone(p *peer, kind wire.Kind, report *wire.MemberReport, now time.Time) {
	switch kind {
	case wire.KindArm:
		p.armed = true
		return
	case wire.KindStart:
		p.started = true
	}
	p.seen = now
	if kind == wire.KindRenew {
		p.handoverUntil = time.Time{}
	}
	if report.Handover {
		p.handoverUntil = now.Add(HandoverWindow)
	}
	if s.phase != phaseEnded {
		s.note(p, report, now)
	}
}

// callFailed judges an error. A refusal is definite; anything else is tried
// again until the limits of the phase.
func (s *supervisor) callFailed(p *peer, kind wire.Kind, err error, now time.Time) {
	code := result.CodeOf(err)
	if code == result.Internal || code.Info().Ran == result.RanUnknown {
		return
	}
	if code == result.Fenced {
		s.fenced = true
	}
	switch {
	case s.phase == phaseStopping || s.phase == phaseEnded:
		// The member does not know the gang, so it runs nothing of it.
		p.ended = p.ended || kind == wire.KindAbort
	case kind == wire.KindArm:
		s.fail(now, framework.OutcomeNotStarted, "", "member "+p.Worker+": "+err.Error())
	case kind == wire.KindStart && !slices.ContainsFunc(s.peers, func(p *peer) bool { return p.started }):
		s.fail(now, framework.OutcomeNotStarted, "", "member "+p.Worker+": "+err.Error())
	default:
		s.fail(now, framework.OutcomeLost, "", "member "+p.Worker+": "+err.Error())
	}
}

// send delivers an order; the member on this worker is called directly.
func (s *supervisor) send(ctx context.Context, p *peer, kind wire.Kind) (*wire.MemberReport, error) {
	order := s.order(p, kind)
	if p.Worker == s.m.Worker {
		return s.sendLocal(ctx, order, kind)
	}
	if kind == wire.KindArm {
		return nil, s.m.Caller.Call(ctx, p.Address, kind, order, &wire.Ack{})
	}
	report := new(wire.MemberReport)
	return report, s.m.Caller.Call(ctx, p.Address, kind, order, report)
}

func (s *supervisor) sendLocal(ctx context.Context, order *wire.GangOrder, kind wire.Kind) (*wire.MemberReport, error) {
	switch kind {
	case wire.KindArm:
		return nil, s.m.Arm(order)
	case wire.KindStart:
		return s.m.Start(ctx, order)
	case wire.KindRenew:
		return s.m.Renew(order)
	}
	return s.m.Abort(order)
}

func (s *supervisor) order(p *peer, kind wire.Kind) *wire.GangOrder {
	o := &wire.GangOrder{Job: s.key.job, Attempt: s.key.attempt, Term: s.term, Incarnation: p.Incarnation}
	switch kind {
	case wire.KindArm:
		o.Members = s.req.Members
		o.Spec = s.req.Job
		o.ResumeMS = s.req.ResumeMS
	case wire.KindRenew:
		s.mu.Lock()
		o.Committed = s.phase == phaseRunning
		if !s.adopted {
			o.LeaseMS = Lease.Milliseconds()
		}
		s.mu.Unlock()
	case wire.KindAbort:
		s.mu.Lock()
		o.GraceMS = s.grace.Milliseconds()
		o.Reason = s.message
		s.mu.Unlock()
	}
	return o
}
