package wire

import (
	"snipegw/internal/model"
	"snipegw/internal/result"
)

// JobSubmit passes a validated job to the planner.
type JobSubmit struct {
	Job model.Job `cbor:"1,keyasint"`
}

// JobQuery asks for the status of a job.
type JobQuery struct {
	ID string `cbor:"1,keyasint"`
}

// JobReply carries the status of a job.
type JobReply struct {
	Status model.JobStatus `cbor:"1,keyasint"`
}

// JobCancel requests the cancellation of jobs. A non-empty Team restricts it to
// jobs of that team; it is empty for requests of an operator.
type JobCancel struct {
	IDs  []string `cbor:"1,keyasint"`
	Team string   `cbor:"2,keyasint,omitempty"`
}

// JobCancelReply holds one result code for each id of the JobCancel, in the same
// order.
type JobCancelReply struct {
	Codes []result.Code `cbor:"1,keyasint"`
}

// JobListQuery asks for at most Limit jobs that have not ended. A non-empty Team
// restricts it to jobs of that team.
type JobListQuery struct {
	Team  string `cbor:"1,keyasint,omitempty"`
	Limit int    `cbor:"2,keyasint"`
}

// JobListReply carries job states, the teams whose guarantees do not fit into
// the current pool, and the epoch of the planner.
type JobListReply struct {
	Jobs          []model.JobStatus `cbor:"1,keyasint,omitempty"`
	UnpackedTeams []string          `cbor:"2,keyasint,omitempty"`
	Epoch         uint64            `cbor:"3,keyasint,omitempty"`
}

// PlannerOrder passes an operator's order for a worker to the planner.
type PlannerOrder struct {
	Worker string `cbor:"1,keyasint"`
	Action string `cbor:"2,keyasint"` // drain, quarantine, release
}
