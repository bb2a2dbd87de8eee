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

// supervisor starts and ends a gang as a whole: if one member cannot start or is
// lost, it stops all others.
type supervisor struct {
	manager *Manager
	key     gangKey
	req     wire.StartGang
	term    uint64

	mu           sync.Mutex
	phase        phase
	peers        []*peer
	phaseSince   time.Time
	startedAt    time.Time
	grace        time.Duration
	outcome      framework.Outcome
	blamedWorker string
	message      string
	// adopted is true in a successor process until every member has answered.
	// Until then the supervisor extends no gang lease. Otherwise a supervisor that
	// crashes repeatedly would keep a gang running of which a member is lost.
	adopted bool
	fenced  bool // a newer supervisor is in charge
}

// peer is the supervisor's view of a member, including the one on its own worker.
type peer struct {
	wire.Member
	armed       bool
	started     bool
	ended       bool
	callPending bool
	lastSeen    time.Time // latest answer to a start, renewal or abort
	calledAt    time.Time // start of the latest call; zero makes the next one due at once
	// handoverUntil is the end of the window of a planned restart of the member's
	// agent. Until then the member does not count as lost.
	handoverUntil time.Time
	tasks         map[int]wire.TaskReport
}

func newSupervisor(m *Manager, req *wire.StartGang) *supervisor {
	now := m.Now()
	s := &supervisor{
		manager: m, key: gangKey{req.Job.ID, req.Attempt}, req: *req,
		// A successor process starts at a later time, so its term is higher.
		term:  uint64(now.UnixMilli()),
		phase: phaseArming, phaseSince: now, grace: DefaultGracePeriod,
	}
	for _, member := range req.Members {
		s.peers = append(s.peers, &peer{Member: member, tasks: make(map[int]wire.TaskReport)})
	}
	return s
}

// step advances the state machine to the current time and starts the calls to
// members that are due.
func (s *supervisor) step() {
	s.mu.Lock()
	calls := s.advance(s.manager.Now())
	s.mu.Unlock()
	for _, call := range calls {
		s.manager.Spawn(call)
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
		if kind, due := s.dueCall(p, now); due {
			p.callPending = true
			p.calledAt = now
			calls = append(calls, func() { s.callMember(p, kind) })
		}
	}
	return calls
}

// dueCall returns the kind of the call to a member and whether the call is due.
func (s *supervisor) dueCall(p *peer, now time.Time) (wire.Kind, bool) {
	sinceCall := now.Sub(p.calledAt)
	switch {
	case p.callPending || p.ended:
		return 0, false
	case s.phase == phaseArming:
		return wire.KindArm, !p.armed && sinceCall >= retryInterval
	case s.phase == phaseStarting && !p.started:
		return wire.KindStart, sinceCall >= retryInterval
	case s.phase == phaseStopping:
		return wire.KindAbort, sinceCall >= stopPollInterval
	}
	interval := GangRenewInterval
	if now.Sub(p.lastSeen) > GangRenewInterval+callTimeout {
		interval = retryInterval // after a failed renewal
	}
	return wire.KindRenew, sinceCall >= interval
}

// checkArmed moves on to the start once all members are armed, and ends the gang
// after armTimeout.
func (s *supervisor) checkArmed(now time.Time) {
	if !slices.ContainsFunc(s.peers, func(p *peer) bool { return !p.armed }) {
		s.setPhase(phaseStarting, now)
		for _, p := range s.peers {
			p.calledAt = time.Time{}
		}
		return
	}
	if now.Sub(s.phaseSince) > armTimeout {
		s.endGang(now, framework.OutcomeNotStarted, "", "not all members confirmed their reservation before the timeout")
	}
}

// checkStarted moves on to running once all members have started, and ends the
// gang after startTimeout.
func (s *supervisor) checkStarted(now time.Time) {
	if !slices.ContainsFunc(s.peers, func(p *peer) bool { return !p.started }) {
		s.setPhase(phaseRunning, now)
		s.startedAt = now
		s.emitRunning()
		return
	}
	if now.Sub(s.phaseSince) > startTimeout {
		s.endGang(now, framework.OutcomeLost, "", "member "+s.firstWorker(func(p *peer) bool { return !p.started })+" did not answer the start")
		return
	}
	s.checkLost(now)
}

// checkLost ends the gang if a member has not answered for GangLease, unless it is
// within a planned restart.
func (s *supervisor) checkLost(now time.Time) {
	for _, p := range s.peers {
		if p.started && !p.ended && now.Sub(p.lastSeen) > GangLease && now.After(p.handoverUntil) {
			s.endGang(now, framework.OutcomeLost, "", "member "+p.Worker+" is lost")
			return
		}
	}
}

// unreachableEndTimeout is the time after the last answer of an unreachable member
// by which its tasks have ended. Its agent stops them after the gang lease and the
// grace period; if the agent is dead, the worker ends them after the task lease.
const unreachableEndTimeout = GangLease + DefaultGracePeriod + TaskLease

// checkEnded reports the end of the gang once all members have ended.
func (s *supervisor) checkEnded(now time.Time) {
	for _, p := range s.peers {
		last := p.lastSeen
		if last.IsZero() {
			last = s.phaseSince
		}
		if !p.ended && now.Sub(last) > unreachableEndTimeout && now.After(p.handoverUntil) {
			p.ended = true
		}
	}
	if slices.ContainsFunc(s.peers, func(p *peer) bool { return !p.ended }) {
		return
	}
	s.setPhase(phaseEnded, now)
	if !s.fenced {
		s.manager.emit(s.finalEvent())
	}
}

func (s *supervisor) setPhase(p phase, now time.Time) {
	s.phase = p
	s.phaseSince = now
	s.manager.OnChange()
}

// firstWorker returns the worker of the first peer for which f is true, "" for
// none.
func (s *supervisor) firstWorker(f func(*peer) bool) string {
	if i := slices.IndexFunc(s.peers, f); i >= 0 {
		return s.peers[i].Worker
	}
	return ""
}

// endGang begins to stop the gang with an outcome. It has no effect on a gang that
// is already stopping: the first outcome counts.
func (s *supervisor) endGang(now time.Time, outcome framework.Outcome, blamedWorker, message string) {
	if s.phase == phaseStopping || s.phase == phaseEnded {
		return
	}
	s.outcome = outcome
	s.blamedWorker = blamedWorker
	s.message = message
	for _, p := range s.peers {
		p.calledAt = time.Time{}
	}
	s.setPhase(phaseStopping, now)
}

// stop ends the gang with the given grace period.
func (s *supervisor) stop(outcome framework.Outcome, grace time.Duration, reason string) {
	s.mu.Lock()
	if s.phase != phaseStopping && s.phase != phaseEnded {
		s.grace = grace
	}
	s.endGang(s.manager.Now(), outcome, "", reason)
	s.mu.Unlock()
	s.step()
}

func (s *supervisor) emitRunning() {
	s.manager.emit(wire.GangEvent{Job: s.key.job, Attempt: s.key.attempt, Outcome: outcomeRunning, Message: "every task of the gang has started"})
}

// finalEvent returns the event for the end of the gang. CheckpointedMS is the lowest value
// of all tasks, because a gang resumes from the earliest checkpoint.
func (s *supervisor) finalEvent() wire.GangEvent {
	e := wire.GangEvent{
		Job: s.key.job, Attempt: s.key.attempt, Outcome: string(s.outcome),
		BlamedWorker: s.blamedWorker, Message: cmp.Or(s.message, "the gang was stopped on request"),
	}
	keptMS := int64(-1)
	for _, p := range s.peers {
		for _, rank := range p.Ranks {
			report, ok := p.tasks[rank]
			taskKeptMS := s.req.ResumeMS
			if ok {
				taskKeptMS = max(taskKeptMS, report.CheckpointedMS)
				e.PeakMemoryGB = max(e.PeakMemoryGB, report.PeakMemoryGB)
			}
			if keptMS < 0 || taskKeptMS < keptMS {
				keptMS = taskKeptMS
			}
		}
	}
	e.CheckpointedMS = max(keptMS, 0)
	return e
}

// recordReport records a member's report. It ends the gang if a task has failed or
// was stopped, or if all tasks are done.
func (s *supervisor) recordReport(p *peer, r *wire.MemberReport, now time.Time) {
	running := 0
	for _, report := range r.Tasks {
		p.tasks[report.Rank] = report
		switch report.State {
		case string(workerapi.TaskRunning), taskStarting, taskStopping, taskFailedUnconfirmed:
			running++
		}
	}
	p.ended = running == 0 && s.phase != phaseArming && (p.started || s.phase == phaseStopping)
	for _, rank := range p.Ranks {
		report, ok := p.tasks[rank]
		if !ok {
			s.endGang(now, framework.OutcomeLost, "", "member "+p.Worker+" did not report all of its tasks")
			return
		}
		s.checkTaskFailure(p, report, now)
	}
	for _, rank := range p.Ranks {
		s.checkTaskLoss(p, p.tasks[rank], now)
	}
	if s.adopted && !slices.ContainsFunc(s.peers, func(p *peer) bool { return len(p.tasks) < len(p.Ranks) }) {
		s.adopted = false
		for _, p := range s.peers {
			p.calledAt = time.Time{}
		}
		s.emitRunning()
	}
	if s.phase == phaseRunning && !slices.ContainsFunc(s.peers, func(p *peer) bool { return !p.allTasksDone() }) {
		s.endGang(now, framework.OutcomeDone, "", "all tasks completed successfully")
	}
}

func (p *peer) allTasksDone() bool {
	for _, rank := range p.Ranks {
		if p.tasks[rank].State != string(workerapi.TaskDone) {
			return false
		}
	}
	return true
}

func (s *supervisor) taskDescription(p *peer, report wire.TaskReport) string {
	return "task " + taskID(s.key.job, s.key.attempt, report.Rank) + " on " + p.Worker + ": " + cmp.Or(report.Reason, report.State)
}

// checkTaskFailure ends the gang if a task failed or ran out of memory.
func (s *supervisor) checkTaskFailure(p *peer, report wire.TaskReport, now time.Time) {
	reason := s.taskDescription(p, report)
	switch report.State {
	case string(workerapi.TaskOutOfMemory):
		s.endGang(now, framework.OutcomeOutOfMemory, "", reason)
	case string(workerapi.TaskFailed), taskFailedUnconfirmed:
		outcome := framework.OutcomeTaskFailed
		if s.phase == phaseStarting || now.Sub(s.startedAt) < startFailureWindow {
			outcome = framework.OutcomeStartFailed
		}
		s.endGang(now, outcome, p.Worker, reason)
	}
}

// checkTaskLoss ends the gang if a task was stopped or its lease expired. It must
// run after checkTaskFailure for all tasks of the member, because a member stops
// its other tasks when one fails to start.
func (s *supervisor) checkTaskLoss(p *peer, report wire.TaskReport, now time.Time) {
	switch report.State {
	case string(workerapi.TaskLeaseExpired), string(workerapi.TaskStopped), taskStopping:
		s.endGang(now, framework.OutcomeLost, "", s.taskDescription(p, report))
	}
}

// forgettable reports whether the gang ended more than endedGangRetention ago.
func (s *supervisor) forgettable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == phaseEnded && now.Sub(s.phaseSince) > endedGangRetention
}

// callMember sends an order to a member and handles the answer.
func (s *supervisor) callMember(p *peer, kind wire.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout(kind))
	defer cancel()
	if kind == wire.KindStart && !s.mayStart(p) {
		return
	}
	report, err := s.send(ctx, p, kind)
	s.mu.Lock()
	now := s.manager.Now()
	p.callPending = false
	if err != nil {
		s.handleCallError(p, kind, err, now)
	} else {
		s.handleReply(p, kind, report, now)
	}
	s.mu.Unlock()
	s.step()
}

// mayStart reports whether the gang is still starting; if not, it cancels the
// call. Another member may have failed since the call became due.
func (s *supervisor) mayStart(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != phaseStarting {
		p.callPending = false
		return false
	}
	return true
}

func (s *supervisor) timeout(kind wire.Kind) time.Duration {
	if kind == wire.KindStart {
		return workerTimeout + callTimeout // the member waits for its worker first
	}
	return callTimeout
}

func (s *supervisor) handleReply(p *peer, kind wire.Kind, report *wire.MemberReport, now time.Time) {
	switch kind {
	case wire.KindArm:
		p.armed = true
		return
	case wire.KindStart:
		p.started = true
	}
	p.lastSeen = now
	if kind == wire.KindRenew {
		p.handoverUntil = time.Time{}
	}
	if report.Handover {
		p.handoverUntil = now.Add(HandoverWindow)
	}
	if s.phase != phaseEnded {
		s.recordReport(p, report, now)
	}
}

// handleCallError handles a failed call. A refusal by the member is final. After
// any other error the call is repeated until the timeout of the phase.
func (s *supervisor) handleCallError(p *peer, kind wire.Kind, err error, now time.Time) {
	code := result.CodeOf(err)
	if code == result.Internal || code.Info().Ran == result.RanUnknown {
		return
	}
	if code == result.Fenced {
		s.fenced = true
	}
	switch {
	case s.phase == phaseStopping || s.phase == phaseEnded:
		// The member refused the abort: it does not know the gang and runs none of
		// its tasks, or a newer supervisor is in charge.
		p.ended = p.ended || kind == wire.KindAbort
	case kind == wire.KindArm:
		s.endGang(now, framework.OutcomeNotStarted, "", "member "+p.Worker+": "+err.Error())
	case kind == wire.KindStart && !slices.ContainsFunc(s.peers, func(p *peer) bool { return p.started }):
		s.endGang(now, framework.OutcomeNotStarted, "", "member "+p.Worker+": "+err.Error())
	default:
		s.endGang(now, framework.OutcomeLost, "", "member "+p.Worker+": "+err.Error())
	}
}

// send sends an order to a member. The member on this worker is called directly.
func (s *supervisor) send(ctx context.Context, p *peer, kind wire.Kind) (*wire.MemberReport, error) {
	order := s.order(p, kind)
	if p.Worker == s.manager.Worker {
		return s.sendLocal(ctx, order, kind)
	}
	if kind == wire.KindArm {
		return nil, s.manager.Caller.Call(ctx, p.Address, kind, order, &wire.Ack{})
	}
	report := new(wire.MemberReport)
	return report, s.manager.Caller.Call(ctx, p.Address, kind, order, report)
}

func (s *supervisor) sendLocal(ctx context.Context, order *wire.GangOrder, kind wire.Kind) (*wire.MemberReport, error) {
	switch kind {
	case wire.KindArm:
		return nil, s.manager.Arm(order)
	case wire.KindStart:
		return s.manager.Start(ctx, order)
	case wire.KindRenew:
		return s.manager.Renew(order)
	}
	return s.manager.Abort(order)
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
			o.LeaseMS = GangLease.Milliseconds()
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
