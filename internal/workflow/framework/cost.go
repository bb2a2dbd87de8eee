package framework

import "time"

// MaxLatenessFactor times a job's objective is the time after which its completion is
// of no more use to the caller.
const MaxLatenessFactor = 3

// CostModel says what a delay or a refusal of a job costs its callers, and how often a
// run may be stopped. Costs are in units of value: completing a job of average work in
// time is worth the weight of its priority.
type CostModel interface {
	// ObserveJob takes the work of an open job, once for each job, in core-seconds with
	// an accelerator counted as several cores.
	ObserveJob(queue string, work float64)
	// ObserveTeams takes what the teams have asked for and what they were given since the
	// last call.
	ObserveTeams(uses []TeamUse, now time.Time)
	// Ready reports whether the model has learned enough. Until then its other answers
	// have no meaning.
	Ready() bool
	// Cost returns the cost of a job at now if further delay lasts for the horizon.
	Cost(j Job, horizon time.Duration, now time.Time) Cost
	// Value returns what callers can be expected to get from a job that starts after a
	// delay, and Worth what they get if it ends in time.
	Value(j Job, now time.Time, delay time.Duration) float64
	Worth(j Job) float64
	// Compare orders two waiting jobs of equal class, lateness and priority by their costs: negative if a is to
	// be served first, 0 if the costs do not tell.
	Compare(a, b Cost) int
	// MaxStops returns how often a unit may be stopped for jobs of priority 0 beyond a
	// guarantee.
	MaxStops() int
}

// Job describes an open or offered job to a CostModel.
type Job struct {
	ID, Queue, Team string
	Priority        int
	// Begin is the acceptance, or the time at which the occurrence was due if that is
	// later. Objective counts from it.
	Begin     time.Time
	Objective time.Duration
	// Remaining is the expected time from a start to the end of the job, by learned
	// run times, and Spread the standard deviation of its logarithm.
	Remaining time.Duration
	Spread    float64
	// Work is the expected work of the whole job and WorkLeft the part not yet done, in
	// core-seconds with an accelerator counted as several cores.
	Work, WorkLeft float64
	// FirstReady is when the job could first have started; zero if that is not known.
	FirstReady time.Time
	// LongRunning reports that the job runs until it is cancelled. Then Work and WorkLeft
	// are those of the horizon.
	LongRunning bool
}

// TeamUse is what the jobs of a team have asked for and were given, in core-seconds with
// an accelerator counted as several cores.
type TeamUse struct {
	Team          string
	Asked, Served float64
}

// Cost is what delaying or refusing a job costs.
type Cost struct {
	// Value is what callers can be expected to get from the job if it starts now and is
	// not delayed further. A refusal loses it.
	Value float64 `json:"value"`
	// AtRisk is the part of Value that a delay by the horizon loses.
	AtRisk float64 `json:"at_risk"`
	// PerSecond is AtRisk by second of delay.
	PerSecond float64 `json:"per_second"`
	// Room is what the job still holds up: core-seconds until its end.
	Room float64 `json:"room_core_seconds"`
	// Useless reports that the job can no longer end in time to be of use.
	Useless bool `json:"useless,omitempty"`
	// Overdue reports that other jobs may no longer be preferred by their costs.
	Overdue bool `json:"overdue,omitempty"`
	// Served is the share of what its team asked for lately that it was given, 1 if it was
	// given at least an equal share of the pool.
	Served float64 `json:"served"`
}

// Density returns the value at risk by core-second of room.
func (c Cost) Density() float64 { return c.AtRisk / max(c.Room, minRoom) }

// minRoom avoids a division by zero for jobs that hold next to nothing, in core-seconds.
const minRoom = 0.001
