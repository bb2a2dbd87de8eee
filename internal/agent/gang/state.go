package gang

import "snipegw/internal/wire"

// States returns the state of all members that have not ended, for heartbeats.
func (m *Manager) States() []wire.GangState {
	members, _, _ := m.snapshot()
	var out []wire.GangState
	for _, mb := range members {
		if state, ok := mb.gangState(); ok {
			state.Supervisor = m.supervisor(mb.key) != nil
			out = append(out, state)
		}
	}
	return out
}

// gangState returns the state that heartbeats report; false if the member has
// ended. A starting member is reported as armed.
func (mb *member) gangState() (wire.GangState, bool) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	state := wire.GangState{Job: mb.key.job, Attempt: mb.key.attempt, State: string(mb.phase)}
	switch mb.phase {
	case phaseEnded:
		return state, false
	case phaseStarting:
		state.State = string(phaseArmed)
	}
	for _, t := range mb.tasks {
		state.Ranks = append(state.Ranks, t.rank)
	}
	if !mb.startedAt.IsZero() {
		state.StartedMS = mb.startedAt.UnixMilli()
	}
	return state, true
}

// Dump describes a member or a supervisor in the state dump.
type Dump struct {
	Job        string            `json:"job"`
	Attempt    uint64            `json:"attempt"`
	Role       string            `json:"role"`
	Phase      string            `json:"phase"`
	Term       uint64            `json:"term"`
	Committed  bool              `json:"committed,omitempty"`
	StopReason string            `json:"stop_reason,omitempty"`
	Outcome    string            `json:"outcome,omitempty"`
	Tasks      []wire.TaskReport `json:"tasks,omitempty"`
}

// Dump returns all members and supervisors for the state dump.
func (m *Manager) Dump() []Dump {
	members, supervisors, _ := m.snapshot()
	out := make([]Dump, 0, len(members)+len(supervisors))
	for _, mb := range members {
		tasks := mb.report().Tasks
		mb.mu.Lock()
		out = append(out, Dump{
			Job: mb.key.job, Attempt: mb.key.attempt, Role: "member", Phase: string(mb.phase), Term: mb.term,
			Committed: mb.committed, StopReason: mb.stopReason, Tasks: tasks,
		})
		mb.mu.Unlock()
	}
	for _, s := range supervisors {
		s.mu.Lock()
		out = append(out, Dump{
			Job: s.key.job, Attempt: s.key.attempt, Role: "supervisor", Phase: string(s.phase), Term: s.term,
			StopReason: s.message, Outcome: string(s.outcome),
		})
		s.mu.Unlock()
	}
	return out
}
