package framework

import "time"

// SpeedModel learns how fast workers are, relative to a typical one of the pool.
type SpeedModel interface {
	// ObserveProgress takes the progress of a run from a report of its worker.
	ObserveProgress(p Progress)
	// Slowness returns the factor by which run times on a worker exceed those on a
	// typical one: 2 on a worker of half the speed, 1 if nothing is known.
	Slowness(worker string, now time.Time) float64
}

// Progress is the progress of a run of one item.
type Progress struct {
	Worker string // node name
	// Group names the step and occurrence; the items of a group do the same work.
	Group string
	// Item and Run identify the run.
	Item string
	Run  int
	// Elapsed is the time from the first report of the run to At, and Percent the
	// progress made in it.
	Elapsed time.Duration
	Percent float64
	// Expected is the run time of the whole item on a typical worker, as estimated.
	Expected time.Duration
	At       time.Time
	// Ended reports that the run has ended as done.
	Ended bool
}
