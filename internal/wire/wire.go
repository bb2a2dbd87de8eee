// Package wire defines the messages between the processes of snipegw and their
// CBOR codec. All inputs are bounded in size, count and depth.
package wire

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"snipegw/internal/model"
	"snipegw/internal/result"
)

// Bounds of inputs.
const (
	// MaxMessageBytes bounds one encoded message.
	MaxMessageBytes = 4 << 20
	// MaxDepth bounds the nesting of an encoded message.
	MaxDepth = 16
	// MaxElements bounds the elements of one array or the pairs of one map.
	MaxElements = 1 << 16
)

var (
	bufMode = mustBuf()
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustBuf() cbor.UserBufferEncMode {
	m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  MaxDepth,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("encode %T: %d bytes exceed the limit of %d", v, len(data), MaxMessageBytes)
	}
	return data, nil
}

// MarshalTo appends the encoding of v to buf.
func MarshalTo(buf *bytes.Buffer, v any) error {
	before := buf.Len()
	if err := bufMode.MarshalToBuffer(v, buf); err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	if n := buf.Len() - before; n > MaxMessageBytes {
		return fmt.Errorf("encode %T: %d bytes exceed the limit of %d", v, n, MaxMessageBytes)
	}
	return nil
}

// Unmarshal decodes data into v.
func Unmarshal(data []byte, v any) error {
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("decode %T: %d bytes exceed the limit of %d", v, len(data), MaxMessageBytes)
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// Kind names the operation of a stream.
type Kind uint8

// Operations that an agent serves.
const (
	KindRequest     Kind = 1 // RequestHead, body; Admission, ResponseHead, body
	KindTicketIssue Kind = 2 // TicketIssue -> TicketReply
	KindTicketQuery Kind = 3 // TicketQuery; Admission, ResponseHead, body
	KindReserve     Kind = 4 // Reserve -> Ack
	KindRelease     Kind = 5 // Release -> Ack
	KindStartGang   Kind = 6 // StartGang -> Ack
	KindStopGang    Kind = 7 // StopGang -> Ack
	KindWorkerOrder Kind = 8 // WorkerOrder -> Ack
	KindReport      Kind = 9 // ReportQuery -> WorkerState
)

// Operations between agents of a gang.
const (
	KindArm      Kind = 20 // GangOrder -> Ack
	KindStart    Kind = 21 // GangOrder -> MemberReport
	KindRenew    Kind = 22 // GangOrder -> MemberReport
	KindAbort    Kind = 23 // GangOrder -> MemberReport
	KindHandover Kind = 24 // Handover -> Ack
)

// Operations that an entry serves.
const (
	KindHeartbeat   Kind = 40 // Heartbeat -> HeartbeatReply
	KindConfigFetch Kind = 41 // ConfigFetch -> ConfigReply
	KindPeerUpdate  Kind = 42 // PeerUpdate -> PeerReply
	KindJobSubmit   Kind = 43 // JobSubmit -> JobReply
	KindJobStatus   Kind = 44 // JobQuery -> JobReply
	KindJobCancel   Kind = 45 // JobCancel -> JobCancelReply
	KindJobList     Kind = 46 // JobListQuery -> JobListReply
	KindPlanner     Kind = 47 // PlannerOrder -> Ack
)

// Fault is an error on the wire.
type Fault struct {
	Code    result.Code `cbor:"1,keyasint"`
	Message string      `cbor:"2,keyasint"`
}

// Err returns f as an error.
func (f *Fault) Err() error {
	if f == nil {
		return nil
	}
	return &result.Error{Code: f.Code, Message: f.Message}
}

// FaultOf returns err as it is sent, nil for nil.
func FaultOf(err error) *Fault {
	if err == nil {
		return nil
	}
	return &Fault{Code: result.CodeOf(err), Message: result.MessageOf(err)}
}

// Ack answers an order that returns nothing else. Epoch is the highest epoch
// that the agent has seen, so that a new planner can exceed it.
type Ack struct {
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
}

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// RequestHead opens a request stream.
type RequestHead struct {
	ID         string        `cbor:"1,keyasint"`
	Team       string        `cbor:"2,keyasint"`
	Service    string        `cbor:"3,keyasint"`
	Method     string        `cbor:"4,keyasint"`
	Target     string        `cbor:"5,keyasint"` // path and query
	Header     []HeaderField `cbor:"6,keyasint,omitempty"`
	Idempotent bool          `cbor:"7,keyasint,omitempty"`
	// TimeoutMS is the time left to the caller's deadline in milliseconds.
	TimeoutMS int64 `cbor:"8,keyasint"`
	// BodyBytes is the length of the body; -1 if unknown.
	BodyBytes int64 `cbor:"9,keyasint"`
	// Ticket is set for a ticket taken in advance.
	Ticket string `cbor:"10,keyasint,omitempty"`
}

// Admission is the agent's first answer on a request stream. With a Fault that
// says not run, the request was not run.
type Admission struct {
	Fault  *Fault `cbor:"1,keyasint,omitempty"`
	Ticket string `cbor:"2,keyasint,omitempty"`
	// FreeSlots is the number of free slots after this admission.
	FreeSlots int `cbor:"3,keyasint,omitempty"`
}

// ResponseHead precedes the body of a response. A Fault here comes after
// admission, so the request may have run as the code says.
type ResponseHead struct {
	Fault     *Fault        `cbor:"1,keyasint,omitempty"`
	Status    int           `cbor:"2,keyasint,omitempty"`
	Header    []HeaderField `cbor:"3,keyasint,omitempty"`
	BodyBytes int64         `cbor:"4,keyasint,omitempty"` // -1 if unknown
	Replayed  bool          `cbor:"5,keyasint,omitempty"` // a recorded answer
}

// TicketIssue asks for a ticket in advance.
type TicketIssue struct {
	Service string `cbor:"1,keyasint"`
	Team    string `cbor:"2,keyasint"`
}

// TicketReply carries a ticket and the time in which it must be used.
type TicketReply struct {
	Ticket     string `cbor:"1,keyasint"`
	LifetimeMS int64  `cbor:"2,keyasint"`
}

// TicketQuery asks what became of a ticket.
type TicketQuery struct {
	Ticket string `cbor:"1,keyasint"`
	Team   string `cbor:"2,keyasint"`
}

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
	Silent        []SilentWorker   `cbor:"4,keyasint,omitempty"`
	Events        []WorkerGangEvts `cbor:"5,keyasint,omitempty"`
	ConfigVersion uint64           `cbor:"6,keyasint,omitempty"`
	// Planner is set by the entry that holds the planner lease.
	Planner bool `cbor:"7,keyasint,omitempty"`
	// PlannerEpoch is the epoch of the planner, from other entries the highest
	// epoch that they have seen.
	PlannerEpoch uint64 `cbor:"8,keyasint,omitempty"`
}

// SilentWorker is a worker whose heartbeats are overdue.
type SilentWorker struct {
	Worker string `cbor:"1,keyasint"`
	// AgeMS is the time since its last heartbeat in milliseconds.
	AgeMS int64 `cbor:"2,keyasint"`
}

// WorkerGangEvts are events of one worker's supervisors.
type WorkerGangEvts struct {
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
