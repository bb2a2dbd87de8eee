package workflow

// Resources are the capacity of a worker or the request of an item. They are
// encoded as an array: the order of the fields must not change.
type Resources struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether no part of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Add returns r + n*o; a negative n subtracts.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{MilliCPU: r.MilliCPU + n*o.MilliCPU, MemoryMB: r.MemoryMB + n*o.MemoryMB, Accelerators: r.Accelerators + n*o.Accelerators}
}

// Count returns how many times needs fit into r, at most limit. Amounts below 0 count as 0.
func (r Resources) Count(needs Resources, limit int) int {
	for _, amount := range [][2]int64{{needs.MilliCPU, r.MilliCPU}, {needs.MemoryMB, r.MemoryMB}, {needs.Accelerators, r.Accelerators}} {
		if amount[0] > 0 {
			limit = min(limit, int(max(amount[1], 0)/amount[0]))
		}
	}
	return limit
}

// CoresPerAccelerator is the weight of an accelerator, in cores, when amounts of work are
// compared.
const CoresPerAccelerator = 8

// Needs returns the resources that one item of the step reserves. An item of a
// step with Fills reserves no processors, because it only uses processor time that
// other items leave unused.
func (s *Step) Needs() Resources {
	r := Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
	if s.Fills {
		r.MilliCPU = 0
	}
	return r
}

// Announcement is the self-description that a worker sends to its agent.
type Announcement struct {
	// Instance is the id of the worker instance. WorkerKey identifies the
	// incarnation.
	Instance string `cbor:"1,keyasint"`
	// StartedMS is the start time of this incarnation in Unix milliseconds.
	StartedMS int64     `cbor:"2,keyasint"`
	Service   string    `cbor:"3,keyasint,omitempty"`
	Labels    []string  `cbor:"4,keyasint,omitempty"`
	Rack      string    `cbor:"5,keyasint,omitempty"`
	Capacity  Resources `cbor:"6,keyasint"`
	Draining  bool      `cbor:"7,keyasint,omitempty"`
	// RemainingMS is the minimum time until a draining worker leaves.
	RemainingMS int64 `cbor:"8,keyasint,omitempty"`
	// Seq orders the announcements of an incarnation.
	Seq int64 `cbor:"9,keyasint,omitempty"`
	// FailureDomain is empty if the worker does not name one.
	FailureDomain string `cbor:"10,keyasint,omitempty"`
	// ColdMS is how much longer the worker runs items slowly.
	ColdMS int64 `cbor:"11,keyasint,omitempty"`
}

// RunningItem is a run that a worker reports as running.
type RunningItem struct {
	Ref        ItemRef `cbor:"1,keyasint"`
	Run        int     `cbor:"2,keyasint"`
	Checkpoint string  `cbor:"3,keyasint,omitempty"`
	// Percent is the progress of the run, 0 to 100.
	Percent float64 `cbor:"4,keyasint,omitempty"`
}

// EndedItem is a run that has ended. The worker reports it until its number is
// acknowledged.
type EndedItem struct {
	Seq        uint64  `cbor:"1,keyasint"` // sequence number, increasing within an incarnation
	Ref        ItemRef `cbor:"2,keyasint"`
	Run        int     `cbor:"3,keyasint"`
	End        End     `cbor:"4,keyasint"`
	Checkpoint string  `cbor:"5,keyasint,omitempty"`
}

// WorkerReport is a worker's report of its running and ended runs.
type WorkerReport struct {
	Instance  string        `cbor:"1,keyasint"`
	StartedMS int64         `cbor:"2,keyasint"`
	ClockMS   int64         `cbor:"3,keyasint"` // the worker's monotonic clock
	Running   []RunningItem `cbor:"4,keyasint,omitempty"`
	Ended     []EndedItem   `cbor:"5,keyasint,omitempty"`
	// EndsTruncated reports that Ended may be the first page of a longer list. A run that is in
	// neither list may have ended then; the next ends are listed once these are acknowledged.
	EndsTruncated bool `cbor:"6,keyasint,omitempty"`
}

// SyncRequest renews the lease of a worker, acknowledges ended runs and asks the
// agent for a report.
type SyncRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Instance and StartedMS identify the incarnation to which LeaseUntilMS and
	// AckedEnds apply; they are zero before the first report.
	Instance  string `cbor:"2,keyasint,omitempty"`
	StartedMS int64  `cbor:"3,keyasint,omitempty"`
	// LeaseUntilMS is the end of the lease on the worker's monotonic clock.
	// AckedEnds acknowledges all ended runs up to that number.
	LeaseUntilMS int64  `cbor:"4,keyasint,omitempty"`
	AckedEnds    uint64 `cbor:"5,keyasint,omitempty"`
	// Version is the version of the report that the planner has. The agent waits
	// up to WaitMS for a different one before it replies.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	WaitMS  int64  `cbor:"7,keyasint,omitempty"`
	// Generation counts the incarnations of the worker that the planner knows of in its
	// term, see FencingToken.
	Generation uint64 `cbor:"8,keyasint,omitempty"`
}

// generationBits is the number of low bits of a fencing token that hold the generation.
const generationBits = 16

// FencingToken returns the token under which an agent calls its worker: the epoch of the
// planner, and below it the generation of the worker in that epoch. A worker may restart
// under its id and has seen no token then; once it has been called under the token of the
// new generation, it refuses calls that were made for a former incarnation and arrive late.
func FencingToken(epoch, generation uint64) uint64 {
	return epoch<<generationBits | min(generation, 1<<generationBits-1)
}

// SyncReply is an agent's report.
type SyncReply struct {
	Version uint64 `cbor:"1,keyasint"`
	// Announced is the latest announcement of the worker; nil if it has sent none
	// since the agent started.
	Announced *Announcement `cbor:"2,keyasint,omitempty"`
	// Report is nil if the worker does not respond.
	Report *WorkerReport `cbor:"3,keyasint,omitempty"`
	// Left reports that the worker has deregistered and that no process listens at
	// its address any more.
	Left bool `cbor:"4,keyasint,omitempty"`
	// Generation is that of the request. Report was made by a poll under its token.
	Generation uint64 `cbor:"5,keyasint,omitempty"`
	// SilentMS is set if Report is nil. It is the time since the worker's latest response to a
	// poll, or since the agent's start if the worker has not responded to this agent. Every
	// lease that planners have extended ends at most the duration of a lease after that response.
	SilentMS int64 `cbor:"6,keyasint,omitempty"`
}

// RecallRequest asks an entry to end its terms as planner with an epoch below Epoch.
type RecallRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// RecallReply confirms that no such term goes on, and that none will begin in the process.
type RecallReply struct{}

// StartOrder is the order to start a run of one item.
type StartOrder struct {
	Ref        ItemRef `cbor:"1,keyasint"`
	Run        int     `cbor:"2,keyasint"`
	Payload    string  `cbor:"3,keyasint,omitempty"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
	// ExpiresMS is the time on the worker's monotonic clock after which the order
	// must not take effect.
	ExpiresMS int64 `cbor:"5,keyasint"`
}

// StopOrder is the order to stop a run, or to prevent it if it has not started.
type StopOrder struct {
	Ref ItemRef `cbor:"1,keyasint"`
	Run int     `cbor:"2,keyasint"`
}

// OrderRequest carries the orders for one incarnation of a worker.
type OrderRequest struct {
	Epoch     uint64       `cbor:"1,keyasint"`
	Instance  string       `cbor:"2,keyasint"`
	StartedMS int64        `cbor:"3,keyasint"`
	Starts    []StartOrder `cbor:"4,keyasint,omitempty"`
	Stops     []StopOrder  `cbor:"5,keyasint,omitempty"`
	// Generation is that of the incarnation, see FencingToken.
	Generation uint64 `cbor:"6,keyasint,omitempty"`
}

// Verdict is the outcome of an order.
type Verdict int

// Values of Verdict.
const (
	// VerdictUnknown: the order may have taken effect, or may still do so.
	VerdictUnknown Verdict = iota
	// VerdictDone: the order has taken effect.
	VerdictDone
	// VerdictRefused: the order has not taken effect and cannot any more.
	VerdictRefused
)

// OrderOutcome is the outcome of one order.
type OrderOutcome struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// ClockMS is the worker's monotonic clock at the time of its response.
	ClockMS int64  `cbor:"2,keyasint,omitempty"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}

// OrderReply holds the outcomes of the starts and the stops of an OrderRequest,
// each in the order of the request.
type OrderReply struct {
	Starts []OrderOutcome `cbor:"1,keyasint,omitempty"`
	Stops  []OrderOutcome `cbor:"2,keyasint,omitempty"`
}

// Reasons for which a worker or its agent refuses an order.
const (
	ReasonNoCapacity = "room"     // the worker lacks free resources
	ReasonFenced     = "fence"    // the worker knows a newer epoch
	ReasonOldRun     = "old"      // the worker knows this run or a later one of the item
	ReasonExpired    = "late"     // the order has expired
	ReasonBusy       = "busy"     // the worker is unhealthy, the order had no effect
	ReasonInvalid    = "invalid"  // the worker does not understand the order
	ReasonInstance   = "instance" // the order is for another incarnation
	ReasonDraining   = "draining" // the worker accepts no further items
)
