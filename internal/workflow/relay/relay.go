// Package relay reaches the store through another entry when the direct way is
// cut, so that an entry which the store turns away still serves its callers.
package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

const (
	// directFor bounds a direct attempt after which a peer is tried. Twice the
	// answer of a store that is sixty times slower than usual.
	directFor = 600 * time.Millisecond
	// peerFor bounds an attempt through one peer.
	peerFor = 700 * time.Millisecond
	// listFor is added for a list: it has many pages, each of which the store's
	// client bounds. 20 pages of a store that is sixty times slower than usual.
	listFor = 5 * time.Second
	// suspectFor is the time after a failure for which peers are asked first.
	suspectFor = 1500 * time.Millisecond
	// outageFor is the time after a failure of all ways for which peers are not
	// asked.
	outageFor = 250 * time.Millisecond
)

// errOutage stands for attempts that were left out, because all ways failed just
// before.
var errOutage = errors.New("all ways failed just before")

// Operations of a Request, reads first.
const (
	opLookup = iota + 1
	opList
	opChanges
	opCommit
	opGrant
	opRenew
	opRevoke
)

var operations = map[int]string{
	opLookup: "lookup", opList: "list", opChanges: "watch", opCommit: "commit", opGrant: "grant", opRenew: "renew", opRevoke: "revoke",
}

// Request is an operation on the store on behalf of another entry.
type Request struct {
	Op     int           `cbor:"1,keyasint"`
	Key    string        `cbor:"2,keyasint,omitempty"` // or prefix
	After  uint64        `cbor:"3,keyasint,omitempty"`
	Wait   time.Duration `cbor:"4,keyasint,omitempty"` // or time to live
	Txn    *store.Txn    `cbor:"5,keyasint,omitempty"`
	Lease  uint64        `cbor:"6,keyasint,omitempty"`
	Budget time.Duration `cbor:"7,keyasint,omitempty"` // time that the caller waits
}

// Reply is the result of a Request.
type Reply struct {
	Records   []store.Record `cbor:"1,keyasint,omitempty"`
	Events    []store.Event  `cbor:"2,keyasint,omitempty"`
	Revision  uint64         `cbor:"3,keyasint,omitempty"`
	Outcome   store.Outcome  `cbor:"4,keyasint,omitempty"`
	Found     bool           `cbor:"5,keyasint,omitempty"`
	Lease     uint64         `cbor:"6,keyasint,omitempty"`
	Compacted bool           `cbor:"7,keyasint,omitempty"`
	LeaseGone bool           `cbor:"8,keyasint,omitempty"`
}

// Caller makes calls to other entries.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error
}

// Table implements store.Table by the direct way, or through a peer.
type Table struct {
	direct store.Table
	pool   Caller
	self   string

	mu    sync.Mutex
	peers []string // addresses; the one that answered last comes first

	suspect atomic.Int64 // Unix nanoseconds until which the direct way is suspect
	outage  atomic.Int64 // Unix nanoseconds until which no way is known
	through atomic.Bool  // the latest answer came through a peer
}

// New returns a Table for the entry at address self.
func New(direct store.Table, pool Caller, self string) *Table {
	return &Table{direct: direct, pool: pool, self: self}
}

// Register serves other entries' requests. They use the direct way only, so
// that requests do not travel in circles.
func (t *Table) Register(mux *transport.Mux) {
	mux.Handle(wire.KindStoreRelay, transport.Unary(t.serve))
}

// SetPeers replaces the addresses of the entries. Those known before keep their
// order, so that the one that answered last stays first.
func (t *Table) SetPeers(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []string
	add := func(from []string, keep func(string) bool) {
		for _, a := range from {
			if a != t.self && !slices.Contains(peers, a) && keep(a) {
				peers = append(peers, a)
			}
		}
	}
	add(t.peers, func(a string) bool { return slices.Contains(addresses, a) })
	add(addresses, func(string) bool { return true })
	t.peers = peers
}

// Peers returns the addresses of the other entries, the preferred one first.
func (t *Table) Peers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.peers)
}

func (t *Table) serve(ctx context.Context, q *Request) (*Reply, error) {
	if q.Budget > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.Budget)
		defer cancel()
	}
	reply := new(Reply)
	err := perform(ctx, t.direct, q, reply)
	switch {
	case errors.Is(err, store.ErrCompacted):
		reply.Compacted = true
	case errors.Is(err, store.ErrSessionLost):
		reply.LeaseGone = true
	case err != nil:
		return nil, err
	}
	return reply, nil
}

func perform(ctx context.Context, table store.Table, q *Request, reply *Reply) (err error) {
	switch q.Op {
	case opLookup:
		var r store.Record
		r, reply.Found, err = table.Lookup(ctx, q.Key)
		reply.Records = []store.Record{r}
	case opList:
		reply.Records, reply.Revision, err = table.List(ctx, q.Key)
	case opChanges:
		reply.Events, reply.Revision, err = table.Changes(ctx, q.Key, q.After, q.Wait)
	case opCommit:
		if q.Txn == nil {
			return result.Errorf(result.BadRequest, "relayed transaction is missing")
		}
		reply.Outcome, err = table.Commit(ctx, *q.Txn)
	case opGrant:
		reply.Lease, err = table.Grant(ctx, q.Wait)
	case opRenew:
		err = table.Renew(ctx, q.Lease)
	case opRevoke:
		err = table.Revoke(ctx, q.Lease)
	default:
		err = result.Errorf(result.BadRequest, "relayed operation %d is not known", q.Op)
	}
	return err
}

// decided reports whether err is an answer of the store rather than its absence.
func decided(err error) bool {
	return err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrSessionLost)
}

// do performs q by the way that worked last, and then by the others. All
// operations may be attempted twice: a transaction carries its conditions.
// Reads are told apart, since they can be made by several ways at once.
func (t *Table) do(ctx context.Context, q *Request) (*Reply, error) {
	if q.Op <= opChanges {
		return t.read(ctx, q)
	}
	now := time.Now().UnixNano()
	open := false // an attempt without an answer may take effect
	note := func(err error) { open = open || result.CodeOf(err) == result.OutcomeUnknown }
	first := now >= t.suspect.Load()
	var err error
	if first {
		var reply *Reply
		if reply, err = t.byDirect(ctx, q); decided(err) {
			return reply, err
		}
		note(err)
	}
	if now >= t.outage.Load() {
		reply, perr := t.byPeers(ctx, q, note)
		if decided(perr) {
			return reply, perr
		}
		err = perr
	}
	if !first && ctx.Err() == nil {
		reply, derr := t.byDirect(ctx, q)
		if decided(derr) {
			return reply, derr
		}
		note(derr)
		err = derr
	}
	if ctx.Err() == nil {
		t.outage.Store(time.Now().Add(outageFor).UnixNano())
	}
	code := result.StoreUnavailable
	if open {
		code = result.OutcomeUnknown
	}
	if err == nil {
		err = errOutage
	}
	return nil, result.Errorf(code, "no way to the store: %w", err)
}

// read performs a read. After a failure of the direct way it does not wait for
// changes any more.
func (t *Table) read(ctx context.Context, q *Request) (*Reply, error) {
	if time.Now().UnixNano() >= t.suspect.Load() {
		if reply, err := t.byDirect(ctx, q); decided(err) {
			return reply, err
		}
		now := *q
		now.Wait = min(q.Wait, time.Millisecond)
		q = &now
	}
	return t.race(ctx, q)
}

// race reads by the direct way and through peers at once, while the direct way is
// suspect, and returns the first answer. The direct attempt runs to its end also
// when a peer was faster, so that it shows whether that way works again; it does
// not wait for changes.
func (t *Table) race(ctx context.Context, q *Request) (*Reply, error) {
	type answer struct {
		reply *Reply
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe := *q
	probe.Wait = min(q.Wait, time.Millisecond)
	ways := []func() (*Reply, error){func() (*Reply, error) { return t.byDirect(context.WithoutCancel(ctx), &probe) }}
	if time.Now().UnixNano() >= t.outage.Load() {
		ways = append(ways, func() (*Reply, error) { return t.byPeers(ctx, q, func(error) {}) })
	}
	answers := make(chan answer, len(ways))
	for _, way := range ways {
		go func() {
			reply, err := way()
			answers <- answer{reply, err}
		}()
	}
	var last error
	for range ways {
		select {
		case a := <-answers:
			if decided(a.err) {
				return a.reply, a.err
			}
			last = a.err
		case <-ctx.Done():
			return nil, result.Errorf(result.StoreUnavailable, "no way to the store: %w", ctx.Err())
		}
	}
	if ctx.Err() == nil {
		t.outage.Store(time.Now().Add(outageFor).UnixNano())
	}
	return nil, result.Errorf(result.StoreUnavailable, "no way to the store: %w", last)
}

func (t *Table) byDirect(ctx context.Context, q *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, directFor+extraTime(q))
	defer cancel()
	reply := new(Reply)
	begin := time.Now()
	err := perform(ctx, t.direct, q, reply)
	kernel.Metrics.Count("snipegw_store_calls_total", "operation", operations[q.Op], "code", result.CodeOf(err).String())
	if q.Op != opChanges {
		kernel.Metrics.Observe(time.Since(begin), "snipegw_store_call_seconds", "operation", operations[q.Op])
	}
	if decided(err) {
		t.suspect.Store(0)
		t.outage.Store(0)
		t.route(false)
		return reply, err
	}
	t.suspect.Store(time.Now().Add(suspectFor).UnixNano())
	return nil, err
}

// extraTime is what an operation may take beyond a single call: the time for
// which the store itself holds back its answer, and further pages.
func extraTime(q *Request) time.Duration {
	switch q.Op {
	case opChanges:
		return q.Wait
	case opList:
		return listFor
	}
	return 0
}

func (t *Table) byPeers(ctx context.Context, q *Request, note func(error)) (*Reply, error) {
	err := error(result.Errorf(result.StoreUnavailable, "no other entry is known"))
	for _, address := range t.Peers() {
		if ctx.Err() != nil {
			return nil, result.Errorf(result.StoreUnavailable, "entry %s: not called: %w", address, ctx.Err())
		}
		reply := new(Reply)
		if err = t.byPeer(ctx, address, q, reply); err == nil {
			t.prefer(address)
			t.route(true)
			switch {
			case reply.Compacted:
				return nil, store.ErrCompacted
			case reply.LeaseGone:
				return nil, store.ErrSessionLost
			}
			return reply, nil
		}
		note(err)
	}
	return nil, err
}

func (t *Table) byPeer(ctx context.Context, address string, q *Request, reply *Reply) error {
	ctx, cancel := context.WithTimeout(ctx, peerFor+extraTime(q))
	defer cancel()
	q.Budget = directFor + extraTime(q)
	err := t.pool.Call(ctx, address, wire.KindStoreRelay, q, reply)
	if err == nil {
		return nil
	}
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded // the peer's answer
	}
	if transport.NotSent(err) || q.Op != opCommit && q.Op != opGrant {
		return result.Errorf(result.StoreUnavailable, "entry %s: %w", address, err)
	}
	return result.Errorf(result.OutcomeUnknown, "entry %s: %w", address, err)
}

func (t *Table) prefer(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, p := range t.peers {
		if p == address {
			copy(t.peers[1:i+1], t.peers[:i])
			t.peers[0] = address
			return
		}
	}
}

// route logs a change of the way to the store.
func (t *Table) route(peer bool) {
	if t.through.Swap(peer) != peer {
		log.WithFields(log.Fields{"event": "store_route", "through_peer": peer}).Info("the way to the store has changed")
	}
}

// Lookup implements store.Table.
func (t *Table) Lookup(ctx context.Context, key string) (store.Record, bool, error) {
	reply, err := t.do(ctx, &Request{Op: opLookup, Key: key})
	if err != nil || !reply.Found {
		return store.Record{}, false, err
	}
	return reply.Records[0], true, nil
}

// List implements store.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]store.Record, uint64, error) {
	reply, err := t.do(ctx, &Request{Op: opList, Key: prefix})
	if err != nil {
		return nil, 0, err
	}
	return reply.Records, reply.Revision, nil
}

// Changes implements store.Table.
func (t *Table) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	reply, err := t.do(ctx, &Request{Op: opChanges, Key: prefix, After: after, Wait: wait})
	if err != nil {
		return nil, 0, err
	}
	return reply.Events, reply.Revision, nil
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) (store.Outcome, error) {
	reply, err := t.do(ctx, &Request{Op: opCommit, Txn: &txn})
	if err != nil {
		return store.Outcome{}, err
	}
	return reply.Outcome, nil
}

// Grant implements store.Table.
func (t *Table) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	reply, err := t.do(ctx, &Request{Op: opGrant, Wait: ttl})
	if err != nil {
		return 0, err
	}
	return reply.Lease, nil
}

// Renew implements store.Table.
func (t *Table) Renew(ctx context.Context, lease uint64) error {
	_, err := t.do(ctx, &Request{Op: opRenew, Lease: lease})
	return err
}

// Revoke implements store.Table.
func (t *Table) Revoke(ctx context.Context, lease uint64) error {
	_, err := t.do(ctx, &Request{Op: opRevoke, Lease: lease})
	return err
}
