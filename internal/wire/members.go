package wire

import "snipegw/internal/model"

// ServiceState is a backend server as its agent sees it.
type ServiceState struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Slots   int    `cbor:"2,keyasint" json:"slots"`
	Leaving bool   `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
	Healthy bool   `cbor:"4,keyasint,omitempty" json:"healthy"`
}

// GangState is a gang with tasks on a worker.
type GangState struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Attempt    uint64 `cbor:"2,keyasint" json:"attempt"`
	State      string `cbor:"3,keyasint" json:"state"` // reserved, armed, running, stopping
	Ranks      []int  `cbor:"4,keyasint" json:"ranks"`
	Supervisor bool   `cbor:"5,keyasint,omitempty" json:"supervisor,omitempty"`
	StartedMS  int64  `cbor:"6,keyasint,omitempty" json:"started_ms,omitempty"`
}

// WorkerState is everything that entries know of a worker. Seq grows with every
// change within an incarnation. Incarnations compare as strings: that of a
// later process is greater, see NewIncarnation.
type WorkerState struct {
	Worker      model.Worker   `cbor:"1,keyasint" json:"worker"`
	Incarnation string         `cbor:"2,keyasint" json:"incarnation"`
	Seq         uint64         `cbor:"3,keyasint" json:"seq"`
	Address     string         `cbor:"4,keyasint" json:"address"`
	Services    []ServiceState `cbor:"5,keyasint,omitempty" json:"services,omitempty"`
	Gangs       []GangState    `cbor:"6,keyasint,omitempty" json:"gangs,omitempty"`
	Draining    bool           `cbor:"7,keyasint,omitempty" json:"draining,omitempty"`
	Quarantined bool           `cbor:"8,keyasint,omitempty" json:"quarantined,omitempty"`
	// Stopping is set during the graceful stop of the agent.
	Stopping      bool   `cbor:"9,keyasint,omitempty" json:"stopping,omitempty"`
	ConfigVersion uint64 `cbor:"10,keyasint,omitempty" json:"config_version"`
	Epoch         uint64 `cbor:"11,keyasint,omitempty" json:"epoch"`
}

// Heartbeat is sent by an agent to its home entry every second. State is nil
// while nothing has changed since the acknowledged Seq.
type Heartbeat struct {
	Worker      string       `cbor:"1,keyasint"`
	Incarnation string       `cbor:"2,keyasint"`
	Seq         uint64       `cbor:"3,keyasint"`
	State       *WorkerState `cbor:"4,keyasint,omitempty"`
	Events      []GangEvent  `cbor:"5,keyasint,omitempty"`
	FreeSlots   int          `cbor:"6,keyasint,omitempty"`
	// Leaving tells the entry that the agent stops and sends no more.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// EntriesHash is HashEntries of the entry list that the agent has.
	EntriesHash uint64 `cbor:"8,keyasint,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// NeedState asks for the full state: the entry does not know Seq.
	NeedState     bool   `cbor:"1,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
	// AckedEvents is the highest event that the planner has recorded.
	AckedEvents uint64 `cbor:"3,keyasint,omitempty"`
	// Entries are the addresses of the entries of the region, sent when the
	// list has changed since EntriesHash of the agent.
	Entries []EntryInfo `cbor:"4,keyasint,omitempty"`
}

// EntryInfo is one entry in the directory of a region.
type EntryInfo struct {
	ID            string `cbor:"1,keyasint" json:"id"`
	Address       string `cbor:"2,keyasint" json:"address"`
	HTTPAddress   string `cbor:"3,keyasint,omitempty" json:"http_address,omitempty"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
	Region        string `cbor:"5,keyasint" json:"region"`
	Incarnation   string `cbor:"6,keyasint,omitempty" json:"incarnation"`
	// UpdatedMS is the time of the last renewal in Unix milliseconds.
	UpdatedMS int64 `cbor:"7,keyasint,omitempty" json:"updated_ms"`
}

// ConfigFetch asks for the configuration if it is newer than Have.
type ConfigFetch struct {
	Have uint64 `cbor:"1,keyasint"`
	// OmitHistory asks for the document without its patch history, which agents
	// do not use.
	OmitHistory bool `cbor:"2,keyasint,omitempty"`
}

// ConfigReply carries the document as JSON, empty if there is no newer one.
type ConfigReply struct {
	Version  uint64   `cbor:"1,keyasint"`
	Document Document `cbor:"2,keyasint,omitempty"`
}

// PeerUpdate passes worker states and events between entries of a region.
type PeerUpdate struct {
	From EntryInfo `cbor:"1,keyasint"`
	// Full is set when States hold all workers that report to From.
	Full   bool          `cbor:"2,keyasint,omitempty"`
	States []WorkerState `cbor:"3,keyasint,omitempty"`
	// Silent lists the workers that report to From and were not heard from
	// lately; all others that report to From are alive.
	Silent        []SilentWorker     `cbor:"4,keyasint,omitempty"`
	Events        []WorkerGangEvents `cbor:"5,keyasint,omitempty"`
	ConfigVersion uint64             `cbor:"6,keyasint,omitempty"`
	// Planner is set by the entry that holds the planner lease.
	Planner bool `cbor:"7,keyasint,omitempty"`
	// PlannerEpoch is the epoch of the planner, from other entries the highest
	// epoch that they have seen.
	PlannerEpoch uint64 `cbor:"8,keyasint,omitempty"`
	// OwnHash identifies the set of all workers that report to From, so that the
	// receiver notices when it knows another set.
	OwnHash uint64 `cbor:"9,keyasint,omitempty"`
}

// SilentWorker is a worker whose heartbeats are overdue.
type SilentWorker struct {
	Worker string `cbor:"1,keyasint"`
	// AgeMS is the time since its last heartbeat in milliseconds.
	AgeMS int64 `cbor:"2,keyasint"`
}

// WorkerGangEvents are events of one worker's supervisors.
type WorkerGangEvents struct {
	Worker      string      `cbor:"1,keyasint"`
	Incarnation string      `cbor:"2,keyasint"`
	Events      []GangEvent `cbor:"3,keyasint"`
}

// PeerReply answers a PeerUpdate.
type PeerReply struct {
	NeedFull      bool        `cbor:"1,keyasint,omitempty"`
	ConfigVersion uint64      `cbor:"2,keyasint,omitempty"`
	Acks          []EventAck  `cbor:"3,keyasint,omitempty"`
	Entries       []EntryInfo `cbor:"4,keyasint,omitempty"`
}

// EventAck acknowledges the events of an agent incarnation up to Seq.
type EventAck struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}
