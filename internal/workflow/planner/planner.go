// Package planner hosts the engine in the entry that holds the planner's term:
// election, records in the store, and exchanges with the agents.
package planner

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
	"snipegw/internal/workflow/mirror"
)

const (
	// DefaultTerm is the time after which a silent planner is replaced. With 1.6 s
	// urgent jobs accepted around a planner's death came late.
	DefaultTerm = time.Second
	// renewalsPerLease leaves room for two failed renewals.
	renewalsPerLease = 4
	// MaxStoreOutage is the time for which a planner without the store keeps
	// extending leases. It covers the usual outages of the store.
	MaxStoreOutage = 12 * time.Second
	// electionRetryDelay separates attempts to become planner.
	electionRetryDelay = 200 * time.Millisecond
)

// Options are the parts that a Host works with.
type Options struct {
	Entry   string
	Address string
	Table   store.Table
	Records *mirror.Mirror
	Pool    *transport.Pool
	Engine  engine.Settings
	// Term is the time after which this entry is replaced when it plans and does
	// not renew its lease.
	Term time.Duration
	// KeepEnded is the time for which ended jobs stay known.
	KeepEnded time.Duration
}

// Host takes part in the election and plans while it holds the term. It is a
// kernel.Component.
type Host struct {
	options  Options
	cancel   context.CancelFunc
	done     chan struct{}
	stopping chan struct{}

	mu     sync.Mutex
	config *workflow.Config
	term   *term
	// pending holds changes of the records since the term's list, and wakes it.
	pending []store.Event
	wakeUp  chan struct{}
}

// New returns a Host.
func New(o Options) *Host {
	return &Host{options: o, done: make(chan struct{}), stopping: make(chan struct{}), wakeUp: make(chan struct{}, 1)}
}

// Name implements kernel.Component.
func (h *Host) Name() string { return "workflow planner" }

// Start implements kernel.Component.
func (h *Host) Start(ctx context.Context) error {
	ctx, h.cancel = context.WithCancel(ctx)
	h.options.Records.Listen(h.enqueueEvents)
	go h.run(ctx)
	return nil
}

// Stop implements kernel.Component. It hands the term over at once.
func (h *Host) Stop(ctx context.Context) error {
	close(h.stopping)
	select {
	case <-h.done:
	case <-ctx.Done():
	}
	h.cancel()
	return nil
}

// SetConfig gives the planner a new configuration.
func (h *Host) SetConfig(c *workflow.Config) {
	h.mu.Lock()
	h.config = c
	h.mu.Unlock()
	h.wake()
}

func (h *Host) wake() {
	select {
	case h.wakeUp <- struct{}{}:
	default:
	}
}

// enqueueEvents is the mirror's listener.
func (h *Host) enqueueEvents(events []store.Event) {
	h.mu.Lock()
	if h.term != nil {
		h.pending = append(h.pending, events...)
	}
	h.mu.Unlock()
	h.wake()
}

// Planning reports whether this entry holds the term.
func (h *Host) Planning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term != nil
}

// State returns the engine's state for the dump.
func (h *Host) State() any {
	h.mu.Lock()
	t := h.term
	h.mu.Unlock()
	if t == nil {
		return map[string]any{"planning": false}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]any{"planning": true, "epoch": t.epoch, "engine": t.engine.Dump(time.Now())}
}

func (h *Host) run(ctx context.Context) {
	defer close(h.done)
	for ctx.Err() == nil && !h.isStopping() {
		revision, vacant := h.mayBecomePlanner()
		if !vacant {
			h.waitForWake(ctx, time.Second)
			continue
		}
		lease, epoch, err := h.acquireTerm(ctx, revision)
		if err != nil {
			h.waitForWake(ctx, electionRetryDelay)
			continue
		}
		if epoch > 0 {
			h.runTerm(ctx, lease, epoch)
			// The key goes with the lease.
			h.options.Records.Apply([]store.Event{{Record: store.Record{Key: workflow.PlannerKey, Revision: epoch + 1}, Deleted: true}})
		}
		h.revokeLease(ctx, lease)
	}
}

func (h *Host) isStopping() bool {
	select {
	case <-h.stopping:
		return true
	default:
		return false
	}
}

func (h *Host) waitForWake(ctx context.Context, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-h.wakeUp:
	case <-t.C:
	case <-h.stopping:
	case <-ctx.Done():
	}
}

// mayBecomePlanner reports whether this entry may become planner, and the revision of the
// key that it replaces. A key of its own stems from an earlier life of this
// entry, so it need not wait until the lease has lapsed.
func (h *Host) mayBecomePlanner() (revision uint64, vacant bool) {
	if !h.options.Records.Synced() {
		return 0, false
	}
	r, held := h.options.Records.Get(workflow.PlannerKey)
	if !held {
		return 0, true
	}
	p, err := workflow.Decode[workflow.PlannerRecord](r.Value)
	return r.Revision, err == nil && p.Entry == h.options.Entry
}

// acquireTerm tries to write the planner's key, now at revision held, under a new
// lease. Epoch is 0 if another entry was faster.
func (h *Host) acquireTerm(ctx context.Context, replaced uint64) (lease, epoch uint64, err error) {
	lease, err = h.options.Table.Grant(ctx, h.options.Term)
	if err != nil {
		return 0, 0, err
	}
	outcome, err := h.options.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: workflow.PlannerKey, Revision: replaced}},
		Puts: []store.Put{{
			Key: workflow.PlannerKey, Lease: lease,
			Value: workflow.Encode(workflow.PlannerRecord{Entry: h.options.Entry, Address: h.options.Address}),
		}},
	})
	if err != nil {
		// The key may appear; it goes with the lease.
		h.revokeLease(ctx, lease)
		return 0, 0, err
	}
	if !outcome.Committed {
		if _, exists := outcome.Current[workflow.PlannerKey]; !exists && replaced > 0 {
			// The key ended with its lease; the mirror has not seen that yet.
			h.options.Records.Apply([]store.Event{{Record: store.Record{Key: workflow.PlannerKey, Revision: replaced + 1}, Deleted: true}})
		}
		for _, r := range outcome.Current {
			h.options.Records.Apply([]store.Event{{Record: r}})
		}
		return lease, 0, nil
	}
	h.options.Records.Apply([]store.Event{{Record: store.Record{
		Key: workflow.PlannerKey, Lease: lease, Revision: outcome.Revision,
		Value: workflow.Encode(workflow.PlannerRecord{Entry: h.options.Entry, Address: h.options.Address}),
	}}})
	return lease, outcome.Revision, nil
}

// revokeLease ends a lease. If that fails the lease ends by itself.
func (h *Host) revokeLease(ctx context.Context, lease uint64) {
	if lease == 0 {
		return
	}
	if err := h.options.Table.Revoke(context.WithoutCancel(ctx), lease); err != nil {
		log.WithFields(log.Fields{"event": "lease_not_ended", "lease": lease, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("the lease expires by itself")
	}
}

// runTerm plans until the term ends.
func (h *Host) runTerm(parent context.Context, lease, epoch uint64) {
	ctx, endTerm := context.WithCancelCause(parent)
	defer endTerm(nil)
	t := newTerm(h, lease, epoch, endTerm)
	h.mu.Lock()
	h.term, h.pending = t, nil
	h.mu.Unlock()
	log.WithFields(log.Fields{"event": "planner_term", "epoch": epoch, "lease": lease}).Info("this entry plans")
	kernel.Metrics.Count("snipegw_planner_terms_total")
	ended := make(chan struct{})
	go func() {
		select {
		case <-h.stopping:
			endTerm(errStopping)
		case <-ended:
		}
	}()
	t.run(ctx)
	close(ended)
	h.mu.Lock()
	h.term, h.pending = nil, nil
	h.mu.Unlock()
	reason := "stopped"
	if cause := context.Cause(ctx); cause != nil {
		reason = cause.Error()
	}
	log.WithFields(log.Fields{"event": "planner_term_ended", "epoch": epoch, "reason": reason}).Info("this entry no longer plans")
}
