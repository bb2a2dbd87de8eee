package store

import (
	"context"
	"errors"
	"time"

	"snipegw/internal/kernel"
)

// MaxTxnEntries is the maximum number of conditions, puts and deletes of one
// transaction together.
const MaxTxnEntries = 32

// Record is a key of a Table with its value and the revision of its latest
// change.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64 // 0: the record does not expire
}

// Event is one change of a Table.
type Event struct {
	Record
	Deleted bool
}

// Condition holds if Key is at Revision, or if it does not exist when Revision is
// 0.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a key. If Lease is not 0 the key is deleted when that lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is a transaction. It takes effect completely if all conditions hold, and
// not at all otherwise.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Entries returns the number of conditions, puts and deletes.
func (t *Txn) Entries() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// Outcome is the result of a transaction that the store has committed or
// rejected.
type Outcome struct {
	Committed bool
	// Revision is the revision of the written records.
	Revision uint64
	// Current holds the existing records that the conditions name, by key, if a
	// condition failed.
	Current map[string]Record
}

// ErrCompacted is returned by Table.Changes when the store no longer holds all
// changes after the given revision, or they are too many for one response.
var ErrCompacted = errors.New("the store no longer holds the changes after this revision")

// Table is a key-value service with prefixes, transactions and leases. An error
// has code result.StoreUnavailable when the call had no effect, and
// result.OutcomeUnknown when a write may have taken effect or may still do so.
// Implementations are safe for concurrent use.
type Table interface {
	// Lookup returns the record of key, and whether it exists.
	Lookup(ctx context.Context, key string) (r Record, found bool, err error)
	// List returns all records below prefix, and a revision from which Changes
	// returns every change that the list may lack.
	List(ctx context.Context, prefix string) (records []Record, revision uint64, err error)
	// Changes waits up to wait for changes below prefix after a revision, and
	// returns them with the revision to continue from. It returns ErrCompacted if
	// they cannot be had any more and the records must be listed again.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Event, revision uint64, err error)
	// Commit attempts a transaction. A condition that does not hold is no error: the
	// outcome says so. Commit returns ErrLeaseLost if a put names a lease that has
	// ended.
	Commit(ctx context.Context, t Txn) (Outcome, error)
	// Grant creates a lease with the given TTL and returns its id.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew renews a lease, or returns ErrLeaseLost if it has ended.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its records.
	Revoke(ctx context.Context, lease uint64) error
}

// Tables holds the registered implementations of Table.
var Tables = kernel.NewRegistry[func(Settings) (Table, error)]("table store")

// OpenTable returns the Table that s names.
func OpenTable(s Settings) (Table, error) {
	open, err := Tables.Get(s.Type)
	if err != nil {
		return nil, err
	}
	return open(s)
}
