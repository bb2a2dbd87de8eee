package framework

import (
	"time"

	"snipegw/internal/workflow"
)

// HeadroomPolicy decides how much of the pool jobs that can wait leave free for jobs of
// priority 0.
type HeadroomPolicy interface {
	// ObserveArrival takes a job of priority 0 that was accepted.
	ObserveArrival(a Arrival)
	// Headroom returns the resources to keep free at now. It returns false if it
	// knows too little, which keeps the engine's fixed share.
	Headroom(now time.Time, p Pool) (workflow.Resources, bool)
}

// Arrival is the acceptance of a job.
type Arrival struct {
	Queue string
	Team  string
	At    time.Time
	// Needs is the sum of what the items of its largest step reserve.
	Needs workflow.Resources
	// Duration is the expected run time of that step.
	Duration time.Duration
}

// Pool is the state of the usable workers at one moment.
type Pool struct {
	Free, Total workflow.Resources
	// Releases lists what is expected to become free by itself, by time.
	Releases []Release
}

// Release is the expected end of a run.
type Release struct {
	After time.Duration
	Needs workflow.Resources
}
