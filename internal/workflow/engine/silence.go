package engine

import (
	"fmt"
	"time"
)

// What the expiry of a silent worker's lease is computed from.
const (
	basisReport  = "report"  // the worker's latest report of this term
	basisAgent   = "agent"   // the agent's latest reply, by which the worker does not respond to it
	basisPlanner = "planner" // the confirmation that no earlier planner extends leases
	basisOutage  = "outage"  // MaxStoreOutage, after which no earlier planner extends leases
	// basisSuspension is the stored promise that no planner extends the lease.
	basisSuspension = "suspension"
	basisStopped    = "stopped" // the agent's stored statement that it has stopped
)

// WorkerSilence describes a worker with open runs that does not report.
type WorkerSilence struct {
	Node  string
	Items int // with open runs
	// Expired reports that the lease has expired and the runs have ended. It is false if the
	// worker has not reported in this term yet.
	Expired bool
	// Basis says what the expiry of the lease is computed from: report, agent, planner, outage,
	// suspension or stopped.
	Basis string
	// ExpiresIn is the longest time until the runs end, 0 if Expired.
	ExpiresIn time.Duration
	// AgentAnswers reports that the agent replies without a report. Silent is then how long
	// the worker has not responded to it.
	AgentAnswers bool
	Silent       time.Duration
}

// EndEarlierPlanners notes that no earlier planner extends leases from now on.
func (e *Engine) EndEarlierPlanners(now time.Time) {
	limit := e.termStart.Add(e.settings.MaxStoreOutage)
	if e.earlierEndedAt.IsZero() && now.Before(limit) {
		e.earlierEndedAt = now
	}
}

// recordAgentReply notes a reply of the agent of w without a report that arrived at now.
func (w *worker) recordAgentReply(silent time.Duration, now time.Time) {
	w.agentRepliedAt, w.silentSince = now, now.Add(-silent)
}

// NoteUnanswered notes that a call to the agent of node has failed. Nothing starts on its worker until the
// agent replies.
func (e *Engine) NoteUnanswered(node string) {
	if w := e.workers[node]; w != nil {
		w.unanswered = true
	}
}

// agentIsSilent reports whether neither the worker nor its agent has answered in this term, or the
// agent no longer does.
func (w *worker) agentIsSilent(now time.Time) bool {
	return w.reportedAt.IsZero() && now.Sub(w.agentRepliedAt) > reportTimeout
}

// silence describes the silence of w at now.
func (e *Engine) silence(w *worker, now time.Time) *WorkerSilence {
	expiry, basis := e.leaseExpiry(w)
	s := &WorkerSilence{Node: w.node, Items: len(w.members), Basis: basis, Expired: now.After(expiry), ExpiresIn: max(expiry.Sub(now), 0)}
	if w.reportedAt.Before(w.agentRepliedAt) && now.Sub(w.agentRepliedAt) < reportTimeout {
		s.AgentAnswers, s.Silent = true, now.Sub(w.silentSince)
	}
	return s
}

// recordUnreported notes workers with inherited runs that have not reported within
// workerSettleTime of the term's start, and again when their agents begin to answer.
func (e *Engine) recordUnreported(w *worker, now time.Time) {
	if !w.reportedAt.IsZero() || len(w.members) == 0 || now.Sub(e.termStart) < workerSettleTime {
		return
	}
	s := e.silence(w, now)
	if w.unreportedNoted && (w.agentAnswerNoted || !s.AgentAnswers) {
		return
	}
	w.unreportedNoted, w.agentAnswerNoted = true, s.AgentAnswers
	e.endEvents = append(e.endEvents, EndEvent{Silence: s})
}

// silenceReason says which silent worker may still run an item of j, empty if none may.
func (e *Engine) silenceReason(j *job, now time.Time) string {
	for _, u := range j.units {
		for _, m := range u.members {
			if m.end == "" && now.Sub(m.worker.reportedAt) > reportTimeout {
				s := e.silence(m.worker, now)
				return fmt.Sprintf("item %s may still run on %s, which does not report; its lease ends in at most %v (by %s)",
					u.itemRef(m.index), s.Node, s.ExpiresIn.Round(100*time.Millisecond), s.Basis)
			}
		}
	}
	return ""
}
