// Package platformstore is a stand-in for the platform's metadata store, which
// workflows use through platform/kvstore. It keeps its records in memory and serves the
// HTTP interface of that store on loopback addresses: range reads, watches,
// transactions and leases. It has switches for the faults of the real store. The
// stand-in for the Consul KV interface is package kv.
package platformstore

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"snipegw/internal/standin"
)

// Values of Faults.Down: how a store that is down responds.
const (
	DownUnavailable     = "busy"   // status 503
	DownTooManyRequests = "many"   // status 429
	DownReset           = "reset"  // connections are closed without a response
	DownSilent          = "silent" // no response
)

// Faults are the fault switches of one endpoint.
type Faults struct {
	// Down is one of the values DownUnavailable to DownSilent, or empty while the store
	// is up.
	Down string
	// CallDelay is how long each call is delayed before it takes effect.
	CallDelay time.Duration
	// LoseResponses is the number of next writes whose response is lost.
	LoseResponses int
	// LostWriteDelay is how long after its arrival a write whose response is lost takes
	// effect.
	LostWriteDelay time.Duration
	// StaleWatch hides changes from watches.
	StaleWatch bool
}

type item struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"createdAt,omitempty"`
	Lease           uint64 `json:"lease,omitempty"`
	Deleted         bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store holds the records and leases that all endpoints serve.
type Store struct {
	mu              sync.Mutex
	items           map[string]item
	history         []item
	droppedRevision uint64 // highest revision that is no longer in the history
	revision        uint64
	leases          map[uint64]*lease
	changed         chan struct{}
	leasesFrozen    bool // leases do not expire
	callCounts      map[string]int
	lateWrites      int // lost writes that have not taken effect yet
}

// New returns an empty Store.
func New() *Store {
	return &Store{items: make(map[string]item), leases: make(map[uint64]*lease), revision: 10, changed: make(chan struct{}), callCounts: make(map[string]int)}
}

// Endpoint serves the store on one address, with fault switches of its own.
type Endpoint struct {
	*standin.HTTPServer
	store  *Store
	mu     sync.Mutex
	faults Faults
}

// OpenEndpoint starts to serve the store on a free loopback port.
func (s *Store) OpenEndpoint() (*Endpoint, error) {
	e := &Endpoint{store: s}
	httpServer, err := standin.Listen("127.0.0.1:0", e.handler())
	if err != nil {
		return nil, err
	}
	e.HTTPServer = httpServer
	return e, nil
}

// SetFaults replaces the fault switches of the endpoint.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Put writes a record without a precondition or a lease, as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putItem(key, value, 0)
	s.wakeWatches()
}

// Remove deletes a record.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteItem(key)
	s.wakeWatches()
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.items[key].Value
}

// DropHistory drops the history of changes. A watch that needs a dropped change gets
// status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRevision = nil, s.revision
	s.wakeWatches()
}

// FreezeLeases(true) keeps all leases from expiring. FreezeLeases(false) ends this and
// restarts each lease with its full TTL.
func (s *Store) FreezeLeases(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leasesFrozen && !on {
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.ttl)
		}
	}
	s.leasesFrozen = on
}

// Calls returns the number of calls since the start, by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.callCounts))
	for k, v := range s.callCounts {
		out[k] = v
	}
	return out
}

// LateWrites returns the number of writes without a response that have not taken effect yet.
func (s *Store) LateWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateWrites
}

func (s *Store) addLateWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWrites += n
}

// wakeWatches makes all watches look for changes. The caller holds s.mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// putItem writes an item at the current revision. The caller holds s.mu.
func (s *Store) putItem(key string, value []byte, lease uint64) {
	it := item{Key: key, Value: value, Revision: s.revision, CreatedRevision: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedRevision = old.CreatedRevision
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) deleteItem(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// expireLeases removes the leases that have expired, unless leases are frozen. The
// caller holds s.mu.
func (s *Store) expireLeases() {
	for id, l := range s.leases {
		if !s.leasesFrozen && time.Now().After(l.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and the records attached to it. The caller holds s.mu.
func (s *Store) removeLease(id uint64) {
	delete(s.leases, id)
	for _, key := range s.sortedKeys("") {
		if s.items[key].Lease == id {
			s.revision++
			s.deleteItem(key)
		}
	}
	s.wakeWatches()
}

func (s *Store) sortedKeys(prefix string) []string {
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// txn is the request body of a transaction. A precondition requires that a key has the
// given revision, or with revision 0 that it does not exist.
type txn struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// maxTxnEntries is the maximum number of preconditions, puts and removals of a
// transaction together.
const maxTxnEntries = 32

func (s *Store) commitTxn(t *txn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxTxnEntries {
		return http.StatusBadRequest, nil
	}
	current, preconditionsHold := []item{}, true
	for _, c := range t.Precondition {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		preconditionsHold = preconditionsHold && it.Revision == c.Revision
	}
	if !preconditionsHold {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putItem(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.deleteItem(key)
	}
	s.wakeWatches()
	return http.StatusOK, map[string]any{"revision": s.revision}
}
