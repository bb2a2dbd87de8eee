package planner

import (
	"context"
	"time"

	"github.com/apex/log"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
)

// closing is the stored closing of a job id without a job.
type closing struct {
	revision uint64
	knownAt  time.Time // when this term learned of it; ClosedMS is of another process's time of day
}

// closingsPerTxn is the largest number of closings that one transaction removes. Each takes
// a condition and a delete; one entry is left for the condition on the planner's key.
const closingsPerTxn = (store.MaxTxnEntries - 1) / 2

// removeOutdatedClosings deletes closings that this term has known for ClosingRetention and that were not
// replaced. If that fails, a later call tries again.
func (t *term) removeOutdatedClosings(ctx context.Context) {
	outdated := t.outdatedClosings(time.Now())
	if len(outdated) == 0 {
		return
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: workflow.PlannerKey, Revision: t.epoch}}}
	for id, c := range outdated {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: workflow.JobPrefix + id, Revision: c.revision})
		txn.Deletes = append(txn.Deletes, workflow.JobPrefix+id)
	}
	outcome, err := t.host.options.Table.Commit(ctx, txn)
	if err != nil {
		log.WithFields(log.Fields{"event": "closings_not_removed", "closings": len(outdated), "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("closings of job ids could not be removed; will be tried again")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range outdated {
		// A closing that was removed or replaced makes the transaction fail for the others.
		gone := outcome.Committed || outcome.Current[workflow.JobPrefix+id].Revision != c.revision
		if gone && t.closings[id] == c {
			delete(t.closings, id)
		}
	}
}

// outdatedClosings returns up to closingsPerTxn closings that are to be removed.
func (t *term) outdatedClosings(now time.Time) map[string]closing {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]closing)
	for id, c := range t.closings {
		if len(out) < closingsPerTxn && now.Sub(c.knownAt) >= t.host.options.ClosingRetention {
			out[id] = c
		}
	}
	return out
}
