// Package storetest holds an in-memory store with injected faults for tests of
// the packages that use a store.
package storetest

import (
	"context"
	"sync"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/store"
)

// Fault is what happens to one call.
type Fault int

// Faults of a call.
const (
	None Fault = iota
	// Down: no answer and no effect.
	Down
	// AnswerLost: the effect takes place, the answer is an error.
	AnswerLost
	// LateEffect: the answer is an error, the effect takes place after Late.
	LateEffect
	// Stale: a read returns the previous state of the key.
	Stale
	// Slow: the call takes Late.
	Slow
)

// Late is the delay of LateEffect and Slow.
const Late = 700 * time.Millisecond

// Operations as they are passed to a fault rule.
const (
	OpGet   = "get"
	OpCAS   = "cas"
	OpWatch = "watch"
)

// Store is an in-memory store.Store. Sessions are not supported.
type Store struct {
	latency time.Duration

	mu       sync.Mutex
	now      map[string]store.Entry
	previous map[string]store.Entry
	revision uint64
	changed  chan struct{}
	rule     func(op, key string) Fault
	calls    map[string]uint64
	// History holds every value written to a key, in order.
	history map[string][][]byte
}

var _ store.Store = (*Store)(nil)

// New returns an empty store whose calls take latency.
func New(latency time.Duration) *Store {
	return &Store{
		latency: latency, now: make(map[string]store.Entry), previous: make(map[string]store.Entry),
		changed: make(chan struct{}), calls: make(map[string]uint64), history: make(map[string][][]byte),
	}
}

// SetRule sets the function that chooses the fault of each call; nil for none.
func (s *Store) SetRule(rule func(op, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rule = rule
}

// Peek returns the present value of key without a call.
func (s *Store) Peek(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now[key].Value
}

// History returns every value written to key.
func (s *Store) History(key string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]byte(nil), s.history[key]...)
}

// Put writes value without a call.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value)
}

func (s *Store) write(key string, value []byte) {
	s.revision++
	s.previous[key] = s.now[key]
	s.now[key] = store.Entry{Value: append([]byte(nil), value...), Revision: s.revision}
	s.history[key] = append(s.history[key], s.now[key].Value)
	close(s.changed)
	s.changed = make(chan struct{})
}

func errDown() error {
	return result.Errorf(result.StoreUnavailable, "injected: the store does not answer")
}

// begin counts the call, waits for its latency and returns its fault.
func (s *Store) begin(ctx context.Context, op, key string) (Fault, error) {
	s.mu.Lock()
	s.calls[op]++
	rule := s.rule
	s.mu.Unlock()
	fault := None
	if rule != nil {
		fault = rule(op, key)
	}
	wait := s.latency
	if fault == Slow {
		wait = Late
	}
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return fault, result.Errorf(result.StoreUnavailable, "injected: %w", ctx.Err())
		}
	}
	if fault == Down {
		return fault, errDown()
	}
	return fault, ctx.Err()
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	fault, err := s.begin(ctx, OpGet, key)
	if err != nil {
		return store.Entry{}, err
	}
	if fault == AnswerLost || fault == LateEffect {
		return store.Entry{}, errDown()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault == Stale {
		return s.previous[key], nil
	}
	return s.now[key], nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, rev uint64, value []byte) (bool, error) {
	fault, err := s.begin(ctx, OpCAS, key)
	if err != nil {
		return false, err
	}
	if fault == LateEffect {
		value = append([]byte(nil), value...)
		time.AfterFunc(Late, func() { s.swap(key, rev, value) })
		return false, errDown()
	}
	ok := s.swap(key, rev, value)
	if fault == AnswerLost {
		return false, errDown()
	}
	return ok, nil
}

func (s *Store) swap(key string, rev uint64, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now[key].Revision != rev || len(value) > store.MaxValueBytes {
		return false
	}
	s.write(key, value)
	return true
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (store.Entry, error) {
	fault, err := s.begin(ctx, OpWatch, key)
	if err != nil {
		return store.Entry{}, err
	}
	if fault != None && fault != Slow && fault != Stale {
		return store.Entry{}, errDown()
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		e, changed := s.now[key], s.changed
		if fault == Stale {
			e = s.previous[key]
		}
		s.mu.Unlock()
		if e.Revision != rev {
			return e, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return e, nil
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		}
	}
}

// NewSession implements store.Store.
func (s *Store) NewSession(context.Context, time.Duration) (string, error) { return "", errDown() }

// RenewSession implements store.Store.
func (s *Store) RenewSession(context.Context, string) error { return store.ErrSessionLost }

// EndSession implements store.Store.
func (s *Store) EndSession(context.Context, string) error { return errDown() }

// Acquire implements store.Store.
func (s *Store) Acquire(context.Context, string, string, []byte) (bool, error) {
	return false, errDown()
}

// Release implements store.Store.
func (s *Store) Release(context.Context, string, string) (bool, error) { return false, errDown() }

// Calls implements store.Store.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.calls))
	for op, n := range s.calls {
		out[op] = n
	}
	return out
}
