// Package jobs runs the planner of a region. It holds the planner lease and its
// epoch, keeps the job index in the store, and has agents carry out the
// scheduler's decisions. On entries that are not the planner it forwards calls
// to the planner.
package jobs

import (
	"context"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Service is the interface to jobs for the HTTP API. Every error carries a
// result code; a code for which Code.NotRun is true means that the job was not
// accepted.
type Service interface {
	// Submit records a validated job and returns its status. Submitting the same
	// job again returns its current status; submitting a different job under the
	// same id fails with result.JobConflict.
	Submit(ctx context.Context, job model.Job) (model.JobStatus, error)
	// Status returns the status of a job from the planner, or from the store if
	// the planner does not answer.
	Status(ctx context.Context, id string) (model.JobStatus, error)
	// Cancel requests the cancellation of jobs. It returns one code for each id,
	// in order: Accepted, UnknownJob, Forbidden, or OK for a job that has already
	// ended; OutcomeUnknown or NoPlanner if the planner could not confirm it. A
	// caller may cancel only jobs of its team; an empty team stands for an
	// operator, who may cancel all.
	Cancel(ctx context.Context, ids []string, team string) ([]result.Code, error)
	// List returns up to limit jobs of a team that have not ended, the oldest
	// first, with the planner's epoch and the teams whose guarantees do not pack.
	// An empty team stands for all teams.
	List(ctx context.Context, team string, limit int) (wire.JobListReply, error)
	// WorkerOrder drains, quarantines or releases a worker. The action is "drain",
	// "quarantine" or "release"; any other one fails with result.BadRequest, and an
	// unknown worker with result.UnknownWorker.
	WorkerOrder(ctx context.Context, worker, action string) error
}
