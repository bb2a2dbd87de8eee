package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/config"
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// metrics holds the counters of the package.
var metrics = expvar.NewMap("jobs")

// Caller makes unary calls to other processes. *transport.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error
}

// Options holds the dependencies of a Host. All are required.
type Options struct {
	Store      store.Store
	Membership members.Membership
	Pool       Caller
	Config     config.Source
	// Policy creates the scheduler of a planner term.
	Policy framework.Factory
	// Entry describes this process. Its Incarnation must differ from that of every
	// earlier process with the same ID.
	Entry wire.EntryInfo
}

// Host is the part of an entry that takes part in the election of the region's
// planner and is the planner while it holds the lease. It implements
// kernel.Component, Service and members.EventSink.
type Host struct {
	opts      Options
	startTime time.Time

	term atomic.Pointer[term] // nil while another process is the planner
	// knownLease is the latest lease seen in the store; nil before the first read.
	knownLease atomic.Pointer[leaseValue]
	// highestEpoch is the highest epoch seen in the lease, on a page, in the
	// membership or in the answer of an agent.
	highestEpoch atomic.Uint64

	ctx      context.Context // cancelled when the host must end at once
	cancel   context.CancelFunc
	stopping chan struct{} // closed when a graceful stop begins
	stopOnce sync.Once
	done     chan struct{} // closed when elect has returned
}

var (
	_ Service           = (*Host)(nil)
	_ members.EventSink = (*Host)(nil)
)

// New returns a Host that takes part in the election after Start.
func New(o Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{opts: o, ctx: ctx, cancel: cancel, stopping: make(chan struct{}), done: make(chan struct{})}
	return h
}

// Name implements kernel.Component.
func (h *Host) Name() string { return "jobs" }

// Start implements kernel.Component.
func (h *Host) Start(ctx context.Context) error {
	context.AfterFunc(ctx, h.cancel)
	h.startTime = time.Now()
	h.opts.Config.OnChange(func(c *model.Config) {
		if t := h.term.Load(); t != nil {
			t.post(func() { t.applyConfig(c) })
		}
	})
	go h.elect()
	return nil
}

// Stop implements kernel.Component. If this process is the planner, it finishes
// its writes and releases the lease, so that another entry takes over at once.
func (h *Host) Stop(ctx context.Context) error {
	h.stopOnce.Do(func() { close(h.stopping) })
	select {
	case <-h.done:
		return nil
	case <-ctx.Done():
		h.cancel()
		<-h.done
		return ctx.Err()
	}
}

// Register adds the handlers of calls from other entries to mux.
func (h *Host) Register(mux *transport.Mux) {
	mux.Handle(wire.KindJobSubmit, transport.Unary(requirePlanner(h, (*term).serveSubmit)))
	mux.Handle(wire.KindJobStatus, transport.Unary(requirePlanner(h, (*term).serveStatus)))
	mux.Handle(wire.KindJobCancel, transport.Unary(requirePlanner(h, (*term).serveCancel)))
	mux.Handle(wire.KindJobList, transport.Unary(requirePlanner(h, (*term).serveList)))
	mux.Handle(wire.KindPlannerOrder, transport.Unary(requirePlanner(h, (*term).serveWorkerOrder)))
}

// requirePlanner wraps a handler so that calls fail with result.NotPlanner while
// this process is not the planner.
func requirePlanner[Req, Reply any](h *Host, f func(*term, context.Context, *Req) (*Reply, error)) func(context.Context, *Req) (*Reply, error) {
	return func(ctx context.Context, req *Req) (*Reply, error) {
		t := h.term.Load()
		if t == nil {
			return nil, errNotPlanner()
		}
		return f(t, ctx, req)
	}
}

func errNotPlanner() error {
	return result.Errorf(result.NotPlanner, "this entry does not hold the planner lease")
}

// PlannerState implements members.EventSink. It returns the epoch of the term if
// this process is the planner, else the highest epoch seen.
func (h *Host) PlannerState() (bool, uint64) {
	if t := h.term.Load(); t != nil {
		return true, t.epoch
	}
	return false, h.highestEpoch.Load()
}

// ObserveEpoch implements members.EventSink. A planner that learns of a higher
// epoch steps down.
func (h *Host) ObserveEpoch(epoch uint64) {
	for {
		old := h.highestEpoch.Load()
		if epoch <= old {
			return
		}
		if h.highestEpoch.CompareAndSwap(old, epoch) {
			break
		}
	}
	if t := h.term.Load(); t != nil && epoch > t.epoch {
		t.stepDown("a higher epoch was seen")
	}
}

// RecordGangEvents implements members.EventSink.
func (h *Host) RecordGangEvents(worker, incarnation string, events []wire.GangEvent) uint64 {
	t := h.term.Load()
	if t == nil {
		return 0
	}
	return t.receiveEvents(worker, incarnation, events)
}

// DumpState returns the state of the lease and of the planner for /debug/state.
func (h *Host) DumpState() any {
	state := map[string]any{"highest_epoch": h.highestEpoch.Load(), "lease": h.knownLease.Load()}
	if t := h.term.Load(); t != nil {
		ctx, cancel := context.WithTimeout(h.ctx, time.Second)
		defer cancel()
		_ = t.postAndWait(ctx, func() { state["planner"] = t.dump() })
	}
	return state
}

// sleepWithJitter waits for a random time from d/2 to 3d/2, so that entries that
// failed together do not call the store again together. It reports false if ctx
// ended first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hasCode reports whether err carries one of codes.
func hasCode(err error, codes ...result.Code) bool {
	var e *result.Error
	if !errors.As(err, &e) {
		return false
	}
	for _, c := range codes {
		if e.Code == c {
			return true
		}
	}
	return false
}

func logEvent(event string, fields log.Fields) *log.Entry {
	fields["event"] = event
	return log.WithFields(fields)
}

func mustEncodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // v is a plain struct of this package
	}
	return data
}
