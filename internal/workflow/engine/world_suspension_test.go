package engine

import (
	"math/rand/v2"
	"time"
)

// worldSuspensions are the lease records in the store, and what the present planner does about them.
type worldSuspensions struct {
	rng *rand.Rand // apart, so that a seed keeps its other faults
	// since holds when a suspension in the store was first seen, by node.
	since map[string]time.Time
	// unansweredSince holds the first failed call to each agent since its latest answer, by node.
	unansweredSince map[string]time.Time
	ignored         bool // leases are extended while they are suspended, to test the check
	// statements holds the records of agents that have stopped, by node.
	statements  map[string]agentStatement
	unannounced bool // new processes of agents serve before they replace the statement, to test the check
}

// agentStatement is the record of an agent that has stopped.
type agentStatement struct {
	revision uint64
	since    time.Time
}

func newWorldSuspensions(seed uint64) worldSuspensions {
	return worldSuspensions{rng: rand.New(rand.NewPCG(seed, 4)), since: make(map[string]time.Time), statements: make(map[string]agentStatement), unansweredSince: make(map[string]time.Time)}
}

// inheritSuspensions passes the suspensions in the store to a new planner. A planner that the store has
// answered late has seen them later.
func (w *world) inheritSuspensions() {
	s := &w.suspensions
	clear(s.unansweredSince)
	for _, node := range sortedKeys(s.since) {
		since := s.since[node]
		if w.faultRate > 0 && s.rng.IntN(2) == 0 {
			since = w.now
		}
		w.planner.InheritSuspension(node, since, w.now)
	}
	for _, node := range sortedKeys(s.statements) {
		w.planner.SetAgentStopped(node, s.statements[node].revision, s.statements[node].since)
	}
}

// stopAgents stops agents at random, starts new processes of them and registers those.
func (w *world) stopAgents() {
	s := &w.suspensions
	for _, m := range w.workers {
		switch {
		case m.agentStopped && w.now.After(m.agentStartsAt) && !m.agentStarted:
			m.agentStarted = true
			m.restartAgent()
		case m.agentStopped && w.now.After(m.agentStartsAt.Add(m.registrationTime)):
			m.agentStopped, m.agentStarted = false, false
			delete(s.statements, m.node)
		case !m.agentStopped && s.rng.Float64() < w.faultRate*0.003:
			m.agentStopped = true
			m.agentStartsAt = w.now.Add(time.Duration(s.rng.Int64N(int64(4 * time.Second))))
			m.registrationTime = time.Duration(s.rng.Int64N(int64(9 * time.Second)))
			w.storeRevision++
			s.statements[m.node] = agentStatement{revision: w.storeRevision, since: w.now}
		}
	}
}

// confirmStoppedAgents lets the planner read the records of stopped agents, some of the time.
func (w *world) confirmStoppedAgents() {
	for node, revision := range w.planner.StoppedAgentsDue(w.now) {
		if st, ok := w.suspensions.statements[node]; ok && st.revision == revision && w.suspensions.rng.IntN(3) == 0 {
			w.planner.ConfirmAgentStopped(node, revision, w.now)
		}
	}
}

// serves reports whether an agent process serves planners.
func (m *modelWorker) serves() bool {
	return !m.agentStopped || m.agentStarted && m.env.suspensions.unannounced
}

// noteAnswer notes whether an agent has answered the planner.
func (s *worldSuspensions) noteAnswer(node string, answered bool, now time.Time) {
	if _, unanswered := s.unansweredSince[node]; answered {
		delete(s.unansweredSince, node)
	} else if !unanswered {
		s.unansweredSince[node] = now
	}
}

// updateSuspensions lets the planner suspend the leases of workers whose agents do not answer, and extend those
// that answer again. The store takes its time.
func (w *world) updateSuspensions() {
	s := &w.suspensions
	for _, m := range w.workers {
		if since, ok := s.unansweredSince[m.node]; ok && w.now.Sub(since) > 300*time.Millisecond {
			w.planner.SuspendLease(m.node, w.now)
		}
		wk := w.planner.workers[m.node]
		if _, stored := s.since[m.node]; wk.suspended && !stored && s.rng.IntN(3) == 0 {
			s.since[m.node] = w.now
		}
		if w.planner.MayResume(m.node) && s.rng.IntN(3) == 0 {
			delete(s.since, m.node)
			w.planner.ResumeLease(m.node)
		}
		if s.ignored {
			wk.suspended = false
		}
	}
}
