package wire

import "snipegw/internal/model"

// Order is the part that all orders of a planner share.
type Order struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// Reserve asks an agent to hold resources for one or more tasks of a gang.
type Reserve struct {
	Order    Order           `cbor:"1,keyasint"`
	Job      string          `cbor:"2,keyasint"`
	Attempt  uint64          `cbor:"3,keyasint"`
	Ranks    []int           `cbor:"4,keyasint"`
	PerTask  model.Resources `cbor:"5,keyasint"`
	ExpiryMS int64           `cbor:"6,keyasint"`
	// AllowedWhileQuarantined is set for a probe.
	Probe bool `cbor:"7,keyasint,omitempty"`
}

// Release drops a reservation that has not been started.
type Release struct {
	Order   Order  `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
	Attempt uint64 `cbor:"3,keyasint"`
}

// Member is one agent of a gang.
type Member struct {
	Worker      string `cbor:"1,keyasint" json:"worker"`
	Address     string `cbor:"2,keyasint" json:"address"`
	Incarnation string `cbor:"3,keyasint" json:"incarnation"`
	Ranks       []int  `cbor:"4,keyasint" json:"ranks"`
}

// StartGang hands a fully reserved gang to its supervisor, the first member.
type StartGang struct {
	Order   Order     `cbor:"1,keyasint"`
	Job     model.Job `cbor:"2,keyasint"`
	Attempt uint64    `cbor:"3,keyasint"`
	Members []Member  `cbor:"4,keyasint"`
	// ResumeMS is the run time preserved by earlier checkpoints.
	ResumeMS int64 `cbor:"5,keyasint,omitempty"`
}

// StopGang asks the supervisor, or any member, to checkpoint and stop a gang.
type StopGang struct {
	Order   Order  `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
	Attempt uint64 `cbor:"3,keyasint"`
	GraceMS int64  `cbor:"4,keyasint"`
	Reason  string `cbor:"5,keyasint,omitempty"`
}

// WorkerOrder changes the use of a worker.
type WorkerOrder struct {
	Order Order `cbor:"1,keyasint"`
	// Action is drain, quarantine or release.
	Action string `cbor:"2,keyasint"`
}

// GangOrder is a message of the supervisor to a member.
type GangOrder struct {
	Job     string    `cbor:"1,keyasint"`
	Attempt uint64    `cbor:"2,keyasint"`
	Term    uint64    `cbor:"3,keyasint"` // term of the supervisor
	Members []Member  `cbor:"4,keyasint,omitempty"`
	Spec    model.Job `cbor:"5,keyasint,omitempty"`
	LeaseMS int64     `cbor:"6,keyasint,omitempty"`
	GraceMS int64     `cbor:"7,keyasint,omitempty"`
	Reason  string    `cbor:"8,keyasint,omitempty"`
	// Incarnation is the incarnation of the member that is addressed.
	Incarnation string `cbor:"9,keyasint,omitempty"`
	ResumeMS    int64  `cbor:"10,keyasint,omitempty"`
	// Committed tells a member that every task of the gang has started.
	Committed bool `cbor:"11,keyasint,omitempty"`
}

// TaskReport is the state of one task of a gang.
type TaskReport struct {
	Rank         int     `cbor:"1,keyasint" json:"rank"`
	State        string  `cbor:"2,keyasint" json:"state"`
	Reason       string  `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
	WorkMS       int64   `cbor:"4,keyasint,omitempty" json:"work_ms,omitempty"`
	KeptMS       int64   `cbor:"5,keyasint,omitempty" json:"kept_ms,omitempty"`
	PeakMemoryGB float64 `cbor:"6,keyasint,omitempty" json:"peak_memory_gb,omitempty"`
}

// MemberReport is a member's answer to its supervisor.
type MemberReport struct {
	Worker string       `cbor:"1,keyasint"`
	Tasks  []TaskReport `cbor:"2,keyasint"`
	// Handover is set while the agent restarts as planned.
	Handover bool `cbor:"3,keyasint,omitempty"`
}

// Handover announces the planned restart of a member's agent.
type Handover struct {
	Job      string `cbor:"1,keyasint"`
	Attempt  uint64 `cbor:"2,keyasint"`
	Worker   string `cbor:"3,keyasint"`
	WindowMS int64  `cbor:"4,keyasint"`
}

// GangEvent reports the progress of a gang. The supervisor repeats it in
// heartbeats until the planner acknowledges it through the entry.
type GangEvent struct {
	Seq     uint64 `cbor:"1,keyasint" json:"seq"`
	Job     string `cbor:"2,keyasint" json:"job"`
	Attempt uint64 `cbor:"3,keyasint" json:"attempt"`
	// Outcome is running or one of the outcomes of the planner's framework.
	Outcome      string  `cbor:"4,keyasint" json:"outcome"`
	BlamedWorker string  `cbor:"5,keyasint,omitempty" json:"blamed_worker,omitempty"`
	KeptMS       int64   `cbor:"6,keyasint,omitempty" json:"kept_ms,omitempty"`
	PeakMemoryGB float64 `cbor:"7,keyasint,omitempty" json:"peak_memory_gb,omitempty"`
	Message      string  `cbor:"8,keyasint,omitempty" json:"message,omitempty"`
	AtMS         int64   `cbor:"9,keyasint" json:"at_ms"`
}
