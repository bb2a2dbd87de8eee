package planner

import (
	"context"
	"strings"
	"sync"
	"time"

	"snipegw/internal/store"
	"snipegw/internal/workflow"
)

// observedRecord is the version of a record that this entry has seen, and when it saw it first.
type observedRecord struct {
	revision uint64
	at       time.Time
}

// observeRecords notes when this entry sees a version of a lease or agent record first, also while it
// is not planner. h.mu is held.
func (h *Host) observeRecords(events []store.Event) {
	for _, e := range events {
		if strings.HasPrefix(e.Key, workflow.LeasePrefix) || strings.HasPrefix(e.Key, workflow.AgentPrefix) {
			h.observed[e.Key] = observedRecord{revision: e.Revision, at: time.Now()}
		}
	}
}

// recordSeen returns when this entry has first seen the version of a record, at the latest now.
func (h *Host) recordSeen(r store.Record, now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o := h.observed[r.Key]; o.revision == r.Revision {
		return o.at
	}
	return now
}

// confirmStoppedAgents reads the records of stopped agents whose workers' leases have ended if no
// other process of the agent has come since. The mirror may be older than that.
func (t *term) confirmStoppedAgents(ctx context.Context) {
	var due map[string]uint64
	t.locked(func() { due = t.engine.StoppedAgentsDue(time.Now()) })
	var wg sync.WaitGroup
	for node, revision := range due {
		wg.Go(func() { t.guard("stopped agents", func() { t.confirmStoppedAgent(ctx, node, revision) }) })
	}
	wg.Wait()
	if len(due) > 0 {
		t.host.wake()
	}
}

// confirmStoppedAgent reads the record of one stopped agent, and passes it to the engine if it has
// the given revision.
func (t *term) confirmStoppedAgent(ctx context.Context, node string, revision uint64) {
	at := time.Now()
	r, found, err := t.host.options.Table.Lookup(ctx, workflow.AgentPrefix+node)
	if err != nil || !found || r.Revision != revision {
		return
	}
	t.locked(func() { t.engine.ConfirmAgentStopped(node, revision, at) })
}
