package framework

import (
	"time"

	"snipegw/internal/workflow"
)

// HeadroomPolicy decides how much of the workers of a service jobs that can wait leave free for
// jobs of priority 0 of that service.
type HeadroomPolicy interface {
	// ObserveArrival takes a job of priority 0 that was accepted. A term passes the jobs
	// of its predecessors too, so it may be long ago, and arrivals come in no order.
	ObserveArrival(a Arrival)
	// Headroom returns what to keep free at now. It returns false if it knows too
	// little, which keeps the engine's fixed share.
	Headroom(now time.Time, p Pool) (Headroom, bool)
}

// Headroom is what is kept free for jobs of priority 0.
type Headroom struct {
	// Amount holds the processors and accelerators, over all workers of the service.
	Amount workflow.Resources
	// Item is what a usual item needs. Only room on workers that could hold one counts as
	// free.
	Item workflow.Resources
}

// Arrival is the acceptance of a job.
type Arrival struct {
	Queue   string
	Service string // that runs its items
	At      time.Time
	// Needs is the sum of what the items of its largest step reserve.
	Needs workflow.Resources
	// Item is what one of these items reserves.
	Item workflow.Resources
}

// Pool is the state of the usable workers of a service at one moment.
type Pool struct {
	Service string
	Total   workflow.Resources
	// Releases lists what is expected to become free by itself, by time.
	Releases []Release
}

// Release is the expected end of a run.
type Release struct {
	After time.Duration
	Needs workflow.Resources
}
