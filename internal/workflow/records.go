package workflow

import (
	"fmt"
	"strings"

	"snipegw/internal/wire"
)

// Prefix is that of all records of the project in the store.
const Prefix = "snipegw/"

// Prefixes and keys of the records.
const (
	JobPrefix    = Prefix + "jobs/"
	CancelPrefix = Prefix + "cancels/"
	RunPrefix    = Prefix + "runs/"
	AgentPrefix  = Prefix + "agents/"
	EntryPrefix  = Prefix + "entries/"
	PlannerKey   = Prefix + "planner"
)

// JobRecord is an accepted job. It never changes.
type JobRecord struct {
	Job
	Queue string `cbor:"20,keyasint"`
	Team  string `cbor:"21,keyasint,omitempty"`
	// AcceptedMS is the Unix time of acceptance in milliseconds.
	AcceptedMS int64 `cbor:"22,keyasint"`
	// The following are those of the queue at the time of acceptance, for use
	// when a later configuration no longer has the queue.
	Service     string  `cbor:"23,keyasint"`
	Priority    int     `cbor:"24,keyasint,omitempty"`
	MaxAttempts int     `cbor:"25,keyasint,omitempty"`
	SlackFactor float64 `cbor:"26,keyasint,omitempty"`
	TargetMS    int64   `cbor:"27,keyasint,omitempty"`
	// Nonce tells acceptances of the same id apart.
	Nonce uint64 `cbor:"28,keyasint"`
}

// Progress is the planner's record of a job.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// EndedMS is the Unix time of a terminal state in milliseconds.
	EndedMS int64          `cbor:"2,keyasint,omitempty"`
	Units   []UnitProgress `cbor:"3,keyasint,omitempty"`
	// Seq makes every version of the record different.
	Seq uint64 `cbor:"4,keyasint"`
}

// UnitProgress is the progress of a unit, which is a gang or a single item.
type UnitProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	First      int // index of the first item
	Run        int // number of the latest run
	Failed     int // number of failed runs
	Done       bool
	Checkpoint string
	Members    []MemberProgress // of the latest run, if it may still be running
}

// MemberProgress is one item of a run.
type MemberProgress struct {
	_      struct{} `cbor:",toarray"`
	Worker string   // of WorkerKey
	End    End      // empty while it may be running
}

// PlannerRecord names the planner. The revision of its key is the epoch.
type PlannerRecord struct {
	Entry   string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// ProcessRecord is where an agent or an entry takes calls.
type ProcessRecord struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	// Debug is the address of the dump and the metrics, empty if there is none.
	Debug string `cbor:"3,keyasint,omitempty"`
}

// WorkerKey names an incarnation of the worker at a node. The time of birth tells
// incarnations apart even where the agent does not know the instance's id yet.
func WorkerKey(node, instance string, born int64) string {
	if born != 0 {
		return fmt.Sprintf("%s|%d", node, born)
	}
	return node + "|" + instance
}

// NodeOf returns the node of a WorkerKey.
func NodeOf(key string) string {
	node, _, _ := strings.Cut(key, "|")
	return node
}

// Encode returns the stored form of a record.
func Encode(v any) []byte {
	data, err := wire.Marshal(v)
	if err != nil {
		panic(err) // records hold only types that can be encoded, within bounds checked before
	}
	return data
}

// Decode reads a stored record.
func Decode[T any](data []byte) (*T, error) {
	v := new(T)
	if err := wire.Unmarshal(data, v); err != nil {
		return nil, err
	}
	return v, nil
}

// IDOf returns the last part of a key.
func IDOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }
