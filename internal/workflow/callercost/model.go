// Package callercost says what a delay or a refusal of a job costs its callers. Values
// are in units of the weight of a priority: a job of average work that ends in time is
// worth the weight of its priority. Room is in core-seconds, with an accelerator counted
// as several cores.
package callercost

import (
	"math"
	"time"

	"snipegw/internal/workflow/framework"
)

const (
	// baseShare is the share of a job's worth that does not depend on its work: each job
	// is a caller who waits. The rest grows with the work against the mean of the queue.
	baseShare = 0.3
	// maxWorth bounds the worth of a large job, in jobs of average work. Without a bound
	// one caller could outweigh a whole queue by asking for more.
	maxWorth = 4
	// minSpread is the least standard deviation of the logarithm of a run time that is
	// assumed. Hosts differ by that much even when the work of an item is known.
	minSpread = 0.1
	// longRunningAbsence is the absence of a long-running job that costs its callers as
	// much as a job of average work that is not done: they use it all the time.
	longRunningAbsence = time.Minute
	// uselessShare is the share of a job's worth below which its completion counts as of
	// no use: a chance of about one in twenty of ending late.
	uselessShare = 0.01
)

// Worth returns what completing a job in time is worth to callers. The weight is that
// of its priority. Work and meanWork, the mean of its queue, are in the same unit; a
// meanWork of 0 counts as unknown, and the job as an average one.
func Worth(weight, work, meanWork float64) float64 {
	relative := 1.0
	if meanWork > 0 {
		relative = max(0, work) / meanWork
	}
	return weight * min(baseShare+(1-baseShare)*relative, maxWorth)
}

// Chance returns the probability that a job ends within timeLeft if it starts now. Its
// run time is log-normal with the median remaining and the given spread.
func Chance(timeLeft, remaining time.Duration, spread float64) float64 {
	switch {
	case timeLeft <= 0:
		return 0
	case remaining <= 0:
		return 1
	}
	deviation := math.Log(float64(timeLeft)/float64(remaining)) / max(spread, minSpread)
	return 0.5 * math.Erfc(-deviation/math.Sqrt2)
}

// Value returns what callers can be expected to get from a job of the given worth that
// starts after a delay from now. A job that ends late, up to
// framework.MaxLatenessFactor times its objective, keeps lateShare of its worth.
func Value(worth, lateShare float64, j *framework.Job, now time.Time, delay time.Duration) float64 {
	if j.LongRunning {
		return worth * max(0, 1-float64(delay)/float64(longRunningAbsence))
	}
	age := now.Add(delay).Sub(j.Begin)
	inTime := Chance(j.Objective-age, j.Remaining, j.Spread)
	useful := Chance(framework.MaxLatenessFactor*j.Objective-age, j.Remaining, j.Spread)
	return worth * (lateShare*useful + (1-lateShare)*inTime)
}

// CostOf returns the cost of a job of the given worth at now if a delay lasts for the
// horizon.
func CostOf(worth, lateShare float64, j *framework.Job, horizon time.Duration, now time.Time) framework.Cost {
	horizon = max(horizon, minHorizon)
	value := Value(worth, lateShare, j, now, 0)
	c := framework.Cost{
		Value: value, AtRisk: max(0, value-Value(worth, lateShare, j, now, horizon)), Room: max(0, j.WorkLeft),
		Useless: value < uselessShare*worth, Served: 1,
	}
	c.PerSecond = c.AtRisk / horizon.Seconds()
	return c
}

// minHorizon is the least delay over which a loss is measured. Within less, the loss is
// below what the expected run times can tell.
const minHorizon = 100 * time.Millisecond
