package engine

import (
	"math"
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

// observeEnd updates the health of the worker, the run-time estimates and the list
// of workers on which the unit failed from the end of a member. Runs of which the
// engine did not see the whole run time do not change the estimates.
func (e *Engine) observeEnd(m *member, how workflow.End, now time.Time) {
	u := m.unit
	switch how {
	case workflow.EndDone:
		m.worker.health.recordSuccess()
		if m.listed && !m.inherited && m.firstPercent == 0 {
			e.estimates.observe(u, now.Sub(m.startedAt))
		}
	case workflow.EndFailed:
		m.worker.health.recordFailure(u.job.id, now)
		if u.failedOn == nil {
			u.failedOn = make(map[string]bool)
		}
		u.failedOn[m.incarnation] = true
	}
}

// durationEstimates holds a correction of the callers' run-time estimates for each
// queue.
type durationEstimates map[string]*correction

// correction holds the moving average of the logarithm of the ratio of actual to
// estimated run time. Estimates are wrong by factors; a few extreme runs would
// dominate an average of the ratios themselves.
type correction struct{ meanLogRatio float64 }

const (
	// estimateSmoothing is the weight of the latest run in the moving average.
	estimateSmoothing = 0.1
	// maxLogRatio bounds the logarithm that one run contributes; it is a factor of 4.
	maxLogRatio = 1.4
)

// observe updates the correction of u's queue with the run time of one of its items.
func (est durationEstimates) observe(u *unit, runTime time.Duration) {
	if u.spec().EstimateMS <= 0 || runTime <= 0 {
		return
	}
	logRatio := math.Log(runTime.Seconds() * 1000 / float64(u.spec().EstimateMS))
	c := est[u.job.rec.Queue]
	if c == nil {
		c = new(correction)
		est[u.job.rec.Queue] = c
	}
	c.meanLogRatio += estimateSmoothing * (max(-maxLogRatio, min(logRatio, maxLogRatio)) - c.meanLogRatio)
}

// duration returns the expected run time of a unit from its start to its end.
func (est durationEstimates) duration(u *unit) time.Duration {
	return est.stepDuration(u.job.rec.Queue, u.spec())
}

// stepDuration returns the estimated run time of an item of a step, corrected for
// the queue.
func (est durationEstimates) stepDuration(queue string, step *workflow.Step) time.Duration {
	factor := 1.0
	if c := est[queue]; c != nil {
		factor = math.Exp(c.meanLogRatio)
	}
	return time.Duration(float64(step.EstimateMS) * factor * float64(time.Millisecond))
}

// minProgressPercent is the least progress, in percent, from which the speed of a
// run is extrapolated.
const minProgressPercent = 4

// remaining returns the expected time until all members of an active unit have
// ended. For members with enough progress it extrapolates their speed; for the
// others it uses the estimate.
func (est durationEstimates) remaining(u *unit, now time.Time) time.Duration {
	total, longest := est.duration(u), time.Duration(0)
	for _, m := range u.members {
		if m.end != "" {
			continue
		}
		timeLeft := total
		switch done := m.percent - m.firstPercent; {
		case m.listed && done >= minProgressPercent:
			whole := time.Duration(float64(m.percentChangedAt.Sub(m.startedAt)) * (100 - m.firstPercent) / done)
			timeLeft = whole - now.Sub(m.startedAt)
		case m.listed:
			timeLeft = time.Duration(float64(total)*(100-m.percent)/100) - now.Sub(m.percentChangedAt)
		}
		longest = max(longest, timeLeft, minRemaining)
	}
	return longest
}

// minRemaining is the least expected remaining time of a run that has not ended.
const minRemaining = 50 * time.Millisecond
