package wire

import "snipegw/internal/model"

// ServiceState is the state of a backend server as observed by its agent. Slots is
// the number of requests that the backend server runs concurrently.
type ServiceState struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Slots   int    `cbor:"2,keyasint" json:"slots"`
	Leaving bool   `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
	Healthy bool   `cbor:"4,keyasint,omitempty" json:"healthy"`
}

// GangState is the state of a gang that has tasks on a worker.
type GangState struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Attempt    uint64 `cbor:"2,keyasint" json:"attempt"`
	State      string `cbor:"3,keyasint" json:"state"` // reserved, armed, running, stopping
	Ranks      []int  `cbor:"4,keyasint" json:"ranks"`
	Supervisor bool   `cbor:"5,keyasint,omitempty" json:"supervisor,omitempty"`
	// StartedMS is in Unix milliseconds; 0 means that the gang has not started
	// on the worker.
	StartedMS int64 `cbor:"6,keyasint,omitempty" json:"started_ms,omitempty"`
}

// WorkerState is the state of a worker as its agent reports it to the entries.
// Seq increases with every change within an incarnation. Incarnations compare
// as strings; a later process has the greater one (see NewIncarnation).
type WorkerState struct {
	Worker      model.Worker   `cbor:"1,keyasint" json:"worker"`
	Incarnation string         `cbor:"2,keyasint" json:"incarnation"`
	Seq         uint64         `cbor:"3,keyasint" json:"seq"`
	Address     string         `cbor:"4,keyasint" json:"address"`
	Services    []ServiceState `cbor:"5,keyasint,omitempty" json:"services,omitempty"`
	Gangs       []GangState    `cbor:"6,keyasint,omitempty" json:"gangs,omitempty"`
	Draining    bool           `cbor:"7,keyasint,omitempty" json:"draining,omitempty"`
	Quarantined bool           `cbor:"8,keyasint,omitempty" json:"quarantined,omitempty"`
	// Stopping is set during a graceful stop of the agent.
	Stopping      bool   `cbor:"9,keyasint,omitempty" json:"stopping,omitempty"`
	ConfigVersion uint64 `cbor:"10,keyasint,omitempty" json:"config_version"`
	// Epoch is the highest planner epoch that the agent has seen.
	Epoch uint64 `cbor:"11,keyasint,omitempty" json:"epoch"`
}

// Heartbeat is sent by an agent to its home entry every second. State is nil if
// nothing has changed since the last acknowledged state.
type Heartbeat struct {
	Worker      string       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Seq         uint64       `cbor:"3,keyasint"`
	State       *WorkerState `cbor:"4,keyasint,omitempty"`
	Events      []GangEvent  `cbor:"5,keyasint,omitempty"`
	// FreeSlots is the number of further requests that the agent can admit now.
	FreeSlots int `cbor:"6,keyasint,omitempty"`
	// Leaving marks the last heartbeat of an agent that stops.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// EntriesHash is the HashEntries value of the agent's list of entries, 0 if it has
	// none.
	EntriesHash uint64 `cbor:"8,keyasint,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// NeedState asks for the full state, since the entry does not have the state
	// with the Seq of the heartbeat.
	NeedState     bool   `cbor:"1,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
	// AckedEventSeq is the Seq of the latest event that the planner has recorded.
	AckedEventSeq uint64 `cbor:"3,keyasint,omitempty"`
	// Entries lists the entries of the region. It is sent if their hash differs
	// from the EntriesHash of the heartbeat.
	Entries []EntryInfo `cbor:"4,keyasint,omitempty"`
}

// EntryInfo describes one entry in the directory of a region.
type EntryInfo struct {
	ID            string `cbor:"1,keyasint" json:"id"`
	Address       string `cbor:"2,keyasint" json:"address"`
	HTTPAddress   string `cbor:"3,keyasint,omitempty" json:"http_address,omitempty"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
	Region        string `cbor:"5,keyasint" json:"region"`
	Incarnation   string `cbor:"6,keyasint,omitempty" json:"incarnation"`
	// UpdatedMS is the time of the last renewal of the directory record, in Unix
	// milliseconds.
	UpdatedMS int64 `cbor:"7,keyasint,omitempty" json:"updated_ms"`
}

// ConfigFetch asks for the configuration if its version is newer than HaveVersion.
type ConfigFetch struct {
	HaveVersion uint64 `cbor:"1,keyasint"`
	// OmitHistory asks for the document without its patch history, which agents
	// do not use.
	OmitHistory bool `cbor:"2,keyasint,omitempty"`
}

// ConfigReply carries the configuration document as JSON. Document is empty if
// there is no newer version.
type ConfigReply struct {
	Version  uint64   `cbor:"1,keyasint"`
	Document Document `cbor:"2,keyasint,omitempty"`
}

// PeerUpdate passes worker states and gang events between entries of a region.
type PeerUpdate struct {
	From EntryInfo `cbor:"1,keyasint"`
	// Full is set if States holds all workers that report to From.
	Full   bool          `cbor:"2,keyasint,omitempty"`
	States []WorkerState `cbor:"3,keyasint,omitempty"`
	// Silent lists the workers that report to From and whose heartbeats are
	// overdue; all others that report to From are alive.
	Silent        []SilentWorker     `cbor:"4,keyasint,omitempty"`
	Events        []WorkerGangEvents `cbor:"5,keyasint,omitempty"`
	ConfigVersion uint64             `cbor:"6,keyasint,omitempty"`
	// Planner is set if From holds the planner lease.
	Planner bool `cbor:"7,keyasint,omitempty"`
	// PlannerEpoch is the epoch of the planner if Planner is set, otherwise the
	// highest epoch that From has seen.
	PlannerEpoch uint64 `cbor:"8,keyasint,omitempty"`
	// OwnWorkersHash is a hash of the ids of all workers that report to From. It lets
	// the receiver detect that it has a different set.
	OwnWorkersHash uint64 `cbor:"9,keyasint,omitempty"`
}

// SilentWorker is a worker whose heartbeats are overdue.
type SilentWorker struct {
	Worker string `cbor:"1,keyasint"`
	// AgeMS is the time since its last heartbeat in milliseconds.
	AgeMS int64 `cbor:"2,keyasint"`
}

// WorkerGangEvents holds gang events reported by the supervisors on one worker.
type WorkerGangEvents struct {
	Worker      string      `cbor:"1,keyasint"`
	Incarnation string      `cbor:"2,keyasint"`
	Events      []GangEvent `cbor:"3,keyasint"`
}

// PeerReply answers a PeerUpdate. NeedFull asks for a full update.
type PeerReply struct {
	NeedFull      bool        `cbor:"1,keyasint,omitempty"`
	ConfigVersion uint64      `cbor:"2,keyasint,omitempty"`
	Acks          []EventAck  `cbor:"3,keyasint,omitempty"`
	Entries       []EntryInfo `cbor:"4,keyasint,omitempty"`
}

// EventAck acknowledges the gang events of one agent incarnation up to and
// including Seq.
type EventAck struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}
