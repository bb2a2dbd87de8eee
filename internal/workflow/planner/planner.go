// Package planner runs the scheduling engine. Entries are the processes that accept
// jobs from callers; one of them is elected planner. Agents are the processes that
// control the workers, one for each node. The package takes part in the election,
// stores the engine's changes, sends its orders to the agents and feeds it their
// reports.
package planner

import (
	"context"
	"errors"
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
	// DefaultLeaseDuration is the default duration of the planner's lease in the store: a
	// silent planner is replaced after it. With 1.6 s, urgent jobs that were accepted
	// around the crash of a planner came late.
	DefaultLeaseDuration = time.Second
	// renewalsPerLease is the number of renewal attempts in the duration of the
	// planner's lease. With 4, two in a row may fail.
	renewalsPerLease = 4
	// MaxStoreOutage limits how long a planner that cannot reach the store keeps
	// extending the workers' leases. It covers the usual outages of the store.
	MaxStoreOutage = 12 * time.Second
	// electionRetryDelay is the delay between two attempts to become planner after
	// an error.
	electionRetryDelay = 200 * time.Millisecond
	// minPanicDelay is the delay before this entry becomes planner again after its term
	// has panicked, in which other entries, whose version may differ, can take over. It
	// doubles up to maxPanicDelay with each further short term that panics, since the
	// cause may be in the records. All entries may panic in turn, and callers notice when
	// nobody plans for 3 s, so the first four delays take less than that together.
	minPanicDelay = 250 * time.Millisecond
	maxPanicDelay = 500 * time.Millisecond
	// stableTerm is the length of a term from which on a panic does not count as
	// following from the one before.
	stableTerm = 10 * time.Second
)

// Options are the settings of a Host and the components that it uses.
type Options struct {
	Entry   string          // id of this entry
	Address string          // address that the planner record announces
	Table   store.Table     // the store
	Records *mirror.Mirror  // local copy of the records in the store
	Pool    *transport.Pool // connections to the agents
	Engine  engine.Settings
	// LeaseDuration is the duration of the planner's lease in the store. An entry that plans
	// and does not renew it in time is replaced.
	LeaseDuration time.Duration
	// EndedJobRetention is how long the records of ended jobs are kept from when the end is stored.
	EndedJobRetention time.Duration
	// ClosingRetention is how long the ids that a cancel has closed stay closed at least. It must exceed the
	// time in which the store may carry out a write that it has not answered.
	ClosingRetention time.Duration
	// Evacuations is nil if requests to evacuate failure domains are not supported.
	Evacuations *EvacuationOptions
	// PublishBacklog states the waiting work to the entries while room is short.
	PublishBacklog bool
}

var errNoLease = errors.New("the planner's key has no lease")

// Host takes part in the election and runs the engine while this entry is planner.
// It is a kernel.Component.
type Host struct {
	options  Options
	cancel   context.CancelFunc
	done     chan struct{} // closed when run has returned
	stopping chan struct{} // closed by Stop

	// acquiredAt is the time at which the latest acquisition of the planner's key began, and
	// knewHolder reports whether any entry was recorded as a holder then. formerKept reports that
	// the former record of this entry's address, if there was one, was of a planner that keeps
	// suspensions. They are used by run only.
	acquiredAt             time.Time
	knewHolder, formerKept bool
	// panicDelay is the latest delay after a panic, 0 if the latest term did not panic. It is
	// used by run only.
	panicDelay time.Duration

	mu     sync.Mutex
	config *workflow.Config
	// evacuations are the requests in force, also while this entry is not planner.
	evacuations        []workflow.Evacuation
	evacuationsVersion uint64        // number of changes of evacuations
	recalledBelow      uint64        // no term with a lower epoch may go on
	term               *term         // nil while this entry is not planner
	pending            []store.Event // changes of records that the term has not processed
	wakeUp             chan struct{} // signals news to run and to the term; holds one signal
	// observed holds the present versions of the lease and agent records, by key.
	observed map[string]observedRecord
}

// New returns a Host that is not started.
func New(o Options) *Host {
	if o.Evacuations == nil {
		o.Evacuations = noEvacuations()
	}
	return &Host{options: o, done: make(chan struct{}), stopping: make(chan struct{}), wakeUp: make(chan struct{}, 1), observed: make(map[string]observedRecord)}
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

// Stop implements kernel.Component. It gives up the planner's lease, so that
// another entry can take over at once.
func (h *Host) Stop(ctx context.Context) error {
	close(h.stopping)
	select {
	case <-h.done:
	case <-ctx.Done():
	}
	h.cancel()
	return nil
}

// SetConfig sets the configuration that the engine uses from the next pass on.
func (h *Host) SetConfig(c *workflow.Config) {
	h.mu.Lock()
	h.config = c
	h.mu.Unlock()
	h.wake()
}

// wake signals wakeUp. It never blocks.
func (h *Host) wake() {
	select {
	case h.wakeUp <- struct{}{}:
	default:
	}
}

// enqueueEvents receives changes of records from the mirror and queues them for the
// term.
func (h *Host) enqueueEvents(events []store.Event) {
	defer h.wake()
	h.mu.Lock()
	defer h.mu.Unlock() // a panic is contained if a term has passed the changes to the mirror
	h.observeRecords(events)
	if h.term != nil {
		h.pending = append(h.pending, events...)
	}
}

// Planning reports whether this entry is planner.
func (h *Host) Planning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term != nil
}

// State returns the state of the planner for the debug dump.
func (h *Host) State() any {
	h.mu.Lock()
	t := h.term
	h.mu.Unlock()
	if t == nil {
		return map[string]any{"planning": false}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]any{
		"planning": true, "epoch": t.epoch, "engine": t.engine.Dump(time.Now()), "ended_job_retention_ms": h.options.EndedJobRetention.Milliseconds(),
	}
}

// run takes part in elections, and plans when elected, until the Host is stopped.
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
		var ended error
		began := time.Now()
		if epoch > 0 {
			ended = h.runTerm(ctx, lease, epoch)
			// The store deletes the key with the lease; tell the mirror now.
			h.options.Records.Apply([]store.Event{{Record: store.Record{Key: workflow.PlannerKey, Revision: epoch + 1}, Deleted: true}})
		}
		h.revokeLease(ctx, lease)
		switch {
		case errors.Is(ended, errPanicked):
			h.panicDelay = nextPanicDelay(h.panicDelay, time.Since(began))
			select {
			case <-time.After(h.panicDelay):
			case <-h.stopping:
			case <-ctx.Done():
			}
		case epoch > 0:
			h.panicDelay = 0
		}
	}
}

// nextPanicDelay returns the delay after a term of the given length that has panicked, if
// the term before it had the delay former, 0 for none.
func nextPanicDelay(former, length time.Duration) time.Duration {
	if former == 0 || length >= stableTerm {
		return minPanicDelay
	}
	return min(2*former, maxPanicDelay)
}

func (h *Host) isStopping() bool {
	select {
	case <-h.stopping:
		return true
	default:
		return false
	}
}

// waitForWake returns when it is woken, after the timeout, or when the Host is
// stopping or ctx is done.
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

// mayBecomePlanner reports whether this entry may become planner, and the revision
// of the planner's key to replace, 0 if there is none. A key of this entry's own was
// left by an earlier process, so it is replaced before its lease expires. A key without a
// lease is that of no planner, and would stay for ever.
func (h *Host) mayBecomePlanner() (revision uint64, vacant bool) {
	if !h.options.Records.Synced() {
		return 0, false
	}
	r, held := h.options.Records.Get(workflow.PlannerKey)
	if !held {
		return 0, true
	}
	if r.Lease == 0 {
		workflow.ReportUnreadable(r.Key, errNoLease)
		return r.Revision, true
	}
	p, err := workflow.Decode[workflow.PlannerRecord](r.Value)
	return r.Revision, err == nil && p.Entry == h.options.Entry
}

// acquireTerm tries to write the planner's key under a new lease, on the condition
// that the key still has the given revision, or does not exist if that is 0. The
// revision of the new key is the epoch of the term; epoch is 0 if another entry was
// faster. The caller must revoke the lease.
func (h *Host) acquireTerm(ctx context.Context, revision uint64) (lease, epoch uint64, err error) {
	h.acquiredAt, h.knewHolder, h.formerKept = time.Now(), false, true
	h.options.Records.Each(workflow.HolderPrefix, func(r store.Record) {
		h.knewHolder = true
		if r.Key == workflow.HolderPrefix+h.options.Address {
			h.formerKept = keepsSuspensions(r)
		}
	})
	lease, err = h.options.Table.Grant(ctx, h.options.LeaseDuration)
	if err != nil {
		return 0, 0, err
	}
	if time.Since(h.acquiredAt) > h.options.LeaseDuration/renewalsPerLease {
		// The store is so slow that the lease could end before the first renewal of the term arrives.
		go func() {
			_ = kernel.Contain("lease renewal", func() error { return h.options.Table.Renew(ctx, lease) })
		}()
	}
	record := workflow.Encode(workflow.PlannerRecord{Entry: h.options.Entry, Address: h.options.Address, KeepsSuspensions: h.formerKept})
	outcome, err := h.options.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: workflow.PlannerKey, Revision: revision}},
		Puts: []store.Put{
			{Key: workflow.PlannerKey, Lease: lease, Value: record},
			{Key: workflow.HolderPrefix + h.options.Address, Value: record},
		},
	})
	if err != nil {
		// The key may have been written. It is deleted with the lease.
		h.revokeLease(ctx, lease)
		return 0, 0, err
	}
	if !outcome.Committed {
		if _, exists := outcome.Current[workflow.PlannerKey]; !exists && revision > 0 {
			// The key was deleted with its lease, and the mirror does not know yet.
			h.options.Records.Apply([]store.Event{{Record: store.Record{Key: workflow.PlannerKey, Revision: revision + 1}, Deleted: true}})
		}
		for _, r := range outcome.Current {
			h.options.Records.Apply([]store.Event{{Record: r}})
		}
		return lease, 0, nil
	}
	h.options.Records.Apply([]store.Event{{Record: store.Record{
		Key: workflow.PlannerKey, Lease: lease, Revision: outcome.Revision, Value: record,
	}}})
	return lease, outcome.Revision, nil
}

// revokeLease revokes a lease in the store; 0 means none. If that fails, the lease
// expires.
func (h *Host) revokeLease(ctx context.Context, lease uint64) {
	if lease == 0 {
		return
	}
	if err := h.options.Table.Revoke(context.WithoutCancel(ctx), lease); err != nil {
		log.WithFields(log.Fields{"event": "lease_not_ended", "lease": lease, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("planner lease could not be revoked; it will expire")
	}
}

// runTerm runs a planner's term until it ends: the lease is lost, another planner
// has taken over, the engine has failed, or the Host is stopping. It returns why.
func (h *Host) runTerm(parent context.Context, lease, epoch uint64) error {
	ctx, endTerm := context.WithCancelCause(parent)
	defer endTerm(nil)
	t, began := newTerm(h, lease, epoch, endTerm), time.Now()
	if !h.acquiredAt.IsZero() {
		t.renewedAt = h.acquiredAt
	}
	h.mu.Lock()
	if epoch < h.recalledBelow {
		h.mu.Unlock()
		return errReplaced
	}
	h.term, h.pending = t, nil
	h.mu.Unlock()
	log.WithFields(log.Fields{"event": "planner_term", "epoch": epoch, "lease": lease}).Info("this entry has become planner")
	kernel.Metrics.Count("snipegw_planner_terms_total")
	ended := make(chan struct{})
	go func() {
		select {
		case <-h.stopping:
			endTerm(errStopping)
		case <-ended:
		}
	}()
	t.guard("planner term", func() { t.run(ctx) })
	close(ended)
	t.clearEvacuationMetrics()
	h.mu.Lock()
	h.term, h.pending = nil, nil
	h.mu.Unlock()
	reason := "stopped"
	if cause := context.Cause(ctx); cause != nil {
		reason = cause.Error()
	}
	kernel.Metrics.Count("snipegw_planner_terms_ended_total", "reason", reason)
	log.WithFields(log.Fields{"event": "planner_term_ended", "epoch": epoch, "reason": reason, "took_ms": time.Since(began).Milliseconds()}).Info("this entry is no longer planner")
	return context.Cause(ctx)
}
