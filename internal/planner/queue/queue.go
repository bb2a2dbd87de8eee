// Package queue computes the priority of waiting jobs and the values that decide which
// job may preempt which.
//
// The value of a job is what running it for a second is worth. It is the product of
// three factors: a power of the inverse of its expected remaining run time (shortest
// job first gives the lowest mean completion time), a power of its size (with large
// jobs first, only small ones wait, which fit anywhere, so that no free accelerator
// goes unused) and an aging factor that grows with the time waited, so that neither
// large gangs nor small jobs starve. The weights of the configuration determine the
// two exponents.
//
// Small and large jobs have separate queues and a share of the pool each, so that
// neither starves behind a burst of the other. A waiting job may preempt gangs if its
// value exceeds the sum of their harms by a margin. The margin, and the aging of both
// sides, keep two jobs from preempting each other in turn.
package queue

import (
	"math"
	"time"

	"snipegw/internal/model"
)

// Item holds the properties of a job on which its value and priority depend.
type Item struct {
	Size      float64       // in accelerators
	Remaining time.Duration // expected run time left
	// Waited is the time since submission in which the job did not run.
	Waited time.Duration
}

// Params are the parameters of value, priority and preemption.
type Params struct {
	RunTimeExponent, SizeExponent float64
	// AgingTime is the waiting time after which the value of a job has doubled. The value
	// grows linearly with the time waited.
	AgingTime time.Duration
	// Backlog is the time that the pool needs to run all waiting jobs. The priority
	// of a job that has waited for agingBacklogShare of it rises steeply. Ordered by
	// value alone, the long and large jobs of an overloaded pool would run last.
	Backlog time.Duration
	// LargeShare is the fraction of the accelerators that large jobs may hold while
	// small ones wait. Small jobs may hold the rest while large ones wait.
	LargeShare float64
	// PreemptionMargin is the factor by which the value of a waiting job must exceed
	// the harm of stopping its victims.
	PreemptionMargin float64
}

// ParamsOf derives the parameters from the weights of the configuration.
func ParamsOf(w model.Weights) Params {
	most := max(w.CompletionTime, w.Fragmentation)
	if most <= 0 {
		w, most = model.Weights{CompletionTime: 1}, 1
	}
	share := w.Fragmentation / (w.Fragmentation + w.CompletionTime)
	return Params{
		RunTimeExponent: w.CompletionTime / most,
		SizeExponent:    1.5 * max(0, w.Fragmentation-w.CompletionTime) / most,
		AgingTime:       20 * time.Minute,
		// Over 30 traces, a margin of 3 loses the least work under the loads policy, and
		// above 2 fragmentation grows under the casa policy.
		PreemptionMargin: 3 - 1.4*share,
		LargeShare:       0.6 + 0.4*share,
	}
}

const (
	// LargeSize is the smallest size, in accelerators, of a large job.
	LargeSize = 8

	// The priority of a small job rises steeply, with agingExponent, once it has waited
	// for agingBacklogShare of the backlog plus baseAgingSeconds.
	agingExponent     = 4.0
	agingBacklogShare = 0.5
	baseAgingSeconds  = 1200.0
)

// Value returns what running a job for a second is worth, in arbitrary units.
func (p Params) Value(it Item) float64 {
	aging := 1 + it.Waited.Seconds()/p.AgingTime.Seconds()
	return aging * math.Pow(it.Size, p.SizeExponent) / math.Pow(max(it.Remaining.Seconds(), 1), p.RunTimeExponent)
}

// Priority returns the priority of a job in its queue; higher ones go first. Large and
// small jobs have separate queues, so their priorities are not comparable.
//
// Small jobs are ordered by value per accelerator, which rises steeply for those that
// have waited for a share of the backlog. The steep part affects the queue only: when
// it applied to preemption, two old jobs stopped each other. Large jobs are ordered by
// the time waited minus the expected run time. They share few places, so that an order
// by value alone left the longest of them for the end of the backlog.
func (p Params) Priority(it Item) float64 {
	if it.Size >= LargeSize {
		return it.Waited.Seconds() - it.Remaining.Seconds()
	}
	steep := it.Waited.Seconds() / (agingBacklogShare*p.Backlog.Seconds() + baseAgingSeconds)
	return (1 + math.Pow(steep, agingExponent)) * p.Value(it) / it.Size
}

// Harm returns the cost of a stop in the units of Value: the value of the victim,
// increased by its lost run time and restart relative to winnerRunTime, the expected run
// time of the job that preempts it.
func (p Params) Harm(victim Item, lost, winnerRunTime time.Duration) float64 {
	const restart = 5 * time.Second
	return p.Value(victim) * (1 + (lost+restart).Seconds()/max(winnerRunTime.Seconds(), 1))
}
