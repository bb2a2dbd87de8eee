package planner

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
)

// entriesPerChange is the number of transaction entries for one change: the
// conditions on the progress record and on the cancellation, and the put.
const entriesPerChange = 3

// changesPerTxn is the largest number of changes in one transaction. One entry is
// left for the condition on the planner's key.
const changesPerTxn = (store.MaxTxnEntries - 1) / entriesPerChange

// removalsPerTxn is the largest number of jobs that one transaction removes. Each
// takes a condition and three deletes; one entry is left for the condition on the
// planner's key.
const removalsPerTxn = (store.MaxTxnEntries - 1) / 4

// removeOutdatedJobs deletes the records of jobs that ended more than EndedJobRetention
// ago. If that fails, a later call tries again.
func (t *term) removeOutdatedJobs(ctx context.Context) {
	var jobs []engine.OutdatedJob
	t.locked(func() { jobs = t.engine.OutdatedJobs(time.Now(), t.host.options.EndedJobRetention, removalsPerTxn) })
	if len(jobs) == 0 {
		return
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: workflow.PlannerKey, Revision: t.epoch}}}
	for _, j := range jobs {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: workflow.ProgressPrefix + j.ID, Revision: j.Revision})
		txn.Deletes = append(txn.Deletes, workflow.JobPrefix+j.ID, workflow.CancelPrefix+j.ID, workflow.ProgressPrefix+j.ID)
	}
	outcome, err := t.host.options.Table.Commit(ctx, txn)
	if err == nil {
		t.locked(func() {
			for _, j := range jobs {
				// A job that was removed before, without an answer, makes the transaction fail for the others.
				if outcome.Committed || outcome.Current[workflow.ProgressPrefix+j.ID].Revision != j.Revision {
					t.engine.RemoveEndedJob(j.ID)
				}
			}
		})
	}
	if err != nil || !outcome.Committed {
		log.WithFields(log.Fields{"event": "jobs_not_removed", "jobs": len(jobs), "code": int(result.CodeOf(err))}).Warn("records of ended jobs could not be removed; will be tried again")
		return
	}
	youngest := slices.MinFunc(jobs, func(a, b engine.OutdatedJob) int { return cmp.Compare(a.Age, b.Age) })
	log.WithFields(log.Fields{
		"event": "jobs_removed", "epoch": t.epoch, "jobs": len(jobs), "keep_ms": t.host.options.EndedJobRetention.Milliseconds(),
		"youngest": youngest.ID, "age_ms": youngest.Age.Milliseconds(), "time_of_day_age_ms": youngest.TimeOfDayAge.Milliseconds(), "inherited": youngest.Inherited,
	}).Info("records of ended jobs removed")
}

// commitChanges stores the changes. It returns false if the term has ended, so
// that some may not be stored.
func (t *term) commitChanges(ctx context.Context, changes []engine.Change) bool {
	for i := range changes {
		changes[i] = t.limitStartDomains(changes[i])
	}
	for len(changes) > 0 {
		n := t.chunkSize(changes)
		if !t.commitChunk(ctx, changes[:n]) {
			return false
		}
		changes = changes[n:]
	}
	return ctx.Err() == nil
}

// commitChunk stores changes in one transaction, which it repeats until the outcome
// is known. It leaves out changes of jobs that were cancelled in the meantime, and
// ends the term if another planner has taken over. It returns false if the term has
// ended before all changes were stored.
func (t *term) commitChunk(ctx context.Context, changes []engine.Change) bool {
	values := make(map[string][]byte, len(changes))
	for _, c := range changes {
		values[c.ID] = workflow.Encode(c.Progress)
	}
	for len(changes) > 0 && ctx.Err() == nil {
		sentAt := time.Now()
		outcome, err := t.host.options.Table.Commit(ctx, t.buildTransaction(changes, values))
		switch {
		case err != nil:
			log.WithFields(log.Fields{"event": "records_unconfirmed", "epoch": t.epoch, "jobs": len(changes), "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("outcome of a transaction is unknown; repeating it")
			kernel.Sleep(ctx, retryDelay)
		case outcome.Committed:
			t.noteStoredStarts(changes, sentAt)
			t.markStored(changes, values, outcome.Revision)
			return true
		case outcome.Current[workflow.PlannerKey].Revision != t.epoch:
			t.endTerm(errReplaced)
			return false
		default:
			remaining, ok := t.resolveConflicts(changes, values, outcome.Current, sentAt)
			if !ok {
				t.endTerm(errReplaced)
				return false
			}
			changes = remaining
		}
	}
	return ctx.Err() == nil
}

// buildTransaction returns the transaction that stores the changes, on the
// conditions that this term still holds the planner's key, that the progress
// records are unchanged, that no open job was cancelled without the engine's knowledge,
// and that no failure domain is evacuated in which the changes start items.
func (t *term) buildTransaction(changes []engine.Change, values map[string][]byte) store.Txn {
	txn := store.Txn{Conditions: []store.Condition{{Key: workflow.PlannerKey, Revision: t.epoch}}}
	for _, c := range changes {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: workflow.ProgressPrefix + c.ID, Revision: c.Revision})
		if c.DependsOnCancel {
			txn.Conditions = append(txn.Conditions, store.Condition{Key: workflow.CancelPrefix + c.ID})
		}
		txn.Puts = append(txn.Puts, store.Put{Key: workflow.ProgressPrefix + c.ID, Value: values[c.ID]})
	}
	for _, key := range t.guardKeys(changes) {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key})
	}
	return txn
}

// markStored reports the revision of stored changes to the engine and the mirror.
func (t *term) markStored(changes []engine.Change, values map[string][]byte, revision uint64) {
	t.locked(func() {
		now := time.Now()
		for _, c := range changes {
			t.engine.MarkStored(c, revision, now)
		}
	})
	for _, c := range changes {
		t.updateMirror(c.ID, values[c.ID], revision)
	}
}

// updateMirror applies a stored progress record to the local mirror at once, instead
// of waiting until the store's watch delivers it.
func (t *term) updateMirror(id string, value []byte, revision uint64) {
	t.host.options.Records.Apply([]store.Event{{Record: store.Record{Key: workflow.ProgressPrefix + id, Value: value, Revision: revision}}})
}

// resolveConflicts handles a transaction whose conditions did not hold, given the
// current records of a transaction that was sent at sentAt, and returns the changes to
// try again. It returns false if another writer has changed a progress record.
func (t *term) resolveConflicts(changes []engine.Change, values map[string][]byte, current map[string]store.Record, sentAt time.Time) ([]engine.Change, bool) {
	var remaining []engine.Change
	t.logRefused(changes, current)
	evacuated := t.learnEvacuations(changes, current)
	for _, c := range changes {
		progress := current[workflow.ProgressPrefix+c.ID]
		_, cancelled := current[workflow.CancelPrefix+c.ID]
		switch {
		case progress.Revision != c.Revision && bytes.Equal(progress.Value, values[c.ID]):
			// An earlier attempt whose reply was lost has taken effect.
			t.noteStoredStarts([]engine.Change{c}, sentAt)
			t.locked(func() { t.engine.MarkStored(c, progress.Revision, time.Now()) })
			t.updateMirror(c.ID, progress.Value, progress.Revision)
		case progress.Revision != c.Revision:
			log.WithFields(log.Fields{"event": "record_conflict", "job": c.ID, "expected": c.Revision, "found": progress.Revision}).Error("another writer has changed a progress record; the term ends")
			return nil, false
		case cancelled && c.DependsOnCancel:
			log.WithFields(log.Fields{"event": "cancelled_before_record", "job": c.ID, "starts": c.HasNewRuns}).Info("job was cancelled before its changes were stored; new runs are retracted")
			t.locked(func() {
				t.engine.ReopenJob(c.ID)
				t.engine.CancelJob(c.ID, time.Now())
				t.engine.RetractStarts(c.ID, time.Now())
			})
		default:
			if domains := t.evacuatedDomains(c, evacuated); len(domains) > 0 {
				log.WithFields(log.Fields{"event": "evacuated_before_record", "job": c.ID, "failure_domains": strings.Join(domains, ",")}).Info("a failure domain was evacuated before runs in it were stored; they are retracted")
				// The change is kept without these runs: it may record ends that are acknowledged
				// after this pass.
				c = t.retractStarts(c, domains)
				values[c.ID] = workflow.Encode(c.Progress)
			}
			remaining = append(remaining, c)
		}
	}
	return remaining, true
}

// logRefused logs which conditions of the changes did not hold. The same job in the terms of several
// planners shows a conflict that stays in the store.
func (t *term) logRefused(changes []engine.Change, current map[string]store.Record) {
	var cancelled, changed []string
	for _, c := range changes {
		if _, found := current[workflow.CancelPrefix+c.ID]; found && c.DependsOnCancel {
			cancelled = append(cancelled, c.ID)
		}
		if current[workflow.ProgressPrefix+c.ID].Revision != c.Revision {
			changed = append(changed, c.ID)
		}
	}
	kernel.Metrics.Count("snipegw_records_refused_total")
	log.WithFields(log.Fields{"event": "records_refused", "epoch": t.epoch, "jobs": len(changes), "cancelled": strings.Join(cancelled, ","), "changed": strings.Join(changed, ",")}).Info("a transaction was refused, because the store holds other records than the planner knew")
}
