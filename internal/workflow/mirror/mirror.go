// Package mirror keeps a copy of all records below a prefix of the store up to
// date by list and watch.
package mirror

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
)

const (
	// watchWait limits the wait of a watch for a change. It is short, since a
	// waiting watch does not reveal whether the store can be reached.
	watchWait = time.Second
	// watchDelay is the delay between watches, so that changes in quick succession
	// are read by one call.
	watchDelay = 30 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 100 * time.Millisecond
	// probeWait and probeTimeout are the wait and the timeout of a watch after a
	// failed one, so that the recovery of the store is noticed soon. The timeout
	// covers a store that is sixty times slower than usual.
	probeWait    = 10 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
)

// Listener receives batches of changes. The revisions of a record increase from
// one change to the next. It must not block.
type Listener func([]store.Event)

// Mirror is a copy of the records below a prefix.
type Mirror struct {
	table        store.Table
	prefix       string
	records      sync.Map     // key -> store.Record
	lastResponse atomic.Int64 // time of the last response of the store, as returned by monotonic
	synced       atomic.Bool
	storeLost    bool       // the last call failed; used by Run only
	mu           sync.Mutex // serialises Apply and Listen
	listeners    []Listener
}

// New returns a Mirror of the records below prefix.
func New(table store.Table, prefix string) *Mirror {
	return &Mirror{table: table, prefix: prefix}
}

// Listen adds a listener, and first passes it the current records as changes.
func (m *Mirror) Listen(l Listener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var events []store.Event
	m.records.Range(func(_, v any) bool {
		events = append(events, store.Event{Record: v.(store.Record)})
		return true
	})
	m.listeners = append(m.listeners, l)
	if len(events) > 0 {
		l(events)
	}
}

// Get returns the copy of a record, and whether there is one.
func (m *Mirror) Get(key string) (store.Record, bool) {
	v, ok := m.records.Load(key)
	if !ok {
		return store.Record{}, false
	}
	return v.(store.Record), true
}

// Each calls f for every record below prefix.
func (m *Mirror) Each(prefix string, f func(store.Record)) {
	m.records.Range(func(k, v any) bool {
		if strings.HasPrefix(k.(string), prefix) {
			f(v.(store.Record))
		}
		return true
	})
}

// Synced reports whether the records have been listed at least once.
func (m *Mirror) Synced() bool { return m.synced.Load() }

// Age returns the time since the last response of the store.
func (m *Mirror) Age() time.Duration { return time.Duration(monotonic() - m.lastResponse.Load()) }

var processStart = time.Now()

// monotonic returns the nanoseconds since the process started.
func monotonic() int64 { return int64(time.Since(processStart)) }

// Apply applies changes that this process has read or made itself to the copy,
// and passes those that are newer than the copy to the listeners.
func (m *Mirror) Apply(events []store.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newer := events[:0:0]
	for _, e := range events {
		if old, ok := m.Get(e.Key); ok && old.Revision >= e.Revision {
			continue
		} else if !ok && e.Deleted {
			continue
		}
		if e.Deleted {
			m.records.Delete(e.Key)
		} else {
			m.records.Store(e.Key, e.Record)
		}
		newer = append(newer, e)
	}
	if len(newer) == 0 {
		return
	}
	for _, l := range m.listeners {
		l(newer)
	}
}

// Run lists the records and watches for changes until ctx ends. A call of the store that panics
// counts as failed. A panic of a listener ends the process: the listener would not get the changes
// again, and may hold only a part of them.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := m.replaceAll(ctx)
		m.recordResult(ctx, err)
		if err != nil {
			kernel.Sleep(ctx, retryDelay)
			continue
		}
		m.watchChanges(ctx, revision)
	}
}

// watchChanges watches from revision until ctx ends or the store has dropped
// changes that were not read yet. After a failed watch it continues from the
// same revision.
func (m *Mirror) watchChanges(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		next, err := m.watchOnce(ctx, revision)
		if errors.Is(err, store.ErrCompacted) {
			log.WithFields(log.Fields{"event": "store_history_dropped", "prefix": m.prefix, "revision": revision}).Warn("the store has dropped changes that were not read: listing its records again")
			return
		}
		m.recordResult(ctx, err)
		if err != nil {
			kernel.Sleep(ctx, retryDelay)
			continue
		}
		revision = next
		kernel.Sleep(ctx, watchDelay)
	}
}

// recordResult records whether the last call failed, and logs when the store
// becomes unreadable and readable again.
func (m *Mirror) recordResult(ctx context.Context, err error) {
	switch {
	case err != nil && !m.storeLost && ctx.Err() == nil:
		m.storeLost = true
		log.WithFields(log.Fields{"event": "store_lost", "prefix": m.prefix, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("the store cannot be read: retrying until it responds")
	case err == nil && m.storeLost:
		m.storeLost = false
		log.WithFields(log.Fields{"event": "store_regained", "prefix": m.prefix}).Info("the store can be read again")
	}
}

// watchOnce waits for changes after a revision, applies them and returns the
// revision to continue from. After a failed call it only probes the store.
func (m *Mirror) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	wait := watchWait
	if m.storeLost {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		wait = probeWait
	}
	var events []store.Event
	var revision uint64
	err := kernel.Contain("store watch", func() (err error) {
		events, revision, err = m.table.Changes(ctx, m.prefix, after, wait)
		return err
	})
	if err != nil {
		return 0, err
	}
	m.lastResponse.Store(monotonic())
	m.Apply(events)
	return revision, nil
}

// replaceAll lists the records of the store, replaces the copy by them and
// returns the revision to watch from. Records of the copy that are newer than
// the list are kept.
func (m *Mirror) replaceAll(ctx context.Context) (uint64, error) {
	var records []store.Record
	var revision uint64
	err := kernel.Contain("store list", func() (err error) {
		records, revision, err = m.table.List(ctx, m.prefix)
		return err
	})
	if err != nil {
		return 0, err
	}
	m.lastResponse.Store(monotonic())
	present := make(map[string]bool, len(records))
	events := make([]store.Event, 0, len(records))
	for _, r := range records {
		present[r.Key] = true
		events = append(events, store.Event{Record: r})
	}
	m.records.Range(func(k, v any) bool {
		if old := v.(store.Record); !present[old.Key] && old.Revision <= revision {
			events = append(events, store.Event{Record: store.Record{Key: old.Key, Revision: max(revision, old.Revision+1)}, Deleted: true})
		}
		return true
	})
	m.Apply(events)
	m.synced.Store(true)
	return revision, nil
}
