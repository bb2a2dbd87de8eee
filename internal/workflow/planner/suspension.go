package planner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
)

const (
	// suspendAfter is the time without an answer of an agent, from the first call that has failed,
	// after which the lease of its worker is suspended. An agent that restarts on a sound machine
	// answers sooner.
	suspendAfter = 700 * time.Millisecond
	// suspensionInterval is the interval at which suspensions are stored and withdrawn.
	suspensionInterval = 250 * time.Millisecond
	// maxStoreSilence is the age of the store's latest response from which on no lease is suspended.
	// While the store is away a suspension cannot be withdrawn, and the worker may answer again.
	maxStoreSilence = 1500 * time.Millisecond
	// suspensionsPerTxn leaves one entry for the condition on the planner's key. Each suspension takes a
	// condition and a put.
	suspensionsPerTxn = (store.MaxTxnEntries - 1) / 2
)

// suspension is what a term knows of the lease record of a node.
type suspension struct {
	revision  uint64 // of the record, 0 if there is none
	suspended bool   // as stored
	wanted    bool
	// unsure reports that a write with the present revision in its condition has had no answer and may
	// still be carried out. The next successful write rules that out.
	unsure bool
	// distrusted reports that the record says that the lease is suspended, and that a planner of an
	// earlier version may have extended it since.
	distrusted bool
}

// isDue reports whether the record has to be written.
func (s *suspension) isDue() bool { return s.unsure || s.suspended != s.wanted }

// keepsSuspensions reports whether the holder record r is of a planner that keeps suspensions.
func keepsSuspensions(r store.Record) bool {
	p, err := workflow.Decode[workflow.PlannerRecord](r.Value)
	return err == nil && p.KeepsSuspensions
}

// inheritSuspensions passes the suspensions in the records of the store to the engine, before any
// lease is extended. If a planner of an earlier version, which does not know them, may have extended
// leases since, they say nothing of the past and are withdrawn. t.mu is held.
func (t *term) inheritSuspensions(records []store.Record, now time.Time) {
	kept := t.knewHolder && t.formerKept
	for _, r := range records {
		if strings.HasPrefix(r.Key, workflow.HolderPrefix) && r.Key != workflow.HolderPrefix+t.host.options.Address {
			kept = kept && keepsSuspensions(r)
		}
	}
	for _, r := range records {
		if !strings.HasPrefix(r.Key, workflow.LeasePrefix) {
			continue
		}
		node := workflow.IDOfKey(r.Key)
		l, err := workflow.DecodeLease(node, r.Value)
		if err != nil {
			workflow.ReportUnreadable(r.Key, err)
			continue
		}
		t.suspensions[node] = &suspension{revision: r.Revision, suspended: l.Suspended, wanted: l.Suspended && kept, distrusted: l.Suspended && !kept}
		if !l.Suspended {
			continue
		}
		since := time.Time{}
		if kept {
			since = t.host.recordSeen(r, now)
		}
		t.engine.InheritSuspension(node, since, now)
	}
}

// withdrawalsStored reports whether all suspensions that this term does not trust are withdrawn.
func (t *term) withdrawalsStored() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspensions {
		if s.distrusted {
			return false
		}
	}
	return true
}

// noteUnanswered notes a failed call to the agent of a node.
func (t *term) noteUnanswered(node string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.unansweredSince[node]; !ok {
		t.unansweredSince[node] = now
	}
	t.engine.NoteUnanswered(node)
}

// followLostAgents suspends the leases of workers whose agents do not answer, extends those of agents
// that answer again, and confirms the statements of agents that have stopped, until the term ends.
func (t *term) followLostAgents(ctx context.Context) {
	for ctx.Err() == nil {
		t.selectSuspensions(time.Now(), t.host.options.Records.Age())
		t.storeSuspensions(ctx)
		t.confirmStoppedAgents(ctx)
		timer := time.NewTimer(suspensionInterval)
		select {
		case <-timer.C:
		case <-t.suspensionsChanged:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// selectSuspensions decides which leases are to be suspended and which to be extended again. The
// engine does not extend the former from now on, and extends the latter once that is stored. The
// argument storeSilence is the age of the store's latest response.
func (t *term) selectSuspensions(now time.Time, storeSilence time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node, since := range t.unansweredSince {
		if now.Sub(since) < suspendAfter || storeSilence > maxStoreSilence || !t.engine.SuspendLease(node, now) {
			continue
		}
		s := t.suspensions[node]
		if s == nil {
			s = new(suspension)
			t.suspensions[node] = s
		}
		s.wanted = true
		kernel.Metrics.Count("snipegw_lease_suspensions_total")
		log.WithFields(log.Fields{"event": "lease_suspended", "node": node, "epoch": t.epoch, "unanswered_ms": now.Sub(since).Milliseconds()}).Warn("the agent does not answer; the lease of its worker is no longer extended")
	}
	for node, s := range t.suspensions {
		if s.wanted && t.engine.MayResume(node) {
			s.wanted = false
		}
	}
}

// storeSuspensions stores the suspensions that are due. Those without an answer are due again.
func (t *term) storeSuspensions(ctx context.Context) {
	var due []string
	t.locked(func() {
		for node, s := range t.suspensions {
			if s.isDue() {
				due = append(due, node)
			}
		}
	})
	slices.Sort(due)
	for chunk := range slices.Chunk(due, suspensionsPerTxn) {
		t.storeSuspensionsOf(ctx, chunk)
	}
}

// storeSuspensionsOf stores the suspensions of some nodes in one transaction.
func (t *term) storeSuspensionsOf(ctx context.Context, nodes []string) {
	txn := store.Txn{Conditions: []store.Condition{{Key: workflow.PlannerKey, Revision: t.epoch}}}
	wanted := make(map[string]bool, len(nodes))
	t.locked(func() {
		for _, node := range nodes {
			s, key := t.suspensions[node], workflow.LeasePrefix+node
			txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Revision: s.revision})
			txn.Puts = append(txn.Puts, store.Put{Key: key, Value: workflow.Encode(workflow.LeaseRecord{Suspended: s.wanted})})
			wanted[node], s.unsure = s.wanted, true
		}
	})
	outcome, err := t.host.options.Table.Commit(ctx, txn)
	if err != nil {
		log.WithFields(log.Fields{"event": "suspensions_unconfirmed", "epoch": t.epoch, "nodes": len(nodes), "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("outcome of a transaction is unknown; repeating it")
		return
	}
	if !outcome.Committed && outcome.Current[workflow.PlannerKey].Revision != t.epoch {
		t.endTerm(errReplaced)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		s := t.suspensions[node]
		if outcome.Committed {
			s.revision, s.suspended, s.unsure = outcome.Revision, wanted[node], false
		} else if r := outcome.Current[workflow.LeasePrefix+node]; r.Revision != s.revision {
			// An earlier attempt has taken effect, which was the only one to find its condition.
			l, err := workflow.DecodeLease(node, r.Value)
			s.revision, s.suspended, s.unsure = r.Revision, err == nil && l.Suspended, err != nil
		}
		if !s.isDue() && !s.wanted {
			s.distrusted = false
			t.engine.ResumeLease(node)
			log.WithFields(log.Fields{"event": "lease_resumed", "node": node, "epoch": t.epoch}).Info("the lease of the worker is extended again")
		}
	}
}
