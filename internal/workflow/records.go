package workflow

import (
	"fmt"
	"strings"

	"snipegw/internal/kernel"
	"snipegw/internal/wire"
)

// Prefix is the key prefix of all records of snipegw in the store.
const Prefix = "snipegw/"

// Prefixes and keys of the records.
const (
	JobPrefix      = Prefix + "jobs/"
	CancelPrefix   = Prefix + "cancels/"
	ProgressPrefix = Prefix + "runs/"
	AgentPrefix    = Prefix + "agents/"
	EntryPrefix    = Prefix + "entries/"
	// HolderPrefix is followed by the address of an entry that has been planner.
	HolderPrefix = Prefix + "planners/"
	// LeasePrefix is followed by the name of a node. See LeaseRecord.
	LeasePrefix = Prefix + "leases/"
	PlannerKey  = Prefix + "planner"
)

// JobRecord is an accepted job, which is never changed after it was written, or the
// closing of a job id, which has ClosedMS and Nonce only. A closed id has no job, and
// writes of an acceptance that are still under way find its key taken. A later
// acceptance replaces the closing under its revision.
type JobRecord struct {
	Job
	Queue string `cbor:"20,keyasint"`
	Team  string `cbor:"21,keyasint,omitempty"`
	// AcceptedMS is the time of acceptance in Unix milliseconds.
	AcceptedMS int64 `cbor:"22,keyasint"`
	// The following fields are copied from the queue at the time of acceptance.
	// Service, Priority and MaxAttempts apply only if a later configuration no longer
	// has the queue; SlackFactor and TargetMS always apply.
	Service     string  `cbor:"23,keyasint"`
	Priority    int     `cbor:"24,keyasint,omitempty"`
	MaxAttempts int     `cbor:"25,keyasint,omitempty"`
	SlackFactor float64 `cbor:"26,keyasint,omitempty"`
	TargetMS    int64   `cbor:"27,keyasint,omitempty"`
	// Nonce distinguishes two acceptances, or closings, of the same job id.
	Nonce uint64 `cbor:"28,keyasint"`
	// ClosedMS is the time at which the id was closed in Unix milliseconds; 0 for a job.
	ClosedMS int64 `cbor:"29,keyasint,omitempty"`
}

// IsClosing reports whether the record closes its id instead of describing a job.
func (r *JobRecord) IsClosing() bool { return r.ClosedMS != 0 }

// Progress is the planner's record of a job.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// EndedMS is the time of day at which the job reached a terminal state, in Unix
	// milliseconds; 0 before. It is for people only, see EndedClockMS.
	EndedMS int64          `cbor:"2,keyasint,omitempty"`
	Units   []UnitProgress `cbor:"3,keyasint,omitempty"`
	// Seq differs between any two versions of the record.
	Seq uint64 `cbor:"4,keyasint"`
	// Crashes counts the crashes of workers under the items that have met any.
	Crashes []ItemCrashes `cbor:"5,keyasint,omitempty"`
	// GivenUp reports that an item has crashed too many workers.
	GivenUp bool `cbor:"6,keyasint,omitempty"`
	// Begun reports that a worker has begun an item. The state is active from the decision to
	// start one, which may never take effect.
	Begun bool `cbor:"7,keyasint,omitempty"`
	// EndedClockMS is the reading of the planners' retention clock at the decision on the end, in
	// milliseconds; 0 before, and in records of earlier versions.
	EndedClockMS int64 `cbor:"8,keyasint,omitempty"`
}

// IsQueued reports whether a job with the progress record p, nil before the first, counts as
// queued: it is open and no worker has begun an item.
func (p *Progress) IsQueued() bool { return p == nil || !p.Begun && !p.State.Terminal() }

// ItemCrashes counts the crashes of workers under one item. It is encoded as an array: the
// order of its fields must not change.
type ItemCrashes struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int // of the item within the step
	AtStart    int // crashes soon after the item's start, since a run last survived it
	Total      int
	Lapsed     int // runs that ended with the lease of a worker of which no more is known
}

// UnitProgress is the progress of a unit, which is a gang or a single item. It
// is encoded as an array: the order of its fields must not change.
type UnitProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	First      int // index of the first item
	Run        int // number of the latest run
	Failed     int // number of failed runs
	Done       bool
	Checkpoint string
	Members    []MemberProgress // items of the latest run while it may still be running
}

// MemberProgress is one item of a run. It is encoded as an array: the order of its
// fields must not change.
type MemberProgress struct {
	_      struct{} `cbor:",toarray"`
	Worker string   // as returned by WorkerKey
	End    End      // empty while the item may be running
}

// PlannerRecord names the entry that is the planner. The revision of its key is
// the planner's epoch.
type PlannerRecord struct {
	Entry   string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// KeepsSuspensions reports that the entry keeps the promise of LeaseRecord. Earlier versions do
	// not know it.
	KeepsSuspensions bool `cbor:"3,keyasint,omitempty"`
}

// LeaseRecord says whether the lease of the worker on a node is suspended: no planner up to the
// present one extends it from before the record was written until another one replaces it.
type LeaseRecord struct {
	Suspended bool `cbor:"1,keyasint,omitempty"`
}

// ProcessRecord holds the addresses of an agent or an entry.
type ProcessRecord struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"` // failure domain
	// Debug is the address of the state dump and the metrics; empty if there is
	// none.
	Debug string `cbor:"3,keyasint,omitempty"`
	// Process differs between any two processes of an agent.
	Process uint64 `cbor:"4,keyasint,omitempty"`
	// Stopped reports that the agent has stopped and passes no lease on to its worker any more. No
	// other process of the agent does before it has replaced the record.
	Stopped bool `cbor:"5,keyasint,omitempty"`
}

// WorkerKey returns the key of an incarnation of the worker on a node. It uses the
// start time, which distinguishes incarnations even before the agent knows the
// instance id, and the instance id only if the start time is 0 (unknown).
func WorkerKey(node, instance string, startedMS int64) string {
	if startedMS != 0 {
		return fmt.Sprintf("%s|%d", node, startedMS)
	}
	return node + "|" + instance
}

// NodeOf returns the node part of a key made by WorkerKey.
func NodeOf(key string) string {
	node, _, _ := strings.Cut(key, "|")
	return node
}

// Encode returns the stored form of a record. It panics if the record cannot be
// encoded.
func Encode(v any) []byte {
	data, err := wire.Marshal(v)
	if err != nil {
		panic(err) // unreachable: records are encodable and within limits checked before
	}
	return data
}

// Decode decodes a stored record.
func Decode[T any](data []byte) (*T, error) {
	v := new(T)
	if err := wire.Unmarshal(data, v); err != nil {
		return nil, err
	}
	return v, nil
}

// IDOfKey returns the id of the record at a key: what follows the prefix of its kind. The id of
// a key with further path elements, which another writer may have written, has slashes and is
// that of no job or process.
func IDOfKey(key string) string {
	_, id, _ := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	return id
}

// Limits of the ids of jobs and of the names of processes.
const (
	maxJobIDBytes   = 64
	maxProcessBytes = 200
)

// DecodeJob decodes the record of the job with the given id, or its closing. It fails if the record
// describes no job that can be planned. Workers name items by the id and dots.
func DecodeJob(id string, data []byte) (*JobRecord, error) {
	if id == "" || len(id) > maxJobIDBytes || strings.ContainsFunc(id, func(c rune) bool { return !isLetterOrDigit(c) && c != '-' && c != '_' }) {
		return nil, fmt.Errorf("%.80q is no job id", id)
	}
	r, err := Decode[JobRecord](data)
	if err == nil && !r.IsClosing() {
		err = r.Validate()
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

func isLetterOrDigit(c rune) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func validateProcessName(name string) error {
	if name == "" || len(name) > maxProcessBytes || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' || c == '|' }) {
		return fmt.Errorf("%.80q is no name of a process", name)
	}
	return nil
}

// DecodeProcess decodes the record of the process with the given name. It fails if the record
// describes no process that can be called. WorkerKey separates the name by a bar.
func DecodeProcess(name string, data []byte) (*ProcessRecord, error) {
	if err := validateProcessName(name); err != nil {
		return nil, err
	}
	r, err := Decode[ProcessRecord](data)
	if err != nil {
		return nil, err
	}
	if len(r.Zone) > MaxFailureDomainBytes {
		return nil, fmt.Errorf("zone of %d bytes exceeds %d", len(r.Zone), MaxFailureDomainBytes)
	}
	if err := ValidateAddress(r.Address); err != nil {
		return nil, err
	}
	if ValidateAddress(r.Debug) != nil {
		r.Debug = "" // only operators use it
	}
	return r, nil
}

// DecodeLease decodes the record of the lease of the worker on a node.
func DecodeLease(node string, data []byte) (*LeaseRecord, error) {
	if err := validateProcessName(node); err != nil {
		return nil, err
	}
	return Decode[LeaseRecord](data)
}

// ReportUnreadable reports a record that is ignored since it cannot be decoded or is invalid.
func ReportUnreadable(key string, err error) {
	kernel.Rejections.Report("record_unreadable", "record", key, err, "record cannot be decoded or is invalid, and is ignored")
}
