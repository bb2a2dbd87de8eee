// Package framework defines the interface between a scheduling policy and its
// caller: the planner of a region (internal/jobs) or the replay tool
// (internal/replay). A policy does no I/O, starts no goroutine and reads no clock.
// Its methods are not safe for concurrent use.
package framework

import (
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
)

// Scheduler decides where and when jobs run.
//
// The caller reports every change through the event methods and then calls
// Decide repeatedly until it returns no decisions. The policy updates its own
// state as if every returned decision were already carried out; the caller
// reports the outcome by GangStarted or GangEnded.
type Scheduler interface {
	// SetTeams replaces the teams and their guarantees.
	SetTeams(now time.Time, teams []model.Team)
	// SetWeights replaces the weights of the placement objectives.
	SetWeights(w model.Weights)
	// AddWorker adds a worker or marks a known one as up again.
	AddWorker(now time.Time, w model.Worker)
	// RemoveWorker marks a worker as down. The caller ends every gang with a task
	// on it by GangEnded with OutcomeLost.
	RemoveWorker(now time.Time, id string)
	// DrainWorker forbids (on) or allows (off) new placements on a worker.
	DrainWorker(now time.Time, id string, on bool)
	// ReleaseWorker ends the quarantine or probe of a worker at the request of an
	// operator.
	ReleaseWorker(now time.Time, id string)
	// Submit adds a job. The job waits until Decide returns Place, Refuse or Park
	// for it.
	Submit(now time.Time, job model.Job)
	// Restore adds a job that already runs on the given workers, by rank. It is
	// called before the first Decide when a new planner takes over.
	Restore(now time.Time, job model.Job, attempt uint64, workers []string, started time.Time)
	// Cancel removes a job. If it runs, Decide returns Stop for it.
	Cancel(now time.Time, id string)
	// GangStarted reports that all tasks of the attempt are running.
	GangStarted(now time.Time, id string, attempt uint64)
	// GangEnded reports the end of an attempt.
	GangEnded(now time.Time, id string, end AttemptEnd)
	// Decide returns the next decisions. An empty result means that there is
	// nothing to do before the next event or NextWake.
	Decide(now time.Time) []Decision
	// NextWake returns when Decide should be called without an event; the zero
	// time means never.
	NextWake() time.Time
	// Explain returns the reason for the current state of a job, and false if the
	// job is unknown or has ended.
	Explain(id string) (model.Reason, bool)
	// UnpackedTeams returns the sorted ids of the teams with guarantees that no
	// running job uses and that currently have no place in the healthy pool.
	UnpackedTeams() []string
}

// Outcome says how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeDone: all tasks succeeded.
	OutcomeDone Outcome = "done"
	// OutcomeStopped: all tasks stopped after a Stop decision.
	OutcomeStopped Outcome = "stopped"
	// OutcomeStartFailed: a task failed soon after its start on the blamed
	// worker.
	OutcomeStartFailed Outcome = "start_failed"
	// OutcomeTaskFailed: a task failed after it had started and run.
	OutcomeTaskFailed Outcome = "task_failed"
	// OutcomeLost: a worker or an agent was lost.
	OutcomeLost Outcome = "lost"
	// OutcomeNotStarted: a worker refused the reservation or the start; no task ran.
	OutcomeNotStarted Outcome = "not_started"
	// OutcomeOutOfMemory: a task used more memory than was declared.
	OutcomeOutOfMemory Outcome = "out_of_memory"
)

// AttemptEnd describes how one attempt ended.
type AttemptEnd struct {
	Attempt uint64
	Outcome Outcome
	// BlamedWorker is the worker on which a task failed; empty if none.
	BlamedWorker string
	// PreservedRunTime is the run time preserved by checkpoints over all attempts.
	PreservedRunTime time.Duration
	// PeakMemoryGB is the highest memory use reported for one task; 0 if unknown.
	PeakMemoryGB float64
}

// DecisionKind is the kind of a decision.
type DecisionKind string

// Kinds of decisions.
const (
	// Place starts a gang at Workers, by rank, as attempt Attempt.
	Place DecisionKind = "place"
	// Stop checkpoints and stops a running attempt. The job returns to the queue
	// unless it was cancelled.
	Stop DecisionKind = "stop"
	// Refuse ends a job that can never run.
	Refuse DecisionKind = "refuse"
	// Fail ends a job whose failures are its own fault, such as a task that used more
	// memory than was declared.
	Fail DecisionKind = "fail"
	// Park keeps a job queued that does not fit the workers usable at present.
	Park DecisionKind = "park"
	// Quarantine takes a worker out of use.
	Quarantine DecisionKind = "quarantine"
	// Probe returns a quarantined worker to use. Unless a faulty job explains its
	// failures, the worker takes one preemptible job at a time until one has proven it
	// healthy.
	Probe DecisionKind = "probe"
)

// Decision is one action for the caller to carry out, with the reason for it.
// The caller also logs it and shows the reason to users.
type Decision struct {
	Kind    DecisionKind
	Job     string
	Worker  string // for Quarantine and Probe
	Attempt uint64
	Workers []string // for Place, by rank; a worker may occur several times
	Reason  model.Reason
	// Preemptible reports whether the gang may be preempted.
	Preemptible bool
	// Grace is the grace period in which a stopping task writes its checkpoint.
	Grace time.Duration
}

// Factory creates a policy.
type Factory func() Scheduler

// Policies holds the registered policies by name. The entry and the replay tool
// select one by its name.
var Policies = kernel.NewRegistry[Factory]("policy")
