package engine

import (
	"math/rand/v2"
	"time"

	"snipegw/internal/workflow"
)

const worldStoreOutage = 2 * time.Second

// worldPartitions are the parts of a world that planners and agents cannot reach. A replaced
// planner goes on for worldStoreOutage if it does not learn of its successor.
type worldPartitions struct {
	rng         *rand.Rand // apart, so that a seed keeps its other faults
	former      *Engine    // replaced planner that goes on extending leases, nil for none
	formerUntil time.Time
}

// keepFormerPlanner lets the planner that is about to be replaced go on, half of the time.
func (w *world) keepFormerPlanner() {
	p := &w.partitions
	p.former = nil
	if w.planner != nil && w.faultRate > 0 && p.rng.IntN(2) == 0 {
		p.former, p.formerUntil = w.planner, w.now.Add(worldStoreOutage)
	}
}

// changePartitions cuts agents off from the planner or restarts them at random.
func (w *world) changePartitions() {
	for _, m := range w.workers {
		if w.partitions.rng.Float64() < w.faultRate*0.003 {
			m.cutOffUntil = w.now.Add(time.Duration(w.partitions.rng.Int64N(int64(9 * time.Second))))
		}
		if w.partitions.rng.Float64() < w.faultRate*0.003 {
			m.restartAgent()
		}
		if m.isUnreachable() && w.partitions.rng.Float64() < 0.02 {
			m.agentReachable = !m.agentReachable
		}
	}
}

// restartAgent makes the agent forget the planner's epoch and the worker.
func (m *modelWorker) restartAgent() {
	m.agentEpoch, m.knownStartedMS, m.respondedAt = 0, 0, m.env.now
}

// recallFormerPlanner lets the planner learn at random that no earlier one goes on.
func (w *world) recallFormerPlanner() {
	if w.faultRate > 0 && w.partitions.rng.IntN(20) == 0 {
		w.partitions.former = nil
		w.planner.EndEarlierPlanners(w.now)
	}
}

// syncFormerPlanner exchanges reports between the replaced planner and the agents that accept its
// epoch.
func (w *world) syncFormerPlanner() {
	p := &w.partitions
	if p.former == nil || w.now.After(p.formerUntil) {
		p.former = nil
		return
	}
	for _, m := range w.workers {
		req := p.former.NextSyncRequest(m.node, 0)
		if req.Epoch < m.agentEpoch {
			continue // the refusal may be lost, and the planner go on with other agents
		}
		if reply := m.sync(req); reply != nil {
			p.former.HandleReport(m.node, reply, w.now)
		}
	}
}

// silentReply returns the agent's reply while the worker does not respond to it.
func (m *modelWorker) silentReply(req workflow.SyncRequest) *workflow.SyncReply {
	if req.Epoch < m.agentEpoch {
		return nil
	}
	m.agentEpoch = req.Epoch
	return &workflow.SyncReply{SilentMS: m.env.now.Sub(m.respondedAt).Milliseconds()}
}

// trustFirstReplies makes the planner take a worker's lease for expired when its agent replies
// without a report, to test the check.
func (w *world) trustFirstReplies() {
	for _, wk := range w.planner.workers {
		if !wk.agentRepliedAt.IsZero() {
			wk.silentSince = time.Time{}
		}
	}
}
