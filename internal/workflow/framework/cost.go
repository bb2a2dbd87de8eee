package framework

import "time"

// CostModel says what a delay or a refusal of a job costs its callers. Costs are in
// units of value: completing a job of average work and of priority 0 in time is worth
// about one unit.
type CostModel interface {
	// Cost returns the cost of a job at now.
	Cost(j Job, now time.Time) Cost
}

// Job describes an open or offered job to a CostModel.
type Job struct {
	ID, Queue, Team string
	Priority        int
	// Guaranteed reports whether the guarantee of the team covers the job.
	Guaranteed bool
	// Begin is the acceptance, or the time at which the occurrence was due if that is
	// later. Objective counts from it.
	Begin     time.Time
	Objective time.Duration
	// Remaining is the expected time from a start to the end of the job, by learned
	// run times.
	Remaining time.Duration
	// Work is the expected work of the whole job and WorkLeft the part not yet done, in
	// core-seconds with an accelerator counted as several cores.
	Work, WorkLeft float64
	// FirstReady is when the job could first have started.
	FirstReady time.Time
}

// Cost is what delaying or refusing a job costs.
type Cost struct {
	// Value is what callers still get from the job if it starts now, Refusal what they
	// lose if it never runs.
	Value, Refusal float64
	// PerSecond is the value lost with each further second of delay.
	PerSecond float64
	// Useless reports that the job can no longer end in time to be of use.
	Useless bool
}
