package store

import (
	"context"
	"errors"
	"time"

	"snipegw/internal/kernel"
)

// MaxTxnEntries bounds the conditions, puts and deletes of one transaction
// together.
const MaxTxnEntries = 32

// Record is a key of a Table. Revision is that of its latest change.
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

// Condition demands that Key is at Revision; 0 demands that it does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a key. A Lease other than 0 deletes it when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn takes effect as a whole, if all conditions hold, or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Entries returns the number of entries that count against MaxTxnEntries.
func (t *Txn) Entries() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// Outcome is the result of a transaction that the store decided.
type Outcome struct {
	Committed bool
	// Revision is that of the records written.
	Revision uint64
	// Current holds the records that the conditions name, if one failed.
	Current map[string]Record
}

// ErrCompacted is returned by Watch when the store no longer holds the changes
// after the given revision.
var ErrCompacted = errors.New("the store has dropped its history")

// Table is a key-value service with prefixes, transactions and leases. An error
// carries result.StoreUnavailable when nothing was done and
// result.OutcomeUnknown when a write may have taken effect, or may still do so.
// Implementations are safe for concurrent use.
type Table interface {
	// Lookup returns the record of key; found is false if there is none.
	Lookup(ctx context.Context, key string) (r Record, found bool, err error)
	// List returns all records below prefix and a revision from which a watch
	// sees every change that the list may lack.
	List(ctx context.Context, prefix string) (records []Record, revision uint64, err error)
	// Changes waits for changes below prefix after a revision, for at most wait,
	// and returns them with the revision to continue from.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Event, revision uint64, err error)
	// Commit attempts a transaction.
	Commit(ctx context.Context, t Txn) (Outcome, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew extends a lease, or returns ErrSessionLost.
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
