package members

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// retainDead is the time for which a dead worker or entry stays in the
	// table, so that operators see it and late messages of it are recognised.
	retainDead = time.Minute
	// overdue is the silence after which a home entry reports a worker as
	// silent: one heartbeat interval and half of one for delays.
	overdue = HeartbeatInterval + HeartbeatInterval/2
	// refreshInterval is the time between refreshes of LastSeen in the view.
	refreshInterval = time.Second
)

// record is the table's own state of a worker, guarded by Table.mu.
type record struct {
	state    wire.WorkerState
	home     string
	lastSeen time.Time
	health   Health
	// change is the value of Table.changes at the last change that other
	// entries must learn.
	change uint64
	// published is the value in the current View; nil if out of date.
	published *Worker
}

// Table holds what an entry knows of workers and entries. Its methods take the
// time as an argument. Readers use View, which takes no lock.
type Table struct {
	self string

	mu      sync.Mutex
	workers map[string]*record
	peers   map[string]*peer
	changes uint64
	dirty   bool
	// refreshed is when LastSeen of all workers was last made visible.
	refreshed time.Time
	signal    chan struct{}

	current atomic.Pointer[published]
}

type published struct {
	view    *View
	changed chan struct{}
}

// NewTable returns the table of the entry self.
func NewTable(self wire.EntryInfo, now time.Time) *Table {
	t := &Table{
		self:    self.ID,
		workers: make(map[string]*record),
		peers:   make(map[string]*peer),
		signal:  make(chan struct{}, 1),
	}
	t.peers[self.ID] = &peer{entry: Entry{Info: self, LastSeen: now, Health: Alive}, gotFull: true}
	t.current.Store(&published{view: &View{}, changed: make(chan struct{})})
	t.dirty = true
	t.Publish()
	return t
}

// View implements Membership.
func (t *Table) View() *View { return t.current.Load().view }

// Changed implements Membership.
func (t *Table) Changed() <-chan struct{} { return t.current.Load().changed }

// Dirty receives a value when Publish has something to do.
func (t *Table) Dirty() <-chan struct{} { return t.signal }

func (t *Table) markDirty() {
	t.dirty = true
	select {
	case t.signal <- struct{}{}:
	default:
	}
}

// Publish makes the changes so far visible in View.
func (t *Table) Publish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish()
}

func (t *Table) publish() {
	old := t.current.Load()
	view := &View{
		Generation: old.view.Generation,
		Workers:    make(map[string]*Worker, len(t.workers)),
		Entries:    make(map[string]*Entry, len(t.peers)),
	}
	for id, r := range t.workers {
		if r.published == nil {
			r.published = &Worker{State: r.state, Home: r.home, LastSeen: r.lastSeen, Health: r.health}
		}
		view.Workers[id] = r.published
	}
	for id, p := range t.peers {
		e := p.entry
		view.Entries[id] = &e
	}
	if !t.dirty {
		t.current.Store(&published{view: view, changed: old.changed})
		return
	}
	t.dirty = false
	view.Generation++
	t.current.Store(&published{view: view, changed: make(chan struct{})})
	close(old.changed)
}

// changed notes a change of r that other entries must learn.
func (t *Table) changed(r *record) {
	t.changes++
	r.change = t.changes
	r.published = nil
	t.markDirty()
}

// seen notes a sign of life of r.
func (t *Table) seen(r *record, at, now time.Time) {
	r.lastSeen = at
	if h := healthAt(at, now); h != r.health {
		r.health = h
		r.published = nil
		t.markDirty()
	}
}

func healthAt(lastSeen, now time.Time) Health {
	switch silence := now.Sub(lastSeen); {
	case silence >= DeadAfter:
		return Dead
	case silence >= SuspectAfter:
		return Suspect
	}
	return Alive
}

// Heartbeat applies a heartbeat of an agent. It reports whether the agent must
// send its full state. The error result.StaleIncarnation tells an agent that
// its worker has a newer one.
func (t *Table) Heartbeat(now time.Time, hb *wire.Heartbeat) (needState bool, err error) {
	if err := checkHeartbeat(hb); err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.workers[hb.Worker]
	if r != nil && hb.Incarnation < r.state.Incarnation {
		return false, result.Errorf(result.StaleIncarnation,
			"worker %s has the newer incarnation %s", hb.Worker, r.state.Incarnation)
	}
	if hb.State == nil && (r == nil || hb.Incarnation != r.state.Incarnation || hb.Seq > r.state.Seq) {
		return true, nil
	}
	if r == nil {
		r = &record{}
		t.workers[hb.Worker] = r
	}
	if hb.State != nil && newerState(&r.state, hb.State) {
		r.state = *hb.State
		t.changed(r)
	}
	if r.home != t.self {
		r.home = t.self
		t.changed(r)
	}
	at := now
	if hb.Leaving {
		at = now.Add(-SuspectAfter)
	}
	t.seen(r, at, now)
	return false, nil
}

func checkHeartbeat(hb *wire.Heartbeat) error {
	if hb.Worker == "" || hb.Incarnation == "" {
		return result.Errorf(result.BadRequest, "heartbeat without worker or incarnation")
	}
	s := hb.State
	if s != nil && (s.Worker.ID != hb.Worker || s.Incarnation != hb.Incarnation || s.Seq != hb.Seq) {
		return result.Errorf(result.BadRequest, "heartbeat of %s carries the state of another worker, incarnation or seq", hb.Worker)
	}
	return nil
}

// newerState reports whether next replaces have: a newer incarnation does, and
// within an incarnation a higher sequence number.
func newerState(have, next *wire.WorkerState) bool {
	if next.Incarnation != have.Incarnation {
		return next.Incarnation > have.Incarnation
	}
	return next.Seq > have.Seq
}

// Tick advances health by silence, drops what has been dead for retainDead, and
// refreshes LastSeen in the view.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refresh := now.Sub(t.refreshed) >= refreshInterval
	for id, r := range t.workers {
		if now.Sub(r.lastSeen) > DeadAfter+retainDead {
			delete(t.workers, id)
			t.markDirty()
			continue
		}
		t.seen(r, r.lastSeen, now)
		if refresh && r.published != nil && r.published.LastSeen != r.lastSeen {
			r.published = nil
		}
	}
	t.tickPeers(now)
	if refresh {
		t.refreshed = now
	}
	if refresh || t.dirty {
		t.publish()
	}
}

// ownWorkers is what an entry tells a peer of the workers whose home it is.
type ownWorkers struct {
	states []wire.WorkerState
	silent []wire.SilentWorker // the overdue ones
	hash   uint64              // identifies the set of all of them, see homeHash
	next   uint64              // the value of since for the next call
}

// own returns the workers whose home is this entry, with the states of those
// that changed after since (of all if full).
func (t *Table) own(now time.Time, since uint64, full bool) ownWorkers {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := ownWorkers{next: t.changes}
	for id, r := range t.workers {
		if r.home != t.self {
			continue
		}
		o.hash ^= xxhash.Sum64String(id)
		if full || r.change > since {
			o.states = append(o.states, r.state)
		}
		if age := now.Sub(r.lastSeen); age > overdue {
			o.silent = append(o.silent, wire.SilentWorker{Worker: id, AgeMS: age.Milliseconds()})
		}
	}
	return o
}

// homeHash identifies the set of workers whose home is the given entry, in any
// order.
func (t *Table) homeHash(entry string) uint64 {
	var h uint64
	for id, r := range t.workers {
		if r.home == entry {
			h ^= xxhash.Sum64String(id)
		}
	}
	return h
}

// Counts returns the number of known workers by home entry.
func (t *Table) Counts() map[string]int {
	counts := make(map[string]int)
	for _, w := range t.View().Workers {
		counts[w.Home]++
	}
	return counts
}
