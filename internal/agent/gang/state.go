package gang

import "snipegw/internal/wire"

// States returns the gangs with tasks on this worker for heartbeats.
func (m *Manager) States() []wire.GangState {
	members, _, _ := m.all()
	var out []wire.GangState
	for _, t := range members {
		if state, ok := t.state(); ok {
			state.Supervisor = m.supervisor(t.key) != nil
			out = append(out, state)
		}
	}
	return out
}

func (t *member) state() (wire.GangState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := wire.GangState{Job: t.key.job, Attempt: t.key.attempt, State: string(t.phase)}
	switch t.phase {
	case phaseEnded:
		return state, false
	case phaseStarting:
		state.State = string(phaseArmed)
	}
	for _, k := range t.tasks {
		state.Ranks = append(state.Ranks, k.rank)
	}
	if !t.startedAt.IsZero() {
		state.StartedMS = t.startedAt.UnixMilli()
	}
	return state, true
}

// Dump describes a gang for the state dump.
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

// Dump returns all members and supervisors.
func (m *Manager) Dump() []Dump {
	members, supervisors, _ := m.all()
	out := make([]Dump, 0, len(members)+len(supervisors))
	for _, t := range members {
		tasks := t.report().Tasks
		t.mu.Lock()
		out = append(out, Dump{
			Job: t.key.job, Attempt: t.key.attempt, Role: "member", Phase: string(t.phase), Term: t.term,
			Committed: t.committed, StopReason: t.stopReason, Tasks: tasks,
		})
		t.mu.Unlock()
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
