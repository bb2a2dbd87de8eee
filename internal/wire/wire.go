// Package wire defines the messages between the processes of snipegw and their
// CBOR codec. The decoder limits the size, element count and nesting depth of
// its input.
package wire

import "snipegw/internal/result"

// Kind identifies the operation of a call.
type Kind uint8

// Operations that an agent serves for entries and planners. Each comment names the
// request and, after the arrow, the reply. For operations with a body, it names the
// messages of the caller and, after the semicolon, those of the agent.
const (
	KindRequest     Kind = 1 // RequestHead, body; Admission, ResponseHead, body
	KindTicketIssue Kind = 2 // TicketIssue -> TicketReply
	KindTicketQuery Kind = 3 // TicketQuery; Admission, ResponseHead, body
	KindReserve     Kind = 4 // Reserve -> Ack
	KindRelease     Kind = 5 // Release -> Ack
	KindStartGang   Kind = 6 // StartGang -> Ack
	KindStopGang    Kind = 7 // StopGang -> Ack
	KindWorkerOrder Kind = 8 // WorkerOrder -> Ack
)

// Operations between the agents of a gang. The supervisor arms all members, which
// confirms their reservations, before it starts any of them.
const (
	KindArm      Kind = 20 // GangOrder -> Ack
	KindStart    Kind = 21 // GangOrder -> MemberReport
	KindRenew    Kind = 22 // GangOrder -> MemberReport
	KindAbort    Kind = 23 // GangOrder -> MemberReport
	KindHandover Kind = 24 // Handover -> Ack
)

// Operations that an entry serves.
const (
	KindHeartbeat    Kind = 40 // Heartbeat -> HeartbeatReply
	KindConfigFetch  Kind = 41 // ConfigFetch -> ConfigReply
	KindPeerUpdate   Kind = 42 // PeerUpdate -> PeerReply
	KindJobSubmit    Kind = 43 // JobSubmit -> JobReply
	KindJobStatus    Kind = 44 // JobQuery -> JobReply
	KindJobCancel    Kind = 45 // JobCancel -> JobCancelReply
	KindJobList      Kind = 46 // JobListQuery -> JobListReply
	KindPlannerOrder Kind = 47 // PlannerOrder -> Ack
)

// Operations of workflows. An agent serves KindWorkflowSync and
// KindWorkflowOrder, an entry serves KindStoreRelay and KindPlannerRecall.
const (
	KindWorkflowSync  Kind = 60 // workflow.SyncRequest -> workflow.SyncReply
	KindWorkflowOrder Kind = 61 // workflow.OrderRequest -> workflow.OrderReply
	KindStoreRelay    Kind = 62 // relay.Request -> relay.Reply
	KindPlannerRecall Kind = 63 // workflow.RecallRequest -> workflow.RecallReply
)

// Fault is the wire form of an error.
type Fault struct {
	Code    result.Code `cbor:"1,keyasint"`
	Message string      `cbor:"2,keyasint"`
}

// Err returns f as a *result.Error, nil for nil.
func (f *Fault) Err() error {
	if f == nil {
		return nil
	}
	return &result.Error{Code: f.Code, Message: f.Message}
}

// FaultOf returns the wire form of err, nil for nil.
func FaultOf(err error) *Fault {
	if err == nil {
		return nil
	}
	return &Fault{Code: result.CodeOf(err), Message: result.MessageOf(err)}
}

// Ack answers an operation without other results. Epoch is the highest epoch
// that the agent has seen, so that a new planner can choose a higher one.
type Ack struct {
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
}
