package wire

import "snipegw/internal/model"

// Order is the fencing header of every order that a planner sends to an agent:
// the epoch of the planner and the incarnation of the addressed agent.
type Order struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// Reserve asks an agent to reserve resources for one or more tasks of a gang.
// The reservation expires after TTLMS milliseconds unless the gang starts.
type Reserve struct {
	Order   Order           `cbor:"1,keyasint"`
	Job     string          `cbor:"2,keyasint"`
	Attempt uint64          `cbor:"3,keyasint"`
	Ranks   []int           `cbor:"4,keyasint"`
	PerTask model.Resources `cbor:"5,keyasint"`
	TTLMS   int64           `cbor:"6,keyasint"`
	// Probe marks the reservation of a probe, which a quarantined worker accepts.
	Probe bool `cbor:"7,keyasint,omitempty"`
}

// Release asks an agent to drop its reservation for a gang that has not started.
type Release struct {
	Order   Order  `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
	Attempt uint64 `cbor:"3,keyasint"`
}

// Member is one agent of a gang with the ranks of the tasks that it runs.
type Member struct {
	Worker      string `cbor:"1,keyasint" json:"worker"`
	Address     string `cbor:"2,keyasint" json:"address"`
	Incarnation string `cbor:"3,keyasint" json:"incarnation"`
	Ranks       []int  `cbor:"4,keyasint" json:"ranks"`
}

// StartGang passes a gang whose resources are all reserved to its supervisor,
// the agent of the first member.
type StartGang struct {
	Order   Order     `cbor:"1,keyasint"`
	Job     model.Job `cbor:"2,keyasint"`
	Attempt uint64    `cbor:"3,keyasint"`
	Members []Member  `cbor:"4,keyasint"`
	// ResumeMS is the work preserved by checkpoints of earlier attempts, in
	// milliseconds of run time.
	ResumeMS int64 `cbor:"5,keyasint,omitempty"`
}

// StopGang asks the supervisor, or any member, to checkpoint and stop a gang
// within a grace period of GraceMS milliseconds.
type StopGang struct {
	Order   Order  `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
	Attempt uint64 `cbor:"3,keyasint"`
	GraceMS int64  `cbor:"4,keyasint"`
	Reason  string `cbor:"5,keyasint,omitempty"`
}

// WorkerOrder changes whether a worker accepts work.
type WorkerOrder struct {
	Order Order `cbor:"1,keyasint"`
	// Action is drain, quarantine or release.
	Action string `cbor:"2,keyasint"`
}

// GangOrder is a message of the supervisor to a member. KindArm uses Members, Spec
// and ResumeMS, KindRenew uses LeaseMS and Committed, KindAbort uses GraceMS and
// Reason. LeaseMS is the lease duration of the gang in milliseconds, and 0 does not
// extend the lease. GraceMS is the grace period in milliseconds.
type GangOrder struct {
	Job     string    `cbor:"1,keyasint"`
	Attempt uint64    `cbor:"2,keyasint"`
	Term    uint64    `cbor:"3,keyasint"` // supervisor term, fences earlier supervisors
	Members []Member  `cbor:"4,keyasint,omitempty"`
	Spec    model.Job `cbor:"5,keyasint,omitempty"`
	LeaseMS int64     `cbor:"6,keyasint,omitempty"`
	GraceMS int64     `cbor:"7,keyasint,omitempty"`
	Reason  string    `cbor:"8,keyasint,omitempty"`
	// Incarnation is the incarnation of the addressed member.
	Incarnation string `cbor:"9,keyasint,omitempty"`
	// ResumeMS has the meaning of StartGang.ResumeMS.
	ResumeMS int64 `cbor:"10,keyasint,omitempty"`
	// Committed tells a member that every task of the gang has started.
	Committed bool `cbor:"11,keyasint,omitempty"`
}

// TaskReport is the state of one task of a gang. WorkMS is the work done, CheckpointedMS
// the part of it preserved by checkpoints, both in milliseconds of run time.
type TaskReport struct {
	Rank           int     `cbor:"1,keyasint" json:"rank"`
	State          string  `cbor:"2,keyasint" json:"state"`
	Reason         string  `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
	WorkMS         int64   `cbor:"4,keyasint,omitempty" json:"work_ms,omitempty"`
	CheckpointedMS int64   `cbor:"5,keyasint,omitempty" json:"kept_ms,omitempty"`
	PeakMemoryGB   float64 `cbor:"6,keyasint,omitempty" json:"peak_memory_gb,omitempty"`
}

// MemberReport is the reply of a member to its supervisor.
type MemberReport struct {
	Worker string       `cbor:"1,keyasint"`
	Tasks  []TaskReport `cbor:"2,keyasint"`
	// Handover is set while the agent performs a planned restart.
	Handover bool `cbor:"3,keyasint,omitempty"`
}

// Handover announces the planned restart of a member's agent. The successor
// process must take over within WindowMS milliseconds.
type Handover struct {
	Job      string `cbor:"1,keyasint"`
	Attempt  uint64 `cbor:"2,keyasint"`
	Worker   string `cbor:"3,keyasint"`
	WindowMS int64  `cbor:"4,keyasint"`
}

// GangEvent reports a change in the state of a gang. The agent of the supervisor
// repeats it in heartbeats until the entry passes on the planner's
// acknowledgement.
type GangEvent struct {
	Seq     uint64 `cbor:"1,keyasint" json:"seq"`
	Job     string `cbor:"2,keyasint" json:"job"`
	Attempt uint64 `cbor:"3,keyasint" json:"attempt"`
	// Outcome is "running" or an outcome defined in package framework.
	Outcome      string `cbor:"4,keyasint" json:"outcome"`
	BlamedWorker string `cbor:"5,keyasint,omitempty" json:"blamed_worker,omitempty"`
	// CheckpointedMS is the work preserved by checkpoints, in milliseconds of run time. It is
	// the lowest value of all tasks, since a gang resumes from the earliest checkpoint.
	CheckpointedMS int64 `cbor:"6,keyasint,omitempty" json:"kept_ms,omitempty"`
	// PeakMemoryGB is the highest value of all tasks.
	PeakMemoryGB float64 `cbor:"7,keyasint,omitempty" json:"peak_memory_gb,omitempty"`
	Message      string  `cbor:"8,keyasint,omitempty" json:"message,omitempty"`
	// AtMS is the time of the event in Unix milliseconds.
	AtMS int64 `cbor:"9,keyasint" json:"at_ms"`
}
