// Package platformstore is a stand-in of the platform's metadata store. It keeps
// its records in memory, speaks the store's HTTP protocol on loopback, and has
// switches for the faults of the real one.
package platformstore

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"snipegw/internal/standin"
)

// Way of being down.
const (
	DownBusy   = "busy"   // 503
	DownMany   = "many"   // 429
	DownReset  = "reset"  // connections are closed without an answer
	DownSilent = "silent" // no answer
)

// Faults are the switches of one gate.
type Faults struct {
	Down string
	// Slow is added to each answer.
	Slow time.Duration
	// LoseAnswers loses the answers of that many next writes.
	LoseAnswers int
	// Late carries out a write whose answer is lost after this time.
	Late time.Duration
	// StaleWatch holds back changes from watches.
	StaleWatch bool
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is the state that all gates share.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	dropped  uint64 // highest revision that is no longer in the history
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{}
	frozen   bool // leases do not run
	calls    map[string]int
}

// New returns an empty Store.
func New() *Store {
	return &Store{items: make(map[string]item), leases: make(map[uint64]*lease), revision: 10, changed: make(chan struct{}), calls: make(map[string]int)}
}

// Gate is an address of the store with faults of its own.
type Gate struct {
	*standin.Host
	store  *Store
	mu     sync.Mutex
	faults Faults
}

// Gate opens an address on loopback.
func (s *Store) Gate() (*Gate, error) {
	g := &Gate{store: s}
	host, err := standin.Listen("127.0.0.1:0", g.handler())
	if err != nil {
		return nil, err
	}
	g.Host = host
	return g, nil
}

// SetFaults replaces the faults of a gate.
func (g *Gate) SetFaults(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Put writes a record as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

// Remove deletes a record.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Value
}

// DropHistory forgets all changes; watches that need them get 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// FreezeLeases lets leases pause, or run again.
func (s *Store) FreezeLeases(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen && !on {
		for _, l := range s.leases {
			l.end = time.Now().Add(l.ttl)
		}
	}
	s.frozen = on
}

// Calls returns the number of calls so far, by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an item at the present revision. s.mu is held.
func (s *Store) set(key string, value []byte, lease uint64) {
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// expire ends the leases whose time is over. s.mu is held.
func (s *Store) expire() {
	for id, l := range s.leases {
		if !s.frozen && time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range s.keys("") {
		if s.items[key].Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

func (s *Store) keys(prefix string) []string {
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// txn is a transaction on the wire.
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

// maxEntries is the number of entries of a transaction.
const maxEntries = 32

func (s *Store) commit(t *txn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, nil
	}
	current, hold := []item{}, true
	for _, c := range t.Precondition {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		hold = hold && it.Revision == c.Revision
	}
	if !hold {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}
