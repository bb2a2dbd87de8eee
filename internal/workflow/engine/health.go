package engine

import (
	"time"

	"snipegw/internal/workflow"
)

const (
	// failuresToExclude is the number of different jobs that must fail on a worker,
	// with no success between them, before the worker is taken for faulty.
	failuresToExclude = 2
	// initialExclusion is the duration of a worker's first exclusion from new
	// starts. Each failure after that doubles it, up to maxExclusion.
	initialExclusion = 2 * time.Second
	maxExclusion     = 8 * time.Second
)

// health tells a faulty worker from faulty jobs. A worker on which several jobs fail
// is excluded from new starts for a while; one success clears it.
type health struct {
	failedJobs    map[string]bool // ids of the jobs that failed since the last success
	excludedUntil time.Time
	lastExclusion time.Duration // duration of the latest exclusion
}

func (h *health) excluded(now time.Time) bool { return now.Before(h.excludedUntil) }

// recordSuccess clears the failures and any exclusion.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure counts a failure of a job at now and excludes the worker if enough
// different jobs have failed.
func (h *health) recordFailure(jobID string, now time.Time) {
	if h.failedJobs == nil {
		h.failedJobs = make(map[string]bool)
	}
	h.failedJobs[jobID] = true
	if len(h.failedJobs) < failuresToExclude {
		return
	}
	h.lastExclusion = min(max(2*h.lastExclusion, initialExclusion), maxExclusion)
	h.excludedUntil = now.Add(h.lastExclusion)
}

// observeEnd updates the health of the worker, the run-time estimates and the
// setbacks of the unit from the end of a member. The run time is taken on
// the worker's clock, from the confirmation of the start to the report of the end. Runs
// that resumed from a checkpoint, were started by another planner, or ended some time before
// their ends were listed, do not change the estimates.
func (e *Engine) observeEnd(m *member, how workflow.End, now time.Time) {
	u := m.unit
	if e.plugins.speed != nil {
		e.plugins.speed.ObserveEnd(m.worker.node, m.runID())
	}
	if how == workflow.EndDone || how == workflow.EndFailed {
		e.recordSurvival(m)
	}
	switch how {
	case workflow.EndDone:
		m.worker.health.recordSuccess()
		if m.startConfirmedMS > 0 && !m.resumed && !m.endPending {
			slowness := u.slowness()
			if u.spansRacks() {
				slowness *= remoteFactor
			}
			e.estimates.observe(u, scale(time.Duration(m.worker.clockMS-m.startConfirmedMS)*time.Millisecond, 1/slowness))
		}
	case workflow.EndFailed:
		m.worker.health.recordFailure(u.job.id, now)
		u.recordSetback(m.incarnation)
	}
}

// recordSetback counts a failed run of u, or a start that had no effect, on a worker. The units
// of one shape choose the same worker among idle ones each time, so that u would be
// started again where it has just failed to start.
func (u *unit) recordSetback(incarnation string) {
	if u.setbacks == nil {
		u.setbacks = make(map[string]int)
	}
	u.setbacks[incarnation]++
}
