package engine

import "time"

// A suspension is the stored promise of the planners that none of them extends the lease of a
// worker. It tells a successor when the lease ends, also if neither the worker's agent nor the
// planner that made the promise answers any more. A planner keeps the promise from before it is
// stored until its withdrawal is stored.

// SuspendLease stops extending the lease of the worker on node and starts nothing there, and
// reports whether it has. Reports up to now are the last that count for the lease. It refuses
// while an earlier planner may still extend the lease, and if nothing runs there or the lease is
// suspended.
func (e *Engine) SuspendLease(node string, now time.Time) bool {
	w := e.workers[node]
	if w == nil || w.suspended || len(w.members) == 0 || !e.earlierEnded(now) {
		return false
	}
	w.suspended, w.suspendedAt = true, now
	return true
}

// InheritSuspension notes that the lease of the worker on node is suspended, and that no planner has
// extended it since the given time; zero if that is not known. The lease is not extended until ResumeLease.
func (e *Engine) InheritSuspension(node string, since, now time.Time) {
	e.AddWorker(node)
	w := e.workers[node]
	w.suspended, w.suspendedAt, w.unextendedSince = true, now, since
}

// MayResume reports whether the lease of the worker on node is suspended and the worker has
// reported since.
func (e *Engine) MayResume(node string) bool {
	w := e.workers[node]
	return w != nil && w.suspended && w.reportedAt.After(w.suspendedAt)
}

// ResumeLease extends the lease of the worker on node again. The withdrawal of the suspension must
// have been stored.
func (e *Engine) ResumeLease(node string) {
	if w := e.workers[node]; w != nil {
		w.suspended = false
	}
}

// earlierEnded reports whether no earlier planner extends leases any more.
func (e *Engine) earlierEnded(now time.Time) bool {
	return !e.earlierEndedAt.IsZero() || now.Sub(e.termStart) >= e.settings.MaxStoreOutage
}
