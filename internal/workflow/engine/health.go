package engine

import (
	"math"
	"time"

	"snipegw/internal/workflow"
)

const (
	// failuresToExclude is the number of different jobs that must fail in a row
	// on a worker before it is held responsible.
	failuresToExclude = 2
	// initialExclusion is the time for which a worker is excluded first; it doubles
	// up to maxExclusion with each failure of the probe that follows.
	initialExclusion = 2 * time.Second
	maxExclusion     = 8 * time.Second
)

// health tells a faulty worker from faulty jobs.
type health struct {
	failedJobs    map[string]bool // since the last success
	excludedUntil time.Time       // end of the exclusion
	lastExclusion time.Duration   // length of the latest exclusion
}

func (h *health) excluded(now time.Time) bool { return now.Before(h.excludedUntil) }

func (h *health) recordSuccess() { *h = health{} }

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

// observeEnd updates the worker's health and the estimates from the end of a run.
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

// durationEstimates correct the callers' estimates of run times by queue.
type durationEstimates map[string]*correction

// correction is the mean logarithm of the actual by the estimated time. Estimates
// are wrong by factors, so that an arithmetic mean would be ruled by a few runs.
type correction struct{ meanLogRatio float64 }

const (
	// estimateSmoothing is the weight of a run in the mean.
	estimateSmoothing = 0.1
	// maxLogRatio bounds the logarithm that one run contributes: a factor of 4.
	maxLogRatio = 1.4
)

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

// duration returns the expected run time of a unit from its beginning.
func (est durationEstimates) duration(u *unit) time.Duration {
	return est.stepDuration(u.job.rec.Queue, u.spec())
}

func (est durationEstimates) stepDuration(queue string, step *workflow.Step) time.Duration {
	factor := 1.0
	if c := est[queue]; c != nil {
		factor = math.Exp(c.meanLogRatio)
	}
	return time.Duration(float64(step.EstimateMS) * factor * float64(time.Millisecond))
}

// minProgressPercent is the progress from which the speed of a run can be told.
const minProgressPercent = 4

// remaining returns the expected time until the end of an active unit. Members
// that have made progress tell their own speed; the last one to end decides.
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

// minRemaining is the least remaining time of a run that has not ended.
const minRemaining = 50 * time.Millisecond
