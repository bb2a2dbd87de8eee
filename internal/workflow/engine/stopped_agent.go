package engine

import "time"

// stoppedAgent is an agent's stored statement that it has stopped and passes no lease on any more. It holds as long
// as the record that makes it is in the store: a new process of the agent first replaces the record.
type stoppedAgent struct {
	revision    uint64    // of the record
	since       time.Time // first sight of the record, zero if the agent has not stopped
	confirmedAt time.Time // latest time at which the record was still in the store
}

// SetAgentStopped notes that the record of the agent on node with the given revision, first seen at since, says that
// the agent has stopped. A zero time says that it has not. It ignores nodes without a worker.
func (e *Engine) SetAgentStopped(node string, revision uint64, since time.Time) {
	if w := e.workers[node]; w != nil {
		w.stoppedAgent = stoppedAgent{revision: revision, since: since}
	}
}

// StoppedAgentsDue returns the revisions of the records, by node, whose presence in the store at now would show
// that the lease of a worker with open runs has ended.
func (e *Engine) StoppedAgentsDue(now time.Time) map[string]uint64 {
	var due map[string]uint64
	for _, w := range e.sortedWorkers {
		s := &w.stoppedAgent
		if s.since.IsZero() || !w.reportedAt.IsZero() || len(w.members) == 0 {
			continue
		}
		if end := s.since.Add(withClockDrift(e.settings.LeaseDuration) + expiryMargin); !now.Before(end) && s.confirmedAt.Before(end) {
			if due == nil {
				due = make(map[string]uint64)
			}
			due[w.node] = s.revision
		}
	}
	return due
}

// ConfirmAgentStopped notes that the record of the agent on node was in the store, with the given revision, at or
// after the given time.
func (e *Engine) ConfirmAgentStopped(node string, revision uint64, at time.Time) {
	if w := e.workers[node]; w != nil && w.stoppedAgent.revision == revision {
		w.stoppedAgent.confirmedAt = at
	}
}
