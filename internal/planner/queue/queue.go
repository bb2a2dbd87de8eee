// Package queue orders the waiting jobs.
//
// The priority of a job is its expected work, in accelerator-seconds, divided by
// the time it has waited: short work first gives the lowest mean completion time,
// and the division makes every job's priority grow without bound, so that neither
// large gangs nor small jobs starve.
package queue

import (
	"math"
	"time"
)

// Item is what the order depends on.
type Item struct {
	Size      float64 // accelerators
	Remaining time.Duration
	Waited    time.Duration
}

// Params weighs the goals.
type Params struct {
	// SizePower weighs the size of a job against its run time; below 1, large
	// jobs come earlier, which keeps room together.
	SizePower float64
	// Patience is the waiting time that halves the work of a job in the order.
	Patience time.Duration
}

// Key returns the place in the order; lower is earlier.
func Key(it Item, p Params) float64 {
	work := it.Remaining.Seconds() * math.Pow(it.Size, p.SizePower)
	aging := 1 + it.Waited.Seconds()/p.Patience.Seconds()
	return work / aging
}
