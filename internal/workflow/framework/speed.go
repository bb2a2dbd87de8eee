package framework

import (
	"time"

	"snipegw/internal/workflow"
)

// SpeedModel learns how fast workers are, relative to a typical one of the pool.
type SpeedModel interface {
	// ObserveProgress takes the progress of a run from a report of its worker.
	ObserveProgress(p Progress)
	// ObserveEnd takes the end of a run.
	ObserveEnd(worker string, run Run)
	// Slowness returns the factor by which run times on a worker exceed those on a
	// typical one: 2 on a worker of half the speed, 1 if nothing is known.
	Slowness(worker string, now time.Time) float64
	// RunTime returns the time that a whole item takes at the present speed of a run
	// whose speed has changed since its start, and whether there is such a run.
	RunTime(worker string, run Run) (time.Duration, bool)
}

// Run identifies a run of an item.
type Run struct {
	Item   workflow.ItemRef
	Number int
}

// Progress is the progress of a run of one item.
type Progress struct {
	Worker string // node name
	Run    Run
	// Away reports that the run is not where its data is, or that its gang is spread over
	// racks, so that its run time differs from that of other items of its step.
	Away bool
	// Clock is the time of the report on the worker's clock, from any origin, and At its
	// arrival.
	Clock   time.Duration
	At      time.Time
	Percent float64
	// Expected is the run time of the whole item on a typical worker, as estimated.
	Expected time.Duration
}
