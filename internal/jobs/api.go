// Package jobs hosts the planner of a region: the planner lease and its epoch,
// the job index in the store, and the execution of decisions by agents. On
// entries that are not the planner it passes calls on to the planner.
package jobs

import (
	"context"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Service is what the HTTP API uses. All errors carry a result code; a code
// that says not run means that the job was not accepted.
type Service interface {
	// Submit records a checked job and returns its status. Submitting the same
	// job again returns its present status; another job under the same id is
	// result.JobConflict.
	Submit(ctx context.Context, job model.Job) (model.JobStatus, error)
	// Status returns the status of a job from the planner or, if the planner
	// does not answer, from the store.
	Status(ctx context.Context, id string) (model.JobStatus, error)
	// Cancel asks to cancel jobs and answers for each in order: Accepted,
	// UnknownJob, Forbidden, or OK for a job that has already ended. Team
	// restricts it to jobs of that team; empty for an operator.
	Cancel(ctx context.Context, ids []string, team string) ([]result.Code, error)
	// List returns jobs that have not ended and the planner's summary.
	List(ctx context.Context, team string, limit int) (wire.JobListReply, error)
	// WorkerOrder carries out drain, quarantine or release of a worker.
	WorkerOrder(ctx context.Context, worker, action string) error
}
