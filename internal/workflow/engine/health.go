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
	// firstExclusion is the time for which a worker is excluded first; it doubles
	// up to maxExclusion with each failure of the probe that follows.
	firstExclusion = 2 * time.Second
	maxExclusion   = 8 * time.Second
)

// health tells a faulty worker from faulty jobs.
type health struct {
	failedJobs map[string]bool // since the last success
	until      time.Time       // end of the exclusion
	exclusion  time.Duration   // length of the latest exclusion
}

func (h *health) excluded(now time.Time) bool { return now.Before(h.until) }

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(jobID string, now time.Time) {
	if h.failedJobs == nil {
		h.failedJobs = make(map[string]bool)
	}
	h.failedJobs[jobID] = true
	if len(h.failedJobs) < failuresToExclude {
		return
	}
	h.exclusion = min(max(2*h.exclusion, firstExclusion), maxExclusion)
	h.until = now.Add(h.exclusion)
}

// learn updates the worker's health and the estimates from the end of a run.
func (e *Engine) learn(m *member, how workflow.End, now time.Time) {
	u := m.unit
	switch how {
	case workflow.EndDone:
		m.worker.health.succeeded()
		if m.listed && !m.inherited && m.percent0 == 0 {
			e.estim.observe(u, now.Sub(m.since))
		}
	case workflow.EndFailed:
		m.worker.health.failed(u.job.id, now)
		if u.failedOn == nil {
			u.failedOn = make(map[string]bool)
		}
		u.failedOn[m.key] = true
	}
}

// estimates correct the callers' estimates of run times by queue.
type estimates map[string]*correction

// correction is the mean logarithm of the actual by the estimated time. Estimates
// are wrong by factors, so that an arithmetic mean would be ruled by a few runs.
type correction struct{ log float64 }

const (
	// estimateWeight is the weight of a run in the mean.
	estimateWeight = 0.1
	// maxCorrection bounds the logarithm that one run contributes: a factor of 4.
	maxCorrection = 1.4
)

func (s estimates) observe(u *unit, took time.Duration) {
	if u.spec().EstimateMS <= 0 || took <= 0 {
		return
	}
	x := math.Log(took.Seconds() * 1000 / float64(u.spec().EstimateMS))
	c := s[u.job.rec.Queue]
	if c == nil {
		c = new(correction)
		s[u.job.rec.Queue] = c
	}
	c.log += estimateWeight * (max(-maxCorrection, min(x, maxCorrection)) - c.log)
}

// duration returns the expected run time of a unit from its beginning.
func (s estimates) duration(u *unit) time.Duration {
	return s.ofStep(u.job.rec.Queue, u.spec())
}

func (s estimates) ofStep(queue string, step *workflow.Step) time.Duration {
	f := 1.0
	if c := s[queue]; c != nil {
		f = math.Exp(c.log)
	}
	return time.Duration(float64(step.EstimateMS) * f * float64(time.Millisecond))
}

// minPercent is the progress from which the speed of a run can be told.
const minPercent = 4

// remaining returns the expected time until the end of an active unit. Members
// that have made progress tell their own speed; the last one to end decides.
func (s estimates) remaining(u *unit, now time.Time) time.Duration {
	total, longest := s.duration(u), time.Duration(0)
	for _, m := range u.members {
		if m.end != "" {
			continue
		}
		left := total
		switch done := m.percent - m.percent0; {
		case m.listed && done >= minPercent:
			whole := time.Duration(float64(m.percentAt.Sub(m.since)) * (100 - m.percent0) / done)
			left = whole - now.Sub(m.since)
		case m.listed:
			left = time.Duration(float64(total)*(100-m.percent)/100) - now.Sub(m.percentAt)
		}
		longest = max(longest, left, endingSoon)
	}
	return longest
}

// endingSoon is the least remaining time of a run that has not ended.
const endingSoon = 50 * time.Millisecond
