package planner

import (
	"context"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
)

const (
	// backlogInterval is the interval between two statements of the backlog. Objectives of
	// callers are seconds, and each statement is a call of the store and reaches every entry.
	backlogInterval = 2 * time.Second
	// backlogTimeout is the timeout of storing a statement. A later one is of no use.
	backlogTimeout = time.Second
)

// publishBacklog stores the planner's statement of the waiting work at intervals, while
// entries should know it. It does not delay the passes. If a statement is lost, the next
// one follows, and entries accept what they know nothing of.
func (t *term) publishBacklog(ctx context.Context) {
	var published time.Time // zero before the first statement of the term: earlier ones went with their lease
	for ctx.Err() == nil {
		kernel.Sleep(ctx, backlogInterval)
		now := time.Now()
		var b *workflow.Backlog
		var relevant bool
		t.locked(func() { b, relevant = t.engine.Backlog(now, published) })
		if relevant && ctx.Err() == nil && t.storeBacklog(ctx, b) {
			published = now
		}
	}
}

// storeBacklog stores a statement under the planner's lease and on the condition that this
// term goes on. It reports whether the statement is stored.
func (t *term) storeBacklog(ctx context.Context, b *workflow.Backlog) bool {
	ctx, cancel := context.WithTimeout(ctx, backlogTimeout)
	defer cancel()
	value := workflow.Encode(b)
	outcome, err := t.host.options.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: workflow.PlannerKey, Revision: t.epoch}},
		Puts:       []store.Put{{Key: workflow.BacklogKey, Value: value, Lease: t.lease}},
	})
	stored := err == nil && outcome.Committed
	fields := log.Fields{"event": "backlog_published", "epoch": t.epoch, "bytes": len(value), "stored": stored, "code": int(result.CodeOf(err))}
	log.WithFields(fields).Info("room is short; the waiting work is stated to the entries")
	kernel.Metrics.Count("snipegw_backlog_statements_total", "stored", map[bool]string{true: "yes", false: "no"}[stored])
	return stored
}
