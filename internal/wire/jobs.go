package wire

import (
	"snipegw/internal/model"
	"snipegw/internal/result"
)

// JobSubmit passes a checked job to the planner.
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

// JobCancel asks to cancel jobs. Team restricts it to jobs of that team; empty
// for an operator.
type JobCancel struct {
	IDs  []string `cbor:"1,keyasint"`
	Team string   `cbor:"2,keyasint,omitempty"`
}

// JobCancelReply answers for each id in order.
type JobCancelReply struct {
	Codes []result.Code `cbor:"1,keyasint"`
}

// JobListQuery asks for jobs that have not ended, at most Limit.
type JobListQuery struct {
	Team  string `cbor:"1,keyasint,omitempty"`
	Limit int    `cbor:"2,keyasint"`
}

// JobListReply carries job states and the summary of the planner.
type JobListReply struct {
	Jobs     []model.JobStatus `cbor:"1,keyasint,omitempty"`
	Unpacked []string          `cbor:"2,keyasint,omitempty"`
	Epoch    uint64            `cbor:"3,keyasint,omitempty"`
}

// PlannerOrder carries an operator's order on a worker to the planner.
type PlannerOrder struct {
	Worker string `cbor:"1,keyasint"`
	Action string `cbor:"2,keyasint"` // drain, quarantine, release
}
