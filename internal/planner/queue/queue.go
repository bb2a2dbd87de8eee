// Package queue orders the waiting jobs and says who may preempt whom.
//
// The value of a job is what a second of running it is worth: one over its
// expected remaining run time (short jobs first gives the lowest mean completion
// time), times a power of its size (large jobs first leaves only small ones
// waiting, which fit anywhere, so that no free accelerator lies useless), times
// an aging factor that grows with the time waited, so that neither large gangs nor
// small jobs starve. The weights of the configuration set the two powers.
//
// Small and large jobs have queues of their own and a share of the pool each, so
// that neither starves behind a burst of the other. A waiting job may preempt
// gangs if its value exceeds the sum of theirs by a margin; the margin and the
// aging of both sides keep two jobs from stopping each other in turn.
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
	// LargeShare is the part of the accelerators that large jobs may hold while
	// small ones wait. Small jobs get the rest while large ones wait.
	LargeShare float64
	// Margin is the factor by which a waiting job must exceed its victims.
	Margin float64
}

// ParamsOf derives the parameters from the weights of the configuration.
func ParamsOf(w model.Weights) Params {
	most := max(w.CompletionTime, w.Fragmentation)
	if most <= 0 {
		w, most = model.Weights{CompletionTime: 1}, 1
	}
	share := w.Fragmentation / (w.Fragmentation + w.CompletionTime)
	return Params{
		RunPower:  w.CompletionTime / most,
		SizePower: 1.5 * max(0, w.Fragmentation-w.CompletionTime) / most,
		Patience:  20 * time.Minute,
		// Measured on 30 traces: a margin of 3 loses the least work under loads; above
		// 2 fragmentation grows under casa.
		Margin:     3 - 1.4*share,
		LargeShare: 0.6 + 0.4*share,
	}
}

const (
	// LargeSize is the size from which a job counts as large.
	LargeSize = 8

	// A small job rises steeply once it has waited for agingShare of the backlog
	// and basePatience seconds.
	agingPower   = 4.0
	agingShare   = 0.5
	basePatience = 1200.0
)

// Value returns the worth of running a job per second.
func (p Params) Value(it Item) float64 {
	aging := 1 + it.Waited.Seconds()/p.Patience.Seconds()
	return aging * math.Pow(it.Size, p.SizePower) / math.Pow(max(it.Remaining.Seconds(), 1), p.RunPower)
}

// Order returns the place in the queue; higher is earlier. Large and small jobs
// have queues of their own.
//
// Small jobs go by worth per accelerator, raised steeply for those that have
// waited for a share of the backlog. The steep part orders the queue only; in
// preemption it made two old jobs stop each other. Large jobs go by the time
// waited less the expected run time: they share few places, so that the order of
// worth alone left the longest of them for the end of the backlog.
func (p Params) Order(it Item) float64 {
	if it.Size >= LargeSize {
		return it.Waited.Seconds() - it.Remaining.Seconds()
	}
	steep := it.Waited.Seconds() / (agingShare*p.Backlog.Seconds() + basePatience)
	return (1 + math.Pow(steep, agingPower)) * p.Value(it) / it.Size
}

// Harm returns what a stop costs in the units of Value: the value of the victim,
// raised by the share of its delay that is lost work and restart.
func (p Params) Harm(victim Item, lost, winnerRuns time.Duration) float64 {
	const restart = 5 * time.Second
	return p.Value(victim) * (1 + (lost+restart).Seconds()/max(winnerRuns.Seconds(), 1))
}
