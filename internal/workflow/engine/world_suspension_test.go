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
}

func newWorldSuspensions(seed uint64) worldSuspensions {
	return worldSuspensions{rng: rand.New(rand.NewPCG(seed, 4)), since: make(map[string]time.Time), unansweredSince: make(map[string]time.Time)}
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
