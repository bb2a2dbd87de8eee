// Package framework defines the contract between a scheduling policy and its
// host. The host is the planner of a region (internal/jobs) or the replay tool
// (internal/replay). A policy is pure: it does no I/O, starts no goroutine and
// reads no clock. One goroutine calls it.
package framework

import (
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
)

// Scheduler decides where and when jobs run.
//
// The host reports every change through the event methods and then calls
// Decide, repeatedly until it returns no decisions. Every decision returned by
// Decide is taken as carried out in the policy's own books at once; the host
// reports the outcome by GangStarted, GangEnded or GangStopped.
type Scheduler interface {
	// SetTeams replaces the teams and their guarantees.
	SetTeams(now time.Time, teams []model.Team)
	// SetWeights replaces the goals of placement.
	SetWeights(w model.Weights)
	// AddWorker adds a worker or marks a known one as up again.
	AddWorker(now time.Time, w model.Worker)
	// RemoveWorker marks a worker as down. Gangs with a task there are ended by
	// the host through GangEnded with OutcomeLost.
	RemoveWorker(now time.Time, id string)
	// DrainWorker forbids (on) or allows (off) new placements on a worker.
	DrainWorker(now time.Time, id string, on bool)
	// ReleaseWorker ends a quarantine that the scheduler has decided, on the
	// order of an operator.
	ReleaseWorker(now time.Time, id string)
	// Submit adds a job. The job is answered by a decision Place, Refuse or
	// Park, or it waits.
	Submit(now time.Time, job model.Job)
	// Restore adds a job that already runs at the given workers, by rank. It is
	// called after a change of planner, before the first Decide.
	Restore(now time.Time, job model.Job, attempt uint64, workers []string, started time.Time)
	// Cancel drops a job. A running one is answered by a decision Stop.
	Cancel(now time.Time, id string)
	// GangStarted reports that all tasks of the attempt run.
	GangStarted(now time.Time, id string, attempt uint64)
	// GangEnded reports the end of an attempt.
	GangEnded(now time.Time, id string, end End)
	// Decide returns the next decisions. An empty result means that nothing is
	// to be done before the next event or before NextWake.
	Decide(now time.Time) []Decision
	// NextWake returns when Decide should be called without an event; the zero
	// time means never.
	NextWake() time.Time
	// Explain returns the reason of the present state of a job that has not
	// ended.
	Explain(id string) (model.Reason, bool)
	// Unpacked returns the teams whose unclaimed guarantees do not pack into
	// the healthy pool at present.
	Unpacked() []string
}

// Outcome says how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeDone: all tasks ended with success.
	OutcomeDone Outcome = "done"
	// OutcomeStopped: all tasks stopped after a Stop decision.
	OutcomeStopped Outcome = "stopped"
	// OutcomeStartFailed: a task failed soon after its start on the blamed
	// worker.
	OutcomeStartFailed Outcome = "start_failed"
	// OutcomeTaskFailed: a task ended with a failure after it had run.
	OutcomeTaskFailed Outcome = "task_failed"
	// OutcomeLost: a worker or an agent was lost.
	OutcomeLost Outcome = "lost"
	// OutcomeNotStarted: the reservation or the start was refused; no task ran.
	OutcomeNotStarted Outcome = "not_started"
	// OutcomeOutOfMemory: a task used more memory than was declared.
	OutcomeOutOfMemory Outcome = "out_of_memory"
)

// End is the end of one attempt.
type End struct {
	Attempt uint64
	Outcome Outcome
	// BlamedWorker is the worker on which a task failed; empty if none.
	BlamedWorker string
	// WorkKept is the run time that checkpoints preserve, over all attempts.
	WorkKept time.Duration
	// PeakMemoryGB is the highest reported memory of one task; 0 if unknown.
	PeakMemoryGB float64
}

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	// Place starts a gang at Workers, by rank, as attempt Attempt.
	Place Kind = "place"
	// Stop checkpoints and stops a running attempt; the job waits again, unless
	// it was cancelled.
	Stop Kind = "stop"
	// Refuse ends a job that can never run.
	Refuse Kind = "refuse"
	// Fail ends a job that is at fault itself.
	Fail Kind = "fail"
	// Park keeps a job that cannot run on the present pool.
	Park Kind = "park"
	// Quarantine takes a worker out of use.
	Quarantine Kind = "quarantine"
	// Probe returns a quarantined worker to use, for one job at first.
	Probe Kind = "probe"
)

// Decision is a value with its reasons. The host executes it, logs it and
// serves it to explain.
type Decision struct {
	Kind    Kind
	Job     string
	Worker  string // for Quarantine and Probe
	Attempt uint64
	Workers []string // for Place, by rank; a worker may occur several times
	Reason  model.Reason
	// Preemptible says whether the placement may be reclaimed.
	Preemptible bool
	// Grace is the time that a stopped task has for its checkpoint.
	Grace time.Duration
}

// Factory makes a policy by the name under which it is registered.
type Factory func() Scheduler

// Policies holds the registered policies; the entry and the replay tool choose
// one by name.
var Policies = kernel.NewRegistry[Factory]("policy")
