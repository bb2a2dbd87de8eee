package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/runner"
)

// registration records the addresses of a process in the store.
type registration struct {
	table  store.Table
	key    string
	record workflow.ProcessRecord

	// revision is that of the record once it is in the store, 0 before.
	revision atomic.Uint64
}

const registrationRetryDelay = 300 * time.Millisecond

// run retries until the record is in the store. An attempt that panics counts as failed: the next
// one looks the record up again.
func (g *registration) run(ctx context.Context) {
	value := workflow.Encode(g.record)
	for ctx.Err() == nil {
		var revision uint64
		err := kernel.Contain("registration", func() (err error) {
			revision, err = g.register(ctx, value)
			return err
		})
		if err == nil {
			g.revision.Store(revision)
			log.WithFields(log.Fields{"event": "registered", "key": g.key, "address": g.record.Address}).Info("the process is registered in the store")
			return
		}
		log.WithFields(log.Fields{"event": "not_registered", "key": g.key, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("the process is not registered in the store: retrying")
		kernel.Sleep(ctx, registrationRetryDelay)
	}
}

// register writes the record, unless the store already holds the same value, and returns its revision.
func (g *registration) register(ctx context.Context, value []byte) (uint64, error) {
	old, found, err := g.table.Lookup(ctx, g.key)
	if err != nil || found && string(old.Value) == string(value) {
		return old.Revision, err
	}
	out, err := g.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: g.key, Revision: old.Revision}},
		Puts:       []store.Put{{Key: g.key, Value: value}},
	})
	if err == nil && !out.Committed {
		return 0, fmt.Errorf("record %s was changed concurrently", g.key)
	}
	return out.Revision, err
}

// agentPresence is the component that registers an agent, lets planners call it from then on, and
// states in its record when it has stopped. A new process replaces that statement before it serves
// planners, so a planner that reads it knows that the worker's lease has not been extended since.
type agentPresence struct {
	registration
	runner *runner.Runner
	cancel context.CancelFunc

	mu      sync.Mutex
	stopped bool
}

// stopStatementTimeout limits the write of the statement. Without it, successors of a planner that is
// lost at the same time wait longer.
const stopStatementTimeout = time.Second

// Name implements kernel.Component.
func (a *agentPresence) Name() string { return "presence" }

// Start implements kernel.Component.
func (a *agentPresence) Start(ctx context.Context) error {
	ctx, a.cancel = context.WithCancel(ctx)
	go func() {
		a.run(ctx)
		a.mu.Lock()
		defer a.mu.Unlock()
		if ctx.Err() == nil && !a.stopped {
			a.runner.SetServing(true)
		}
	}()
	return nil
}

// Stop implements kernel.Component. A write that is carried out late finds the record of a new process
// and changes nothing.
func (a *agentPresence) Stop(ctx context.Context) error {
	a.cancel()
	a.mu.Lock()
	a.stopped = true
	a.runner.SetServing(false)
	a.mu.Unlock()
	revision := a.revision.Load()
	if revision == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopStatementTimeout)
	defer cancel()
	record := a.record
	record.Stopped = true
	_, err := a.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: a.key, Revision: revision}},
		Puts:       []store.Put{{Key: a.key, Value: workflow.Encode(record)}},
	})
	if err != nil {
		log.WithFields(log.Fields{"event": "stop_not_stated", "key": a.key, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("the store did not confirm that this agent has stopped")
	}
	return nil
}
