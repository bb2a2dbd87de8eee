// Package storetest provides an in-memory store.Store with injected faults, for
// tests of packages that use a store.
package storetest

import (
	"context"
	"sync"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/store"
)

// Fault is a fault that is injected into one call.
type Fault int

// Values of Fault.
const (
	// None injects no fault.
	None Fault = iota
	// Down makes the call fail without an effect.
	Down
	// AnswerLost makes the call fail; a write has taken effect.
	AnswerLost
	// LateEffect makes the call fail; a write takes effect after FaultDelay.
	LateEffect
	// Stale makes a read return the previous state of the key.
	Stale
	// Slow makes the call take FaultDelay.
	Slow
)

// FaultDelay is the delay of the write of LateEffect and of the call of Slow.
const FaultDelay = 700 * time.Millisecond

// Operations that are passed to the rule of SetFaultRule.
const (
	OpGet   = "get"
	OpCAS   = "cas"
	OpWatch = "watch"
)

// Store is an in-memory store.Store. Sessions are not supported.
type Store struct {
	latency time.Duration

	mu       sync.Mutex
	current  map[string]store.Entry
	previous map[string]store.Entry
	revision uint64
	changed  chan struct{}
	rule     func(op, key string) Fault
	calls    map[string]uint64 // by operation
	// history holds every value written to a key, in order.
	history map[string][][]byte
}

var _ store.Store = (*Store)(nil)

// New returns an empty Store. Each call takes the given latency.
func New(latency time.Duration) *Store {
	return &Store{
		latency: latency, current: make(map[string]store.Entry), previous: make(map[string]store.Entry),
		changed: make(chan struct{}), calls: make(map[string]uint64), history: make(map[string][][]byte),
	}
}

// SetFaultRule sets the function that selects the fault of each call; nil injects no
// faults.
func (s *Store) SetFaultRule(rule func(op, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rule = rule
}

// Peek returns the current value of key without counting a call.
func (s *Store) Peek(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current[key].Value
}

// History returns every value written to key, in order.
func (s *Store) History(key string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]byte(nil), s.history[key]...)
}

// Put writes value without counting a call.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(key, value)
}

// setLocked writes value and wakes the watches. The caller holds s.mu.
func (s *Store) setLocked(key string, value []byte) {
	s.revision++
	s.previous[key] = s.current[key]
	s.current[key] = store.Entry{Value: append([]byte(nil), value...), Revision: s.revision}
	s.history[key] = append(s.history[key], s.current[key].Value)
	close(s.changed)
	s.changed = make(chan struct{})
}

func errDown() error {
	return result.Errorf(result.StoreUnavailable, "injected fault: the store does not respond")
}

// beginCall counts the call, selects its fault and waits for its latency. It
// fails if the fault is Down or ctx ends.
func (s *Store) beginCall(ctx context.Context, op, key string) (Fault, error) {
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
		wait = FaultDelay
	}
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return fault, result.Errorf(result.StoreUnavailable, "injected latency: %w", ctx.Err())
		}
	}
	if fault == Down {
		return fault, errDown()
	}
	return fault, ctx.Err()
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	fault, err := s.beginCall(ctx, OpGet, key)
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
	return s.current[key], nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, rev uint64, value []byte) (bool, error) {
	fault, err := s.beginCall(ctx, OpCAS, key)
	if err != nil {
		return false, err
	}
	if fault == LateEffect {
		value = append([]byte(nil), value...)
		time.AfterFunc(FaultDelay, func() { s.compareAndSwap(key, rev, value) })
		return false, errDown()
	}
	ok := s.compareAndSwap(key, rev, value)
	if fault == AnswerLost {
		return false, errDown()
	}
	return ok, nil
}

func (s *Store) compareAndSwap(key string, rev uint64, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current[key].Revision != rev || len(value) > store.MaxValueBytes {
		return false
	}
	s.setLocked(key, value)
	return true
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (store.Entry, error) {
	fault, err := s.beginCall(ctx, OpWatch, key)
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
		e, changed := s.current[key], s.changed
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
func (s *Store) RenewSession(context.Context, string) error { return store.ErrLeaseLost }

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
