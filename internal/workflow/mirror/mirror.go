// Package mirror keeps a copy of a part of the store up to date by list and
// watch.
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
	// watchWait is the time for which a watch waits for a change. A watch that
	// waits does not show whether the store can be reached, so it is kept short.
	watchWait = time.Second
	// watchPause separates watches, so that changes that follow each other within
	// it cost one call.
	watchPause = 30 * time.Millisecond
	// retryPause follows a failed call.
	retryPause = 100 * time.Millisecond
	// probeWait and probeLimit bound a watch after one that failed, so that the
	// return of the store is noticed soon. The limit covers a store that is sixty
	// times slower than usual.
	probeWait  = 10 * time.Millisecond
	probeLimit = 400 * time.Millisecond
)

// Listener takes changes in the order of their revisions. It must not block.
type Listener func([]store.Event)

// Mirror is a copy of the records below a prefix.
type Mirror struct {
	table     store.Table
	prefix    string
	records   sync.Map // key -> store.Record
	contact   atomic.Int64
	synced    atomic.Bool
	lost      bool       // the store cannot be read; used by Run only
	mu        sync.Mutex // serialises changes
	listeners []Listener
}

// New returns a Mirror of the records below prefix.
func New(table store.Table, prefix string) *Mirror {
	return &Mirror{table: table, prefix: prefix}
}

// Listen adds a listener and gives it the present records as changes.
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

// Get returns the copy of a record.
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

// Synced reports whether the records have been listed once.
func (m *Mirror) Synced() bool { return m.synced.Load() }

// Age returns the time since the store last answered.
func (m *Mirror) Age() time.Duration { return time.Duration(monotonic() - m.contact.Load()) }

var started = time.Now()

func monotonic() int64 { return int64(time.Since(started)) }

// Apply takes in changes that this process has made itself or read.
func (m *Mirror) Apply(events []store.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := events[:0:0]
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
		fresh = append(fresh, e)
	}
	if len(fresh) == 0 {
		return
	}
	for _, l := range m.listeners {
		l(fresh)
	}
}

// Run lists and watches until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := m.list(ctx)
		m.report(ctx, err)
		if err != nil {
			kernel.Sleep(ctx, retryPause)
			continue
		}
		m.follow(ctx, revision)
	}
}

// follow watches from revision until the store has dropped the changes in between
// or ctx ends. After a failed watch it continues where it broke off.
func (m *Mirror) follow(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		next, err := m.watch(ctx, revision)
		if errors.Is(err, store.ErrCompacted) {
			log.WithFields(log.Fields{"event": "store_history_dropped", "prefix": m.prefix, "revision": revision}).Warn("listing the store again")
			return
		}
		m.report(ctx, err)
		if err != nil {
			kernel.Sleep(ctx, retryPause)
			continue
		}
		revision = next
		kernel.Sleep(ctx, watchPause)
	}
}

// report logs when the store is lost and regained.
func (m *Mirror) report(ctx context.Context, err error) {
	switch {
	case err != nil && !m.lost && ctx.Err() == nil:
		m.lost = true
		log.WithFields(log.Fields{"event": "store_lost", "prefix": m.prefix, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("the store cannot be read")
	case err == nil && m.lost:
		m.lost = false
		log.WithFields(log.Fields{"event": "store_regained", "prefix": m.prefix}).Info("the store can be read again")
	}
}

// watch waits for changes. While the store is lost it only asks for them.
func (m *Mirror) watch(ctx context.Context, after uint64) (uint64, error) {
	wait := watchWait
	if m.lost {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeLimit)
		defer cancel()
		wait = probeWait
	}
	events, revision, err := m.table.Changes(ctx, m.prefix, after, wait)
	if err != nil {
		return 0, err
	}
	m.contact.Store(monotonic())
	m.Apply(events)
	return revision, nil
}

// list replaces the copy by the store's records.
func (m *Mirror) list(ctx context.Context) (uint64, error) {
	records, revision, err := m.table.List(ctx, m.prefix)
	if err != nil {
		return 0, err
	}
	m.contact.Store(monotonic())
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
