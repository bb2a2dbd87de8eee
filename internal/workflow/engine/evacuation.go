package engine

import (
	"maps"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// evacuatedReason is the reason for which starts in an evacuated failure domain are retracted.
const evacuatedReason = "failure domain is evacuated"

// StartExpiry returns the longest time from the hand-out of a start order until it can no longer
// take effect. The deadline is set on the worker's clock, from a report that may be as old as
// reportTimeout.
func StartExpiry() time.Duration {
	return withClockDrift(startWindow+reportTimeout) - reportTimeout + expiryMargin
}

// EvacuationState describes a request to evacuate a failure domain in the debug dump.
type EvacuationState struct {
	FailureDomain string `json:"failure_domain"`
	Key           string `json:"key"`
	Revision      uint64 `json:"revision"`
	AgeMS         int64  `json:"age_ms"` // since the planner's process learned of the request
	// Workers counts the workers of the failure domain, and Items the items that may be running
	// there.
	Workers int `json:"workers"`
	Items   int `json:"items"`
}

// SetEvacuations replaces the requests to evacuate failure domains.
func (e *Engine) SetEvacuations(inForce []workflow.Evacuation) {
	clear(e.evacuations)
	for _, v := range inForce {
		if v.FailureDomain != "" { // workers without a failure domain cannot be named
			e.evacuations[v.FailureDomain] = v
		}
	}
}

// SetAgentDomain sets the failure domain of a node's agent. It counts as that of its worker until
// the worker names one.
func (e *Engine) SetAgentDomain(node, failureDomain string) {
	e.AddWorker(node)
	e.workers[node].agentDomain = failureDomain
}

// failureDomain returns the failure domain of w; empty if it is not known.
func (w *worker) failureDomain() string {
	if w.announcement != nil && w.announcement.FailureDomain != "" {
		return w.announcement.FailureDomain
	}
	return w.agentDomain
}

// isEvacuated reports whether the failure domain of w is evacuated.
func (e *Engine) isEvacuated(w *worker) bool {
	_, ok := e.evacuations[w.failureDomain()]
	return ok
}

// isUnsent reports whether m waits for its start order.
func (m *member) isUnsent() bool { return m.end == "" && !m.startSent && !m.inherited }

// startDomains returns the sorted failure domains of the members of j that wait for their start
// orders.
func (j *job) startDomains() []string {
	domains := make(map[string]bool)
	for _, u := range j.units {
		for _, m := range u.members {
			if m.isUnsent() && m.failureDomain != "" {
				domains[m.failureDomain] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(domains))
}

// RetractStartsIn ends the runs of a job that were decided but not stored and of which an item was
// to start in one of the failure domains. No start order was sent for them.
func (e *Engine) RetractStartsIn(id string, failureDomains []string, now time.Time) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	e.markDirty(j)
	for _, u := range j.units {
		e.retractUnit(u, evacuatedReason, now, func(m *member) bool { return slices.Contains(failureDomains, m.failureDomain) })
	}
}

// RetractUnsentStarts ends all runs whose start orders have not been handed out.
func (e *Engine) RetractUnsentStarts(reason string, now time.Time) {
	e.retractUnsent(reason, now, func(*member) bool { return true })
}

// retractEvacuatedStarts ends the stored runs in failure domains that were evacuated before their
// start orders were handed out.
func (e *Engine) retractEvacuatedStarts(now time.Time) {
	if len(e.evacuations) == 0 {
		return
	}
	e.retractUnsent(evacuatedReason, now, func(m *member) bool {
		_, ok := e.evacuations[m.failureDomain]
		return ok
	})
}

func (e *Engine) retractUnsent(reason string, now time.Time, affected func(*member) bool) {
	for _, w := range e.sortedWorkers {
		for _, m := range slices.Clone(w.members) {
			if m.end == "" {
				e.retractUnit(m.unit, reason, now, affected)
			}
		}
	}
}

// retractUnit ends the members of u that wait for their start orders, if one of them is affected.
func (e *Engine) retractUnit(u *unit, reason string, now time.Time, affected func(*member) bool) {
	if !slices.ContainsFunc(u.members, func(m *member) bool { return m.isUnsent() && affected(m) }) {
		return
	}
	u.stop(reason)
	for _, m := range slices.Clone(u.members) {
		if m.isUnsent() {
			e.endMember(m, workflow.EndNever, "", now)
		}
	}
}

// Evacuations returns the state of the evacuations at now, sorted by failure domain.
func (e *Engine) Evacuations(now time.Time) []EvacuationState {
	if len(e.evacuations) == 0 {
		return nil
	}
	out := make([]EvacuationState, 0, len(e.evacuations))
	for _, domain := range sortedKeys(e.evacuations) {
		v := e.evacuations[domain]
		s := EvacuationState{FailureDomain: domain, Key: v.Key, Revision: v.Revision, AgeMS: now.Sub(v.SeenAt).Milliseconds()}
		for _, w := range e.sortedWorkers {
			if w.failureDomain() == domain {
				s.Workers++
				s.Items += len(w.members)
			}
		}
		out = append(out, s)
	}
	return out
}

// Settled reports whether the term has lasted so long that all live workers have announced
// themselves.
func (e *Engine) Settled(now time.Time) bool { return now.Sub(e.termStart) > workerSettleTime }

// isCold reports whether w still runs items slowly after its start.
func (w *worker) isCold(now time.Time) bool { return now.Before(w.coldUntil) }

// coldPreference returns the rank of w for a unit among workers that suit it equally: the lower is
// filled first. A unit that can wait has the time to run slowly, and leaves the warm workers to
// others.
func coldPreference(w *worker, canWait bool, now time.Time) int {
	if w.isCold(now) == canWait {
		return 0
	}
	return 1
}
