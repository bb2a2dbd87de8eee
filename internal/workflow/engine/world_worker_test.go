package engine

import (
	"math"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// modelRun is a run of an item on a simulated worker.
type modelRun struct {
	ref       workflow.ItemRef
	run       int
	startedAt time.Time
	doneAt    time.Time
	willFail  bool
	stopAt    time.Time // when a requested stop takes effect; zero if none
	needs     workflow.Resources
	ended     bool
	how       workflow.End
	worker    *modelWorker
	waiting   bool // a gang member that waits for the others
	crashed   bool // the run has crashed its worker
}

// modelWorker is a simulated worker with its agent. The worker keeps its id over restarts, so
// an order for a former incarnation takes effect if the agent passes it on.
type modelWorker struct {
	env              *world
	node             string
	rack             string
	service          string
	labels           []string // besides "a" and the rack
	startedMS        int64
	knownStartedMS   int64                // incarnation that the agent knows
	noticedAt        time.Time            // when the agent notices the latest crash
	downUntil        time.Time            // when a crashed worker starts again; zero if it is up
	agentEpoch       uint64               // the agent refuses calls of earlier epochs, also after a restart of the worker
	clockOrigin      time.Time            // start of the worker's clock
	clockRate        float64              // rate of the worker's clock; 1 is that of true time
	highestToken     uint64               // calls with a lower fencing token are refused
	leaseUntilMS     int64                // on the worker's clock
	lapsedAt         time.Time            // when an expired lease was last noticed
	endedAt          map[uint64]time.Time // by number of the end
	running          []*modelRun
	ended            []workflow.EndedItem
	lastEndNumber    uint64
	highestRun       map[string]int // number of the highest run that ended or was to be stopped, by item
	unreachableUntil time.Time
	agentReachable   bool      // the agent answers while the worker is unreachable
	respondedAt      time.Time // latest response of the worker to its agent, or the agent's start
	cutOffUntil      time.Time // the planner cannot reach the agent, a replaced one can
	draining         bool
	seq              int64
	capacity         workflow.Resources
	faultyUntil      time.Time
	slowness         float64 // factor of run times; 0 is 1
	// agentStopped reports that the agent has stopped and no other process has registered yet. A new process
	// starts at agentStartsAt and registers registrationTime later.
	agentStopped, agentStarted bool
	agentStartsAt              time.Time
	registrationTime           time.Duration
	// startFault is the outcome of all starts, none of which takes effect; nil for none.
	startFault   *workflow.OrderOutcome
	startsInVain int
}

// restart begins a new incarnation; its runs are gone.
func (m *modelWorker) restart() {
	for _, r := range m.running {
		r.ended = true
	}
	m.startedMS = m.env.now.UnixMilli() + 1
	m.clockOrigin, m.clockRate = m.env.now, 1-0.02*m.env.rng.Float64()
	m.highestToken, m.leaseUntilMS, m.running, m.ended, m.lastEndNumber = 0, 0, nil, nil, 0
	m.highestRun, m.draining, m.seq = make(map[string]int), false, 0
	m.lapsedAt, m.endedAt = time.Time{}, make(map[uint64]time.Time)
}

// crash restarts the worker. Its agent notices that some time later.
func (m *modelWorker) crash() {
	m.restart()
	m.noticedAt = m.env.now.Add(m.env.randomDuration(500 * time.Millisecond))
}

func (m *modelWorker) clockMS() int64 {
	return 1000 + int64(float64(m.env.now.Sub(m.clockOrigin).Milliseconds())*m.clockRate)
}

func (m *modelWorker) isUnreachable() bool { return m.env.now.Before(m.unreachableUntil) }

// finish ends a run and lists its end until it is acknowledged.
func (m *modelWorker) finish(r *modelRun, how workflow.End) {
	r.ended, r.how = true, how
	for i, o := range m.running {
		if o == r {
			m.running = append(m.running[:i:i], m.running[i+1:]...)
			break
		}
	}
	m.lastEndNumber++
	m.endedAt[m.lastEndNumber] = m.env.now
	m.ended = append(m.ended, workflow.EndedItem{Seq: m.lastEndNumber, Ref: r.ref, Run: r.run, End: how})
	m.highestRun[r.ref.String()] = max(m.highestRun[r.ref.String()], r.run)
}

// tick ends the runs that are due at the present time.
func (m *modelWorker) tick() {
	if !m.downUntil.IsZero() && !m.env.now.Before(m.downUntil) {
		m.downUntil = time.Time{}
		m.crash()
	}
	if m.clockMS() > m.leaseUntilMS {
		m.lapsedAt = m.env.now
	}
	for _, r := range append([]*modelRun(nil), m.running...) {
		if r.ended {
			continue // ended together with another member of its gang
		}
		step := &m.env.jobs[r.ref.Job].Steps[r.ref.Step]
		switch {
		case m.env.isDeadly(r.ref) && !r.waiting && m.env.now.Sub(r.startedAt) >= m.env.crashDelay:
			r.crashed = true
			for _, o := range m.running {
				o.ended = true
			}
			m.running, m.downUntil, m.unreachableUntil = nil, m.env.now.Add(m.env.crashDowntime), m.env.now.Add(m.env.crashDowntime)
			return
		case m.clockMS() > m.leaseUntilMS:
			m.finish(r, workflow.EndLapsed)
		case !r.stopAt.IsZero() && !m.env.now.Before(r.stopAt):
			m.finish(r, workflow.EndStopped)
		case r.waiting && m.env.isGangComplete(r):
			m.env.beginGang(r)
		case r.waiting && m.env.now.Sub(r.startedAt) > 3*time.Second:
			m.finish(r, workflow.EndAlone)
		case !r.waiting && !m.env.now.Before(r.doneAt):
			how := workflow.EndDone
			if r.willFail {
				how = workflow.EndFailed
			}
			if step.Gang {
				m.env.endGang(r, how)
			} else {
				m.finish(r, how)
			}
		}
	}
}

// isDeadly reports whether an item crashes its worker: all of a job with payload "deadly", the first
// one of a step with payload "deadly first".
func (w *world) isDeadly(ref workflow.ItemRef) bool {
	payload := w.jobs[ref.Job].Payload
	return payload == "deadly" || payload == "deadly first" && ref.Index == 0
}

// percent returns the progress that the worker reports, in whole percent.
func (r *modelRun) percent() float64 {
	if r.waiting || r.worker.env.noProgress {
		return 0
	}
	whole := r.doneAt.Sub(r.startedAt).Seconds()
	return math.Floor(min(100*r.worker.env.now.Sub(r.startedAt).Seconds()/whole, 99))
}

// gangMembers returns the members of r's run that have started and not ended.
func (w *world) gangMembers(r *modelRun) []*modelRun {
	var out []*modelRun
	for i := range w.jobs[r.ref.Job].Steps[r.ref.Step].Count {
		ref := r.ref
		ref.Index = i
		for _, o := range w.runsByItem[ref.String()] {
			if o.run == r.run && !o.ended {
				out = append(out, o)
			}
		}
	}
	return out
}

func (w *world) isGangComplete(r *modelRun) bool {
	return len(w.gangMembers(r)) == w.jobs[r.ref.Job].Steps[r.ref.Step].Count
}

// remoteSlowdown is the factor by which the items of a gang that prefers one rack take longer on
// several.
const remoteSlowdown = 3

// beginGang lets all members of a gang go on, now that the last one has started.
func (w *world) beginGang(r *modelRun) {
	all := w.gangMembers(r)
	longest := time.Duration(0) // a gang is as slow as its slowest member
	racks := make(map[string]bool)
	for _, o := range all {
		longest = max(longest, o.doneAt.Sub(o.startedAt))
		racks[o.worker.rack] = true
	}
	if w.jobs[r.ref.Job].Steps[r.ref.Step].SameRack && len(racks) > 1 {
		longest *= remoteSlowdown
	}
	for _, o := range all {
		o.waiting, o.doneAt = false, w.now.Add(longest)
	}
}

// endGang ends all members of a gang when r has ended. Unless r is done, the other
// members end as broken.
func (w *world) endGang(r *modelRun, how workflow.End) {
	all := w.gangMembers(r)
	complete := len(all) == w.jobs[r.ref.Job].Steps[r.ref.Step].Count
	for _, o := range all {
		switch {
		case complete && how == workflow.EndDone:
			o.worker.finish(o, how)
		case o == r && complete:
			o.worker.finish(o, how)
		default:
			o.worker.finish(o, workflow.EndBroken)
		}
	}
}

// start handles a start order like a worker: it refuses orders that are fenced, late
// or out of date, and starts each run once.
func (m *modelWorker) start(token uint64, o workflow.StartOrder) workflow.OrderOutcome {
	clock := m.clockMS()
	refuse := func(reason string) workflow.OrderOutcome {
		return workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: reason, ClockMS: clock}
	}
	name := o.Ref.String()
	switch {
	case m.startFault != nil:
		m.startsInVain++
		return *m.startFault
	case token < m.highestToken:
		return refuse(workflow.ReasonFenced)
	case o.ExpiresMS <= clock:
		return refuse(workflow.ReasonExpired)
	}
	m.highestToken, m.leaseUntilMS = token, max(m.leaseUntilMS, o.ExpiresMS)
	for _, r := range m.running {
		if r.ref == o.Ref && r.run == o.Run {
			return workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: clock}
		}
	}
	if o.Run <= m.highestRun[name] {
		return refuse(workflow.ReasonOldRun)
	}
	m.startRun(o)
	return workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: clock}
}

// startRun starts a run and records violations of the rules, each under its name:
// an item with two runs at once or a run after it was done (TWICE), a worker over its
// capacity (LIMIT), a step before its dependencies (ORDER), a start long after the
// job was cancelled (UNASKED) or after the last attempt failed (BUDGET), a start in a failure
// domain long after the request to evacuate it (EVAC).
func (m *modelWorker) startRun(o workflow.StartOrder) {
	w, name := m.env, o.Ref.String()
	job := w.jobs[o.Ref.Job]
	step := &job.Steps[o.Ref.Step]
	r := &modelRun{
		ref: o.Ref, run: o.Run, startedAt: w.now, worker: m, needs: step.Needs(), waiting: step.Gang && step.Count > 1,
		willFail: job.Payload == "poison" || w.now.Before(m.faultyUntil) || !w.noRandomFailures && w.chance(0.03),
	}
	r.doneAt = w.now.Add(time.Duration(float64(step.EstimateMS)*(0.5+w.rng.Float64())) * time.Millisecond)
	if d, ok := w.runTimes[name]; ok {
		r.doneAt = w.now.Add(d)
	}
	if m.slowness > 0 {
		r.doneAt = w.now.Add(time.Duration(m.slowness * float64(r.doneAt.Sub(w.now))))
	}
	if r.willFail {
		r.doneAt = w.now.Add(300 * time.Millisecond)
	}
	for _, other := range w.runsByItem[name] {
		if !other.ended {
			w.recordViolation("TWICE: %s run %d starts on %s beside run %d on %s", name, o.Run, m.node, other.run, other.worker.node)
		}
	}
	w.checkEvacuation(m, o.Ref)
	if service := w.config.ServiceOf(job); m.service != service || step.Label != "" && !slices.Contains(m.allLabels(), step.Label) {
		w.recordViolation("ROUTE: %s starts on %s, which is of service %s and has the labels %v", name, m.node, m.service, m.allLabels())
	}
	if w.acknowledgedDone[name] {
		w.recordViolation("TWICE: %s run %d starts after its end was acknowledged", name, o.Run)
	}
	used := r.needs
	for _, other := range m.running {
		used = used.Add(other.needs, 1)
	}
	if !used.Fits(m.capacity) {
		w.recordViolation("LIMIT: %s starts on %s, which then holds %v of %v", name, m.node, used, m.capacity)
	}
	for _, dep := range step.After {
		for i := range job.Steps[dep].Count {
			before := workflow.ItemRef{Job: o.Ref.Job, Occurrence: o.Ref.Occurrence, Step: dep, Index: i}
			done := false
			for _, x := range w.runsByItem[before.String()] {
				done = done || x.how == workflow.EndDone
			}
			if !done {
				w.recordViolation("ORDER: %s starts before %s is done", name, before)
			}
		}
	}
	if at, cancelled := w.cancels[o.Ref.Job]; cancelled && w.now.Sub(at) > 3*time.Second {
		w.recordViolation("UNASKED: %s starts %v after the cancellation", name, w.now.Sub(at))
	}
	allowed := w.config.MaxAttemptsOf(job)
	if w.formerConfig != nil && w.now.Sub(w.configuredAt) < 100*time.Millisecond { // the order may have been under way
		allowed = max(allowed, w.formerConfig.MaxAttemptsOf(job))
	}
	if !step.LongRunning && w.acknowledgedFailures[name] >= allowed { // long-running items have no limit
		w.recordViolation("BUDGET: %s starts after %d acknowledged failures", name, w.acknowledgedFailures[name])
	}
	crashes, startsAfterThird := 0, 0
	for _, other := range w.runsByItem[name] {
		if crashes >= 3 {
			startsAfterThird++
		}
		if other.crashed {
			crashes++
		}
	}
	if crashes >= 3 && startsAfterThird >= 2 && !step.LongRunning {
		w.recordViolation("BUDGET: %s starts three times more after three crashes", name)
	}
	w.runsByItem[name] = append(w.runsByItem[name], r)
	w.startedRuns++
	m.running = append(m.running, r)
}

// stop handles a stop order like a worker. The run ends up to 200 ms later.
func (m *modelWorker) stop(token uint64, o workflow.StopOrder) workflow.OrderOutcome {
	if token < m.highestToken {
		return workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonFenced, ClockMS: m.clockMS()}
	}
	m.highestToken = token
	m.highestRun[o.Ref.String()] = max(m.highestRun[o.Ref.String()], o.Run)
	for _, r := range m.running {
		if r.ref == o.Ref && r.run == o.Run && r.stopAt.IsZero() {
			r.stopAt = m.env.now.Add(time.Duration(m.env.rng.IntN(200)) * time.Millisecond)
		}
	}
	return workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: m.clockMS()}
}

// sync handles a sync request like the worker's agent. It returns nil if the worker
// is unreachable, the agent has not noticed a restart yet, or it refuses the epoch.
func (m *modelWorker) sync(req workflow.SyncRequest) *workflow.SyncReply {
	if !m.serves() {
		return nil
	}
	fenced := workflow.FencingToken(req.Epoch, req.Generation) < m.highestToken
	if m.isUnreachable() && m.agentReachable || fenced && !m.isUnreachable() {
		return m.silentReply(req)
	}
	if req.Epoch < m.agentEpoch || m.isUnreachable() || m.env.now.Before(m.noticedAt) {
		return nil
	}
	m.respondedAt = m.env.now
	m.highestToken = max(m.highestToken, workflow.FencingToken(req.Epoch, req.Generation))
	m.agentEpoch, m.knownStartedMS = req.Epoch, m.startedMS
	if req.StartedMS == m.startedMS {
		m.leaseUntilMS = max(m.leaseUntilMS, req.LeaseUntilMS)
		m.acknowledge(req.AckedEnds)
	}
	m.seq++
	report := &workflow.WorkerReport{Instance: m.node, StartedMS: m.startedMS, ClockMS: m.clockMS()}
	report.Ended = append(report.Ended, m.ended[:min(len(m.ended), m.env.endsPerReport)]...)
	report.EndsTruncated = len(report.Ended) == m.env.endsPerReport && !m.env.hideTruncation
	for _, r := range m.running {
		report.Running = append(report.Running, workflow.RunningItem{Ref: r.ref, Run: r.run, Percent: r.percent()})
	}
	return &workflow.SyncReply{Version: uint64(m.seq), Report: report, Generation: req.Generation, Announced: &workflow.Announcement{
		Instance: m.node, StartedMS: m.startedMS, Service: m.service, Labels: m.allLabels(), Rack: m.rack, Capacity: m.capacity,
		Draining: m.draining, Seq: m.seq, FailureDomain: m.env.domainOf(m),
	}}
}

// allLabels returns the labels that the worker announces.
func (m *modelWorker) allLabels() []string { return append([]string{"a", m.rack}, m.labels...) }

// acknowledge drops the ends up to number n from the list of ends. An end counts as
// acknowledged only if the lease has not expired since it.
func (m *modelWorker) acknowledge(n uint64) {
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.Seq > n {
			kept = append(kept, e)
			continue
		}
		if m.lapsedAt.After(m.endedAt[e.Seq]) {
			continue
		}
		switch e.End {
		case workflow.EndDone:
			m.env.acknowledgedDone[e.Ref.String()] = true
		case workflow.EndFailed:
			m.env.acknowledgedFailures[e.Ref.String()]++
		}
	}
	m.ended = kept
}
