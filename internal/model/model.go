// Package model holds the types that several packages share: workers, shapes,
// teams, jobs and the configuration document. The HTTP API and the store use the
// JSON encoding of these types.
package model

import (
	"time"

	"snipegw/internal/jsonlist"
)

// Adjacency says how close the tasks of a gang must be to each other.
type Adjacency string

// Values of Adjacency, from the closest to the widest.
const (
	AdjacentHost          Adjacency = "host"
	AdjacentRack          Adjacency = "rack"
	AdjacentFailureDomain Adjacency = "failure_domain"
	AdjacentAny           Adjacency = "any"
)

// Class is the scheduling class of a job.
type Class string

// Values of Class. An urgent job is guaranteed and must start within
// UrgentStartDeadline.
const (
	ClassGuaranteed  Class = "guaranteed"
	ClassPreemptible Class = "preemptible"
	ClassUrgent      Class = "urgent"
)

// UrgentStartDeadline is the time, counted from submission, within which all tasks
// of an urgent job must start if the job is within its team's guarantee.
const UrgentStartDeadline = 4700 * time.Millisecond

// Resources is an amount of accelerators, processor cores and memory.
type Resources struct {
	Accelerators int `json:"accelerators" cbor:"1,keyasint,omitempty"`
	Cores        int `json:"cores" cbor:"2,keyasint,omitempty"`
	MemoryGB     int `json:"memory_gb" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.Cores + o.Cores, r.MemoryGB + o.MemoryGB}
}

// Sub returns the difference r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.Cores - o.Cores, r.MemoryGB - o.MemoryGB}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.Accelerators <= free.Accelerators && r.Cores <= free.Cores && r.MemoryGB <= free.MemoryGB
}

// Worker describes one host that runs tasks.
type Worker struct {
	ID            string    `json:"id" cbor:"1,keyasint"`
	Rack          string    `json:"rack" cbor:"2,keyasint"`
	FailureDomain string    `json:"failure_domain" cbor:"3,keyasint"`
	Region        string    `json:"region" cbor:"4,keyasint"`
	Capacity      Resources `json:"capacity" cbor:"5,keyasint"`
}

// Shape describes a gang: the number of its identical tasks, the resources of
// each and their adjacency. All accelerators of one task are on one worker.
type Shape struct {
	Tasks               int       `json:"tasks" cbor:"1,keyasint"`
	AcceleratorsPerTask int       `json:"accelerators_per_task" cbor:"2,keyasint,omitempty"`
	CoresPerTask        int       `json:"cores_per_task" cbor:"3,keyasint,omitempty"`
	MemoryGBPerTask     int       `json:"memory_gb_per_task" cbor:"4,keyasint,omitempty"`
	Adjacent            Adjacency `json:"adjacent" cbor:"5,keyasint"`
}

// PerTask returns the resources of one task.
func (s Shape) PerTask() Resources {
	return Resources{s.AcceleratorsPerTask, s.CoresPerTask, s.MemoryGBPerTask}
}

// Accelerators returns the accelerators of the whole gang.
func (s Shape) Accelerators() int { return s.Tasks * s.AcceleratorsPerTask }

// Guarantee is capacity that a team can claim at any time: Count gangs of the
// given shape.
type Guarantee struct {
	Count int `json:"count"`
	Shape
}

// Team is a tenant of the pool with its scheduling weight, guarantees,
// credentials and limits.
type Team struct {
	ID         string      `json:"id"`
	Weight     int         `json:"weight"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	// TokenHashes are the hexadecimal SHA-256 sums of the team's bearer tokens.
	TokenHashes []string `json:"token_hashes,omitempty"`
	// MaxRequests limits the concurrent requests of the team at one entry; 0
	// means no limit specific to the team.
	MaxRequests int `json:"max_requests,omitempty"`
	// MaxQueuedJobs limits the jobs of the team that have not ended; 0 selects
	// Limits.MaxQueuedJobs.
	MaxQueuedJobs int `json:"max_queued_jobs,omitempty"`
}

// Weights holds the weight of each placement objective, from 0 to 1.
type Weights struct {
	CompletionTime float64 `json:"completion_time"`
	Fragmentation  float64 `json:"fragmentation"`
}

// Limits holds the limits on what callers may send.
type Limits struct {
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxQueuedJobs limits the jobs of a team that have not ended, unless the team
	// sets a limit of its own.
	MaxQueuedJobs int `json:"max_queued_jobs"`
	// MaxQueuedRequests limits the requests that wait at one entry for a free slot
	// of one service.
	MaxQueuedRequests int `json:"max_queued_requests"`
	DefaultTimeoutMS  int `json:"default_timeout_ms"`
	MaxTimeoutMS      int `json:"max_timeout_ms"`
}

// PatchRecord is the history entry of one accepted patch.
type PatchRecord struct {
	ID      string    `json:"id"`
	Version uint64    `json:"version"`
	Time    time.Time `json:"time"`
	Author  string    `json:"author,omitempty"`
}

// Config is the configuration document. Each accepted patch increments Version
// by one.
type Config struct {
	Version             uint64        `json:"version"`
	Teams               []Team        `json:"teams"`
	Weights             Weights       `json:"weights"`
	Limits              Limits        `json:"limits"`
	OperatorTokenHashes []string      `json:"operator_token_hashes,omitempty"`
	Policy              string        `json:"policy,omitempty"`
	Patches             []PatchRecord `json:"patches,omitempty"`
}

// Team returns the team named id.
func (c *Config) Team(id string) (Team, bool) {
	for _, t := range c.Teams {
		if t.ID == id {
			return t, true
		}
	}
	return Team{}, false
}

// MaxCommandParts limits the parts of a command.
const MaxCommandParts = 256

// Command is the command of a job.
type Command []string

// UnmarshalJSON implements json.Unmarshaler. It decodes at most one part more than a command may have.
func (c *Command) UnmarshalJSON(data []byte) (err error) {
	*c, err = jsonlist.Decode[string](data, MaxCommandParts, nil)
	return err
}

// Job is a job as submitted by a caller. The scheduler treats declared values
// as hints.
type Job struct {
	ID    string `json:"id" cbor:"1,keyasint"`
	Team  string `json:"team" cbor:"2,keyasint"`
	Class Class  `json:"class" cbor:"3,keyasint"`
	Shape Shape  `json:"shape" cbor:"4,keyasint"`
	// DeclaredMS is the run time that the caller expects, in milliseconds.
	DeclaredMS int64 `json:"declared_ms,omitempty" cbor:"5,keyasint,omitempty"`
	// CheckpointIntervalMS is the checkpoint interval in milliseconds; 0 means that the
	// job takes no checkpoints and a stopped task loses all its work.
	CheckpointIntervalMS int64 `json:"checkpoint_ms,omitempty" cbor:"6,keyasint,omitempty"`
	// Command is passed unchanged to the platform's worker interface.
	Command Command `json:"command,omitempty" cbor:"7,keyasint,omitempty"`
	// SubmittedMS is the time of submission in Unix milliseconds.
	SubmittedMS int64 `json:"submitted_ms" cbor:"8,keyasint,omitempty"`
}

// JobState is the state of a job.
type JobState string

// States of a job. The last four are final. A parked job was accepted but does not
// fit on the workers that are currently usable; it waits until these change.
const (
	JobQueued    JobState = "queued"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobStopping  JobState = "stopping"
	JobParked    JobState = "parked"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
	JobFailed    JobState = "failed"
	JobRefused   JobState = "refused"
)

// Final reports whether a job in state s never changes again.
func (s JobState) Final() bool {
	switch s {
	case JobDone, JobCancelled, JobFailed, JobRefused:
		return true
	}
	return false
}

// JobStatus is the current state of a job and of its latest attempt.
type JobStatus struct {
	Job     Job      `json:"job" cbor:"1,keyasint"`
	State   JobState `json:"state" cbor:"2,keyasint"`
	Attempt uint64   `json:"attempt" cbor:"3,keyasint,omitempty"`
	// Workers holds the worker of each task, indexed by rank, while the job is
	// starting or running.
	Workers []string `json:"workers,omitempty" cbor:"4,keyasint,omitempty"`
	Reason  Reason   `json:"reason" cbor:"5,keyasint"`
	// StartedMS, EndedMS and UpdatedMS are in Unix milliseconds; 0 means that the
	// event has not happened.
	StartedMS int64 `json:"started_ms,omitempty" cbor:"6,keyasint,omitempty"`
	EndedMS   int64 `json:"ended_ms,omitempty" cbor:"7,keyasint,omitempty"`
	UpdatedMS int64 `json:"updated_ms" cbor:"8,keyasint,omitempty"`
	// CancelRequested is set once a caller has requested cancellation.
	CancelRequested bool `json:"cancel,omitempty" cbor:"9,keyasint,omitempty"`
	// CheckpointedMS is the work preserved by checkpoints, in milliseconds of run
	// time.
	CheckpointedMS int64 `json:"work_done_ms,omitempty" cbor:"10,keyasint,omitempty"`
}

// Reason explains the current state of a job in one sentence, with details in
// Fields.
type Reason struct {
	// Rule is the stable name of the scheduling rule that led to the state, such
	// as "placed", "waiting_for_capacity", "preempted_by_guarantee" or
	// "impossible_shape".
	Rule     string            `json:"rule" cbor:"1,keyasint"`
	Sentence string            `json:"sentence" cbor:"2,keyasint"`
	Fields   map[string]string `json:"fields,omitempty" cbor:"3,keyasint,omitempty"`
}
