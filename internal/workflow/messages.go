package workflow

// Resources of a worker or an item.
type Resources struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether r is at most free in every part.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{MilliCPU: r.MilliCPU + n*o.MilliCPU, MemoryMB: r.MemoryMB + n*o.MemoryMB, Accelerators: r.Accelerators + n*o.Accelerators}
}

// Needs returns the resources that one item of the step holds. A filling item
// uses the processors that others leave, and holds none.
func (s *Step) Needs() Resources {
	r := Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
	if s.Fills {
		r.MilliCPU = 0
	}
	return r
}

// Announcement is what a worker says about itself.
type Announcement struct {
	Instance string `cbor:"1,keyasint"`
	// Born is the Unix millisecond of the start of this incarnation.
	Born     int64     `cbor:"2,keyasint"`
	Service  string    `cbor:"3,keyasint,omitempty"`
	Labels   []string  `cbor:"4,keyasint,omitempty"`
	Rack     string    `cbor:"5,keyasint,omitempty"`
	Capacity Resources `cbor:"6,keyasint"`
	Draining bool      `cbor:"7,keyasint,omitempty"`
	// RemainingMS is the least time until a draining worker leaves.
	RemainingMS int64 `cbor:"8,keyasint,omitempty"`
	// Seq orders the announcements of an incarnation.
	Seq int64 `cbor:"9,keyasint,omitempty"`
}

// RunningItem is a run that a worker lists.
type RunningItem struct {
	Ref        Ref    `cbor:"1,keyasint"`
	Run        int    `cbor:"2,keyasint"`
	Checkpoint string `cbor:"3,keyasint,omitempty"`
	// Percent is the progress, 0 to 100.
	Percent float64 `cbor:"4,keyasint,omitempty"`
}

// EndedItem is an end that a worker lists until it is acknowledged.
type EndedItem struct {
	N          uint64 `cbor:"1,keyasint"` // number of the end, rising in an incarnation
	Ref        Ref    `cbor:"2,keyasint"`
	Run        int    `cbor:"3,keyasint"`
	How        End    `cbor:"4,keyasint"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
}

// WorkerLists is a worker's answer to a look at what it runs.
type WorkerLists struct {
	Instance string        `cbor:"1,keyasint"`
	Born     int64         `cbor:"2,keyasint"`
	ClockMS  int64         `cbor:"3,keyasint"` // the worker's steady clock
	Running  []RunningItem `cbor:"4,keyasint,omitempty"`
	Ended    []EndedItem   `cbor:"5,keyasint,omitempty"`
}

// SyncRequest extends the lease of a worker, acknowledges ends and asks for a
// report.
type SyncRequest struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Instance and Born name the incarnation for which LeaseUntilMS and
	// AckedEnds are meant; empty before the first report.
	Instance string `cbor:"2,keyasint,omitempty"`
	Born     int64  `cbor:"3,keyasint,omitempty"`
	// LeaseUntilMS is on the worker's steady clock.
	LeaseUntilMS int64  `cbor:"4,keyasint,omitempty"`
	AckedEnds    uint64 `cbor:"5,keyasint,omitempty"`
	// Version is that of the report that the planner has; the answer waits up to
	// WaitMS for another one.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	WaitMS  int64  `cbor:"7,keyasint,omitempty"`
}

// SyncReply is an agent's report.
type SyncReply struct {
	Version uint64 `cbor:"1,keyasint"`
	// Announced is the latest announcement of the worker; nil if there is none
	// since the agent's start.
	Announced *Announcement `cbor:"2,keyasint,omitempty"`
	// Lists is nil if the worker does not answer.
	Lists *WorkerLists `cbor:"3,keyasint,omitempty"`
	// Left is set when the worker has said goodbye and nothing listens on its
	// address any more.
	Left bool `cbor:"4,keyasint,omitempty"`
}

// StartOrder starts one item.
type StartOrder struct {
	Ref        Ref    `cbor:"1,keyasint"`
	Run        int    `cbor:"2,keyasint"`
	Payload    string `cbor:"3,keyasint,omitempty"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// UntilMS is the time on the worker's clock after which the order must not
	// take effect.
	UntilMS int64 `cbor:"5,keyasint"`
}

// StopOrder stops one run, or prevents it if it has not begun.
type StopOrder struct {
	Ref Ref `cbor:"1,keyasint"`
	Run int `cbor:"2,keyasint"`
}

// OrderRequest carries orders for one incarnation of a worker.
type OrderRequest struct {
	Epoch    uint64       `cbor:"1,keyasint"`
	Instance string       `cbor:"2,keyasint"`
	Born     int64        `cbor:"3,keyasint"`
	Starts   []StartOrder `cbor:"4,keyasint,omitempty"`
	Stops    []StopOrder  `cbor:"5,keyasint,omitempty"`
}

// Verdict is the outcome of an order.
type Verdict int

// Verdicts.
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
	// ClockMS is the worker's clock at its answer.
	ClockMS int64  `cbor:"2,keyasint,omitempty"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}

// OrderReply answers the orders in their sequence, starts first.
type OrderReply struct {
	Starts []OrderOutcome `cbor:"1,keyasint,omitempty"`
	Stops  []OrderOutcome `cbor:"2,keyasint,omitempty"`
}

// Reasons of a refused order.
const (
	ReasonRoom     = "room"
	ReasonFence    = "fence"
	ReasonOld      = "old"
	ReasonLate     = "late"
	ReasonBusy     = "busy"     // the worker is unhealthy and has done nothing
	ReasonInvalid  = "invalid"  // the worker does not understand the order
	ReasonInstance = "instance" // the order is for another incarnation
	ReasonDraining = "draining"
)
