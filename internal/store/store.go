// Package store defines access to the platform's key-value service. Store has
// operations on single keys: get, compare-and-swap, lease and watch. Table adds
// prefixes and transactions.
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
	// Revision increases with every change of the key; 0 means that the key does
	// not exist.
	Revision uint64
	// Session is the lease that holds the key; empty if there is none.
	Session string
}

// Store is a key-value service with operations on single keys. A session is a lease
// that can hold keys. Errors have code result.StoreUnavailable when the service did
// not respond; a write may have taken effect all the same. Implementations are safe
// for concurrent use.
type Store interface {
	// Get returns the entry of key; Revision 0 if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the revision of key is still rev (0: the
	// key must not exist). It reports whether the write took place.
	CompareAndSwap(ctx context.Context, key string, rev uint64, value []byte) (bool, error)
	// Watch waits until the revision of key differs from rev, but at most for
	// wait, and returns the entry.
	Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (Entry, error)
	// NewSession creates a lease with the given TTL and returns its id.
	NewSession(ctx context.Context, ttl time.Duration) (string, error)
	// RenewSession renews a lease. It returns ErrLeaseLost if the lease has
	// expired.
	RenewSession(ctx context.Context, session string) error
	// EndSession ends a lease and releases the keys that it holds.
	EndSession(ctx context.Context, session string) error
	// Acquire writes value and binds key to session, unless another session holds
	// the key. It reports whether session holds the key now.
	Acquire(ctx context.Context, key, session string, value []byte) (bool, error)
	// Release unbinds key from session. It reports whether it did.
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
	// TimeoutMS is the timeout of a call other than a watch, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// Token is sent with every call if it is not empty.
	Token string `json:"token,omitempty"`
}

type sessionLostError struct{}

func (sessionLostError) Error() string { return "the lease in the store has expired or was ended" }

// ErrLeaseLost is returned for a lease that has expired or was ended.
var ErrLeaseLost error = sessionLostError{}

// Plugins holds the registered implementations of Store.
var Plugins = kernel.NewRegistry[func(Settings) (Store, error)]("store")

// Open returns the Store that s names.
func Open(s Settings) (Store, error) {
	open, err := Plugins.Get(s.Type)
	if err != nil {
		return nil, err
	}
	return open(s)
}
