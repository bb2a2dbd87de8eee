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
	// deadRetention is the retention time of a dead worker or entry in the table. In this
	// time operators see it and late messages from it are recognized.
	deadRetention = time.Minute
	// silenceThreshold is the time without a heartbeat after which a home entry reports a
	// worker as silent: one heartbeat interval plus half of one for delays.
	silenceThreshold = HeartbeatInterval + HeartbeatInterval/2
	// lastSeenRefreshInterval is the minimum interval between two refreshes of LastSeen in
	// the view.
	lastSeenRefreshInterval = time.Second
)

// workerRecord is the state of a worker in a Table, guarded by Table.mu.
type workerRecord struct {
	state    wire.WorkerState
	home     string
	lastSeen time.Time
	health   Health
	// changeNumber is the value of Table.changes at the last change that must be sent to
	// other entries.
	changeNumber uint64
	// published is the Worker in the current View; nil if it is out of date.
	published *Worker
}

// Table holds what an entry knows of the workers and entries of its region. Its methods
// take the current time as an argument. View takes no lock.
type Table struct {
	self string

	mu      sync.Mutex
	workers map[string]*workerRecord
	peers   map[string]*peerRecord
	changes uint64 // number of changes of workers that must be sent to other entries
	dirty   bool   // the next view needs a new generation
	// lastRefresh is when LastSeen of all workers was last refreshed in the view.
	lastRefresh   time.Time
	publishNeeded chan struct{}

	current atomic.Pointer[publishedView]
}

// publishedView is a view with the channel that is closed when its generation ends.
type publishedView struct {
	view    *View
	changed chan struct{}
}

// NewTable returns the table of the entry self.
func NewTable(self wire.EntryInfo, now time.Time) *Table {
	t := &Table{
		self:          self.ID,
		workers:       make(map[string]*workerRecord),
		peers:         make(map[string]*peerRecord),
		publishNeeded: make(chan struct{}, 1),
	}
	t.peers[self.ID] = &peerRecord{entry: Entry{Info: self, LastSeen: now, Health: Alive}, hasFullUpdate: true}
	t.current.Store(&publishedView{view: &View{}, changed: make(chan struct{})})
	t.dirty = true
	t.Publish()
	return t
}

// View implements Membership.
func (t *Table) View() *View { return t.current.Load().view }

// Changed implements Membership.
func (t *Table) Changed() <-chan struct{} { return t.current.Load().changed }

// PublishNeeded returns a channel that receives a value when the view is out of date and
// Publish must be called.
func (t *Table) PublishNeeded() <-chan struct{} { return t.publishNeeded }

// markDirty records that the view is out of date and wakes the receiver of
// PublishNeeded.
func (t *Table) markDirty() {
	t.dirty = true
	select {
	case t.publishNeeded <- struct{}{}:
	default:
	}
}

// Publish makes all changes so far visible in View.
func (t *Table) Publish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publishLocked()
}

func (t *Table) publishLocked() {
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
		t.current.Store(&publishedView{view: view, changed: old.changed})
		return
	}
	t.dirty = false
	view.Generation++
	t.current.Store(&publishedView{view: view, changed: make(chan struct{})})
	close(old.changed)
}

// recordChange records that r has a change that must be sent to other entries.
func (t *Table) recordChange(r *workerRecord) {
	t.changes++
	r.changeNumber = t.changes
	r.published = nil
	t.markDirty()
}

// recordContact records that the last contact with r was at the time at, and updates its
// health.
func (t *Table) recordContact(r *workerRecord, at, now time.Time) {
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

// ApplyHeartbeat applies a heartbeat of an agent. It reports whether the agent must send
// its full state. It fails with result.StaleIncarnation if the worker has a newer
// incarnation of its agent.
func (t *Table) ApplyHeartbeat(now time.Time, hb *wire.Heartbeat) (needState bool, err error) {
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
		r = &workerRecord{}
		t.workers[hb.Worker] = r
	}
	if hb.State != nil && isNewerState(&r.state, hb.State) {
		r.state = *hb.State
		t.recordChange(r)
	}
	if r.home != t.self {
		r.home = t.self
		t.recordChange(r)
	}
	at := now
	if hb.Leaving {
		// A worker whose agent stops must receive no new work: it is suspect at once.
		at = now.Add(-SuspectAfter)
	}
	t.recordContact(r, at, now)
	return false, nil
}

func checkHeartbeat(hb *wire.Heartbeat) error {
	if hb.Worker == "" || hb.Incarnation == "" {
		return result.Errorf(result.BadRequest, "the heartbeat must name a worker and an incarnation")
	}
	s := hb.State
	if s != nil && (s.Worker.ID != hb.Worker || s.Incarnation != hb.Incarnation || s.Seq != hb.Seq) {
		return result.Errorf(result.BadRequest, "the heartbeat of worker %s carries the state of another worker, incarnation or sequence number", hb.Worker)
	}
	return nil
}

// isNewerState reports whether next is newer than have: it has a newer incarnation, or
// the same incarnation and a higher sequence number.
func isNewerState(have, next *wire.WorkerState) bool {
	if next.Incarnation != have.Incarnation {
		return next.Incarnation > have.Incarnation
	}
	return next.Seq > have.Seq
}

// Tick updates health by the time since the last contact, removes workers and entries
// that have been dead for deadRetention, and refreshes LastSeen in the view.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refresh := now.Sub(t.lastRefresh) >= lastSeenRefreshInterval
	for id, r := range t.workers {
		if now.Sub(r.lastSeen) > DeadAfter+deadRetention {
			delete(t.workers, id)
			t.markDirty()
			continue
		}
		t.recordContact(r, r.lastSeen, now)
		if refresh && r.published != nil && r.published.LastSeen != r.lastSeen {
			r.published = nil
		}
	}
	t.tickPeers(now)
	if refresh {
		t.lastRefresh = now
	}
	if refresh || t.dirty {
		t.publishLocked()
	}
}

// ownWorkersUpdate is the part of an update that describes the workers whose home is the
// sender.
type ownWorkersUpdate struct {
	states []wire.WorkerState
	silent []wire.SilentWorker // workers silent for longer than silenceThreshold
	hash   uint64              // identifies the set of all of these workers, see homeHash
	next   uint64              // argument since of the next call
}

// ownWorkers returns the update for the workers whose home is this entry. It has the
// states of the workers that changed after since, or of all of them if full is set.
func (t *Table) ownWorkers(now time.Time, since uint64, full bool) ownWorkersUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := ownWorkersUpdate{next: t.changes}
	for id, r := range t.workers {
		if r.home != t.self {
			continue
		}
		o.hash ^= xxhash.Sum64String(id)
		if full || r.changeNumber > since {
			o.states = append(o.states, r.state)
		}
		if age := now.Sub(r.lastSeen); age > silenceThreshold {
			o.silent = append(o.silent, wire.SilentWorker{Worker: id, AgeMS: age.Milliseconds()})
		}
	}
	return o
}

// homeHash returns a hash of the set of workers whose home is the given entry. It does
// not depend on their order.
func (t *Table) homeHash(entry string) uint64 {
	var h uint64
	for id, r := range t.workers {
		if r.home == entry {
			h ^= xxhash.Sum64String(id)
		}
	}
	return h
}

// WorkersByHome returns the number of workers in the view by home entry.
func (t *Table) WorkersByHome() map[string]int {
	counts := make(map[string]int)
	for _, w := range t.View().Workers {
		counts[w.Home]++
	}
	return counts
}
