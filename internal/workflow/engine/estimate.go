package engine

import (
	"math"
	"time"

	"snipegw/internal/workflow"
)

// durationEstimates predicts run times by queue. Callers' estimates are wrong by
// factors, in some queues by so much that the usual run time of the queue tells more.
// A prediction weighs both by how well each has predicted so far.
type durationEstimates map[string]*queueDurations

// queueDurations holds what was learned of the run times of a queue.
type queueDurations struct {
	runTime movingNormal // logarithm of the run time in milliseconds
	ratio   movingNormal // logarithm of run time to estimate
}

// movingNormal is a weighted moving mean and variance.
type movingNormal struct{ mean, variance, weight float64 }

const (
	// stageWeight is the total weight of the items of a stage, whose run times are
	// alike. A wide stage must not count as many observations.
	stageWeight = 1.0
	// minObservationShare is the least share of a new observation of weight 1 in the mean,
	// so that old ones do not weigh for ever.
	minObservationShare = 0.05
	// maxLogRatio bounds the distance from the mean that one run contributes; it is a
	// factor of 4.
	maxLogRatio = 1.4
	// initialRatioVariance and initialRunTimeVariance are the variances before any
	// observation, which count as one. With them a prediction follows the caller's estimate.
	initialRatioVariance   = 0.1
	initialRunTimeVariance = 1.0
)

// add adds an observation with the given weight. Its distance from the mean is bounded,
// so that a few extreme ones do not dominate.
func (n *movingNormal) add(x, weight float64) {
	share := max(weight/(n.weight+weight), minObservationShare*weight)
	deviation := max(-maxLogRatio, min(x-n.mean, maxLogRatio))
	n.mean += share * deviation
	n.variance = (1 - share) * (n.variance + share*deviation*deviation)
	n.weight += weight
}

// observe learns from the run time of an item of u.
func (est durationEstimates) observe(u *unit, runTime time.Duration) {
	estimate := float64(u.spec().EstimateMS)
	if estimate <= 0 || runTime <= 0 {
		return
	}
	q := est[u.job.rec.Queue]
	if q == nil {
		q = &queueDurations{
			runTime: movingNormal{mean: math.Log(estimate), variance: initialRunTimeVariance, weight: 1},
			ratio:   movingNormal{variance: initialRatioVariance, weight: 1},
		}
		est[u.job.rec.Queue] = q
	}
	logRunTime := math.Log(float64(runTime.Milliseconds()) + 1)
	weight := stageWeight / float64(u.spec().Count)
	q.runTime.add(logRunTime, weight)
	q.ratio.add(logRunTime-math.Log(estimate), weight)
}

// duration returns the expected run time of a unit from its start to its end.
func (est durationEstimates) duration(u *unit) time.Duration {
	return est.stepDuration(u.job.rec.Queue, u.spec())
}

// stepDuration returns the expected run time of an item of a step: the caller's
// estimate, corrected for the queue, and the usual run time of the queue, each weighted
// by the variance of the other.
func (est durationEstimates) stepDuration(queue string, step *workflow.Step) time.Duration {
	q := est[queue]
	if q == nil || step.EstimateMS <= 0 {
		return time.Duration(step.EstimateMS) * time.Millisecond
	}
	corrected := math.Log(float64(step.EstimateMS)) + q.ratio.mean
	share := q.runTime.variance / (q.runTime.variance + q.ratio.variance)
	return workflow.ToDuration(math.Exp(share*corrected+(1-share)*q.runTime.mean) * float64(time.Millisecond))
}

// spread returns the standard deviation of the logarithm of a prediction for the queue.
func (est durationEstimates) spread(queue string) float64 {
	q := est[queue]
	if q == nil {
		return math.Sqrt(initialRatioVariance)
	}
	return math.Sqrt(q.runTime.variance * q.ratio.variance / (q.runTime.variance + q.ratio.variance))
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
		if m.end == "" {
			longest = max(longest, m.remaining(total, now), minRemaining)
		}
	}
	return longest
}

// remaining returns the expected time until m has made all its progress. If it has made
// little yet, it is expected to take total for the whole.
func (m *member) remaining(total time.Duration, now time.Time) time.Duration {
	switch done := m.percent - m.firstPercent; {
	case m.listed && done >= minProgressPercent:
		whole := time.Duration(float64(m.percentChangedAt.Sub(m.startedAt)) * (100 - m.firstPercent) / done)
		return whole - now.Sub(m.startedAt)
	case m.listed:
		return time.Duration(float64(total)*(100-m.percent)/100) - now.Sub(m.percentChangedAt)
	}
	return total
}

// minRemaining is the least expected remaining time of a run that has not ended.
const minRemaining = 50 * time.Millisecond
