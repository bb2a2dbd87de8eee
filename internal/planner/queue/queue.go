// Package queue orders the waiting jobs and says who may preempt whom.
//
// The value of a job is what a second of running it is worth: one over its
// expected remaining run time (short jobs first gives the lowest mean completion
// time), times a power of its size (large jobs first leaves only small ones
// waiting, which fit anywhere, so that no free accelerator lies useless), times
// an aging factor that grows with the time waited, so that neither large gangs nor
// small jobs starve. The weights of the configuration set the two powers.
//
// The queue is ordered by value per accelerator. A waiting job may preempt gangs
// if its value exceeds the sum of theirs by a margin; the margin and the aging of
// both sides keep two jobs from stopping each other in turn.
package queue

import (
	"math"
	"time"

	"snipegw/internal/model"
)

// Item is what the order depends on.
type Item struct {
	Size      float64 // accelerators
	Remaining time.Duration
	// Waited is the time since submission in which the job did not run.
	Waited time.Duration
}

// Params weighs the goals.
type Params struct {
	RunPower, SizePower float64
	// Patience is the waiting time that doubles the value of a job.
	Patience time.Duration
	// Backlog is the time in which the pool could work off the queue. A job that
	// has waited for an agingShare of it rises steeply: in an overloaded pool the
	// order of value alone would leave the long and large jobs for the end.
	Backlog time.Duration
	// Margin is the factor by which a waiting job must exceed its victims.
	Margin float64
}

// ParamsOf derives the parameters from the weights of the configuration.
func ParamsOf(w model.Weights) Params {
	most := max(w.CompletionTime, w.Fragmentation)
	if most <= 0 {
		w, most = model.Weights{CompletionTime: 1}, 1
	}
	return Params{
		RunPower:  w.CompletionTime / most,
		SizePower: 1.5 * max(0, w.Fragmentation-w.CompletionTime) / most,
		Patience:  20 * time.Minute,
		Margin:    1.5,
	}
}

const (
	// LargeSize is the size from which a job counts as large.
	LargeSize = 8

	agingPower   = 4.0
	largeShare   = 0.15
	smallShare   = 0.50
	basePatience = 1200.0 // seconds
)

// Value returns the worth of running a job per second.
func (p Params) Value(it Item) float64 {
	aging := 1 + it.Waited.Seconds()/p.Patience.Seconds()
	return aging * math.Pow(it.Size, p.SizePower) / math.Pow(max(it.Remaining.Seconds(), 1), p.RunPower)
}

// Density returns the place in the queue: the worth per accelerator, raised
// steeply for a job that has waited for a share of the backlog. The steep part
// orders the queue only; in preemption it made two old jobs stop each other.
func (p Params) Density(it Item) float64 {
	share := smallShare
	if it.Size >= LargeSize {
		share = largeShare
	}
	steep := it.Waited.Seconds() / (share*p.Backlog.Seconds() + basePatience)
	return (1 + math.Pow(steep, agingPower)) * p.Value(it) / it.Size
}

// Harm returns what a stop costs in the units of Value: the value of the victim,
// raised by the share of its delay that is lost work and restart.
func (p Params) Harm(victim Item, lost, winnerRuns time.Duration) float64 {
	const restart = 5 * time.Second
	return p.Value(victim) * (1 + (lost+restart).Seconds()/max(winnerRuns.Seconds(), 1))
}
