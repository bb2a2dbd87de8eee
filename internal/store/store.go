// Package store defines access to the platform's key-value service. Only
// operations on single keys are assumed: get, compare-and-swap, lease, watch.
package store

import (
	"context"
	"time"

	"snipegw/internal/kernel"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Entry is the value of a key at a revision.
type Entry struct {
	Value []byte
	// Revision grows with every change of the key; 0 means that the key does
	// not exist.
	Revision uint64
	// Session is the lease that holds the key; empty if none.
	Session string
}

// Store is the platform's key-value service. Errors carry
// result.StoreUnavailable when the service gave no answer; the write may then
// have taken effect. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the entry of key; Revision 0 if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the revision of key is still rev (0: the
	// key must not exist). It reports whether the write took place.
	CompareAndSwap(ctx context.Context, key string, rev uint64, value []byte) (bool, error)
	// Watch waits until the revision of key differs from rev or wait has
	// passed, and returns the entry.
	Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (Entry, error)
	// NewSession creates a lease with the given time to live.
	NewSession(ctx context.Context, ttl time.Duration) (string, error)
	// RenewSession extends a lease. It returns ErrSessionLost if the lease has
	// lapsed.
	RenewSession(ctx context.Context, session string) error
	// EndSession ends a lease; keys that it holds are released.
	EndSession(ctx context.Context, session string) error
	// Acquire writes value and binds key to session if no other session holds
	// it. It reports whether the session holds the key now.
	Acquire(ctx context.Context, key, session string, value []byte) (bool, error)
	// Release unbinds key from session.
	Release(ctx context.Context, key, session string) (bool, error)
	// Calls returns the number of calls made so far, by operation.
	Calls() map[string]uint64
}

// Settings are the settings of a store plug-in.
type Settings struct {
	// Type is the registered name of the plug-in.
	Type string `json:"type"`
	// Addresses are the base URLs of the service.
	Addresses []string `json:"addresses"`
	// TimeoutMS bounds a call that is not a watch, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// Token is sent with every call if it is not empty.
	Token string `json:"token,omitempty"`
}

type sessionLostError struct{}

func (sessionLostError) Error() string { return "the lease in the store has lapsed" }

// ErrSessionLost is returned for a lease that has lapsed or was ended.
var ErrSessionLost error = sessionLostError{}

// Plugins holds the registered stores.
var Plugins = kernel.NewRegistry[func(Settings) (Store, error)]("store")

// Open returns the store that s names.
func Open(s Settings) (Store, error) {
	open, err := Plugins.Get(s.Type)
	if err != nil {
		return nil, err
	}
	return open(s)
}
