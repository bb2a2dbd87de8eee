// Package relay reaches the store through another entry when the store cannot be
// reached directly, so that an entry which is cut off from the store still serves
// its callers.
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
	// directTimeout limits a direct attempt, after which a peer is tried. It is
	// twice the response time of a store that is sixty times slower than usual.
	directTimeout = 600 * time.Millisecond
	// peerTimeout limits an attempt through one peer.
	peerTimeout = 700 * time.Millisecond
	// listExtraTimeout is added for a list, which has many pages; the store's
	// client limits each of them. It covers 20 pages of a store that is sixty
	// times slower than usual.
	listExtraTimeout = 5 * time.Second
	// suspectPeriod is the time after a failed direct attempt during which the
	// direct route is suspect: writes try peers first, and reads try the direct
	// route and the peers concurrently.
	suspectPeriod = 1500 * time.Millisecond
	// maxPeersPerAttempt limits the peers that one operation tries. While the store is
	// down for all, trying every peer would multiply the calls by the number of entries,
	// and a refusal would take as long as all of them together.
	maxPeersPerAttempt = 3
	// outagePeriod is the time after a failure of all routes during which peers
	// are not tried.
	outagePeriod = 250 * time.Millisecond
)

// errRecentOutage is the error of attempts that were skipped because all routes
// to the store failed shortly before.
var errRecentOutage = errors.New("all routes to the store failed shortly before")

// Operations of a Request. Reads come first, up to opChanges.
const (
	opLookup = iota + 1
	opList
	opChanges
	opCommit
	opGrant
	opRenew
	opRevoke
)

var operationNames = map[int]string{
	opLookup: "lookup", opList: "list", opChanges: "watch", opCommit: "commit", opGrant: "grant", opRenew: "renew", opRevoke: "revoke",
}

// Request is an operation on the store that another entry performs.
type Request struct {
	Op     int           `cbor:"1,keyasint"`
	Key    string        `cbor:"2,keyasint,omitempty"` // key, or prefix of opList and opChanges
	After  uint64        `cbor:"3,keyasint,omitempty"`
	Wait   time.Duration `cbor:"4,keyasint,omitempty"` // wait of opChanges, or lease TTL of opGrant
	Txn    *store.Txn    `cbor:"5,keyasint,omitempty"`
	Lease  uint64        `cbor:"6,keyasint,omitempty"`
	Budget time.Duration `cbor:"7,keyasint,omitempty"` // timeout of the operation at the peer; 0: none
}

// Reply is the result of a Request. Compacted and LeaseGone stand for
// store.ErrCompacted and store.ErrLeaseLost.
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

// Caller calls other entries.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error
}

// Table implements store.Table by direct calls to the store or through a peer.
type Table struct {
	direct store.Table
	pool   Caller
	self   string

	mu    sync.Mutex
	peers []string // addresses, in the order in which they are tried

	directSuspectUntil atomic.Int64 // Unix nanoseconds until which the direct route is suspect; 0: not suspect
	outageUntil        atomic.Int64 // Unix nanoseconds until which peers are not tried; 0: no outage
	viaPeer            atomic.Bool  // the latest response came through a peer
}

// New returns a Table for the entry with address self. It calls other entries
// through pool.
func New(direct store.Table, pool Caller, self string) *Table {
	return &Table{direct: direct, pool: pool, self: self}
}

// Register registers the handler of requests from other entries on mux. It uses
// the direct route only, so that no request is relayed in a cycle.
func (t *Table) Register(mux *transport.Mux) {
	mux.Handle(wire.KindStoreRelay, transport.Unary(t.serve))
}

// SetPeers replaces the addresses of the entries. The addresses that were known
// before keep their order, so that the peer that responded last stays first.
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

func (t *Table) serve(ctx context.Context, req *Request) (*Reply, error) {
	if req.Budget > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Budget)
		defer cancel()
	}
	reply := new(Reply)
	err := callTable(ctx, t.direct, req, reply)
	switch {
	case errors.Is(err, store.ErrCompacted):
		reply.Compacted = true
	case errors.Is(err, store.ErrLeaseLost):
		reply.LeaseGone = true
	case err != nil:
		return nil, err
	}
	return reply, nil
}

func callTable(ctx context.Context, table store.Table, req *Request, reply *Reply) (err error) {
	switch req.Op {
	case opLookup:
		var r store.Record
		r, reply.Found, err = table.Lookup(ctx, req.Key)
		reply.Records = []store.Record{r}
	case opList:
		reply.Records, reply.Revision, err = table.List(ctx, req.Key)
	case opChanges:
		reply.Events, reply.Revision, err = table.Changes(ctx, req.Key, req.After, req.Wait)
	case opCommit:
		if req.Txn == nil {
			return result.Errorf(result.BadRequest, "relayed commit carries no transaction")
		}
		reply.Outcome, err = table.Commit(ctx, *req.Txn)
	case opGrant:
		reply.Lease, err = table.Grant(ctx, req.Wait)
	case opRenew:
		err = table.Renew(ctx, req.Lease)
	case opRevoke:
		err = table.Revoke(ctx, req.Lease)
	default:
		err = result.Errorf(result.BadRequest, "relayed operation %d is unknown", req.Op)
	}
	return err
}

// storeResponded reports whether err, which may be nil, shows that the store has
// responded.
func storeResponded(err error) bool {
	return err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrLeaseLost)
}

// execute performs req by the direct route, and then through the peers; in the
// reverse order while the direct route is suspect. All operations may be attempted
// twice: the conditions of a transaction prevent a second effect. Reads are
// handled separately, since they can use several routes concurrently. If all
// routes fail, the code of the error is OutcomeUnknown if any attempt may have
// taken effect, and StoreUnavailable otherwise.
func (t *Table) execute(ctx context.Context, req *Request) (*Reply, error) {
	if req.Op <= opChanges {
		return t.read(ctx, req)
	}
	now := time.Now().UnixNano()
	outcomeUnknown := false // an attempt without a response may still take effect
	noteOutcome := func(err error) { outcomeUnknown = outcomeUnknown || !result.CodeOf(err).NotRun() }
	directFirst := now >= t.directSuspectUntil.Load()
	var err error
	if directFirst {
		var reply *Reply
		if reply, err = t.callDirect(ctx, req); storeResponded(err) {
			return reply, err
		}
		noteOutcome(err)
	}
	if now >= t.outageUntil.Load() {
		reply, peerErr := t.callPeers(ctx, req, noteOutcome)
		if storeResponded(peerErr) {
			return reply, peerErr
		}
		err = peerErr
	}
	if !directFirst && ctx.Err() == nil {
		reply, directErr := t.callDirect(ctx, req)
		if storeResponded(directErr) {
			return reply, directErr
		}
		noteOutcome(directErr)
		err = directErr
	}
	if ctx.Err() == nil {
		t.outageUntil.Store(time.Now().Add(outagePeriod).UnixNano())
	}
	code := result.StoreUnavailable
	if outcomeUnknown {
		code = result.OutcomeUnknown
	}
	if err == nil {
		err = errRecentOutage
	}
	return nil, result.Errorf(code, "no way to the store: %w", err)
}

// read performs a read. If the direct attempt fails, the further attempts return
// immediately instead of waiting for changes.
func (t *Table) read(ctx context.Context, req *Request) (*Reply, error) {
	if time.Now().UnixNano() >= t.directSuspectUntil.Load() {
		if reply, err := t.callDirect(ctx, req); storeResponded(err) {
			return reply, err
		}
		immediate := *req
		immediate.Wait = min(req.Wait, time.Millisecond)
		req = &immediate
	}
	return t.race(ctx, req)
}

// race reads directly and through peers concurrently, and returns the first
// response. It is used while the direct route is suspect. The direct attempt is
// not cancelled when a peer is faster, since it shows whether that route works
// again; it does not wait for changes.
func (t *Table) race(ctx context.Context, req *Request) (*Reply, error) {
	type response struct {
		reply *Reply
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe := *req
	probe.Wait = min(req.Wait, time.Millisecond)
	routes := []func() (*Reply, error){func() (*Reply, error) { return t.callDirect(context.WithoutCancel(ctx), &probe) }}
	if time.Now().UnixNano() >= t.outageUntil.Load() {
		routes = append(routes, func() (*Reply, error) { return t.callPeers(ctx, req, func(error) {}) })
	}
	responses := make(chan response, len(routes))
	for _, callRoute := range routes {
		go func() {
			var r response
			// A panic here would end the process, since the caller cannot contain it.
			r.err = kernel.Contain("store call", func() (err error) {
				r.reply, err = callRoute()
				return err
			})
			responses <- r
		}()
	}
	var lastErr error
	for range routes {
		select {
		case resp := <-responses:
			if storeResponded(resp.err) {
				return resp.reply, resp.err
			}
			lastErr = resp.err
		case <-ctx.Done():
			return nil, result.Errorf(result.StoreUnavailable, "no way to the store: %w", ctx.Err())
		}
	}
	if ctx.Err() == nil {
		t.outageUntil.Store(time.Now().Add(outagePeriod).UnixNano())
	}
	return nil, result.Errorf(result.StoreUnavailable, "no way to the store: %w", lastErr)
}

// callDirect performs req directly, and marks the direct route as suspect if the
// store does not respond.
func (t *Table) callDirect(ctx context.Context, req *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout+extraTimeout(req))
	defer cancel()
	reply := new(Reply)
	begin := time.Now()
	err := callTable(ctx, t.direct, req, reply)
	kernel.Metrics.Count("snipegw_store_calls_total", "operation", operationNames[req.Op], "code", result.CodeOf(err).String())
	if req.Op != opChanges {
		kernel.Metrics.Observe(time.Since(begin), "snipegw_store_call_seconds", "operation", operationNames[req.Op])
	}
	if storeResponded(err) {
		t.directSuspectUntil.Store(0)
		t.outageUntil.Store(0)
		t.recordRoute(false)
		return reply, err
	}
	t.directSuspectUntil.Store(time.Now().Add(suspectPeriod).UnixNano())
	return nil, err
}

// extraTimeout returns the time that an operation may take beyond that of a
// single call: the wait of a watch, or the further pages of a list.
func extraTimeout(req *Request) time.Duration {
	switch req.Op {
	case opChanges:
		return req.Wait
	case opList:
		return listExtraTimeout
	}
	return 0
}

// callPeers performs req through the first peers in order, until one responds. Those
// that fail become the last ones, so that the next operation tries others. It passes
// the error of each failed attempt to noteOutcome.
func (t *Table) callPeers(ctx context.Context, req *Request, noteOutcome func(error)) (*Reply, error) {
	err := error(result.Errorf(result.StoreUnavailable, "no other entry is known"))
	peers := t.Peers()
	for _, address := range peers[:min(len(peers), maxPeersPerAttempt)] {
		if ctx.Err() != nil {
			return nil, result.Errorf(result.StoreUnavailable, "entry %s: not called: %w", address, ctx.Err())
		}
		reply := new(Reply)
		if err = t.callPeer(ctx, address, req, reply); err == nil {
			t.movePeer(address, true)
			t.recordRoute(true)
			switch {
			case reply.Compacted:
				return nil, store.ErrCompacted
			case reply.LeaseGone:
				return nil, store.ErrLeaseLost
			}
			return reply, nil
		}
		noteOutcome(err)
		t.movePeer(address, false)
	}
	return nil, err
}

// callPeer performs req through one peer. If the peer does not respond, the code of
// the error is OutcomeUnknown for a commit or a grant that may have taken effect,
// and StoreUnavailable otherwise.
func (t *Table) callPeer(ctx context.Context, address string, req *Request, reply *Reply) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+extraTimeout(req))
	defer cancel()
	req.Budget = directTimeout + extraTimeout(req)
	err := t.pool.Call(ctx, address, wire.KindStoreRelay, req, reply)
	if err == nil {
		return nil
	}
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded // the peer has responded with an error
	}
	if transport.NotRun(err) || req.Op != opCommit && req.Op != opGrant {
		return result.Errorf(result.StoreUnavailable, "entry %s: %w", address, err)
	}
	return result.Errorf(result.OutcomeUnknown, "entry %s: %w", address, err)
}

// movePeer makes a peer the first one to try, or the last one. It ignores a peer that
// is no longer known.
func (t *Table) movePeer(address string, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.peers, address)
	if i < 0 {
		return
	}
	t.peers = slices.Delete(t.peers, i, i+1)
	if first {
		t.peers = slices.Insert(t.peers, 0, address)
	} else {
		t.peers = append(t.peers, address)
	}
}

// recordRoute records which route to the store worked, and logs a change.
func (t *Table) recordRoute(throughPeer bool) {
	if t.viaPeer.Swap(throughPeer) != throughPeer {
		log.WithFields(log.Fields{"event": "store_route", "through_peer": throughPeer}).Info("the route to the store has changed")
	}
}

// Lookup implements store.Table.
func (t *Table) Lookup(ctx context.Context, key string) (store.Record, bool, error) {
	reply, err := t.execute(ctx, &Request{Op: opLookup, Key: key})
	if err != nil || !reply.Found {
		return store.Record{}, false, err
	}
	if len(reply.Records) != 1 {
		return store.Record{}, false, result.Errorf(result.StoreUnavailable, "the relayed response has %d records instead of one", len(reply.Records))
	}
	return reply.Records[0], true, nil
}

// List implements store.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]store.Record, uint64, error) {
	reply, err := t.execute(ctx, &Request{Op: opList, Key: prefix})
	if err != nil {
		return nil, 0, err
	}
	return reply.Records, reply.Revision, nil
}

// Changes implements store.Table.
func (t *Table) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	reply, err := t.execute(ctx, &Request{Op: opChanges, Key: prefix, After: after, Wait: wait})
	if err != nil {
		return nil, 0, err
	}
	return reply.Events, reply.Revision, nil
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) (store.Outcome, error) {
	reply, err := t.execute(ctx, &Request{Op: opCommit, Txn: &txn})
	if err != nil {
		return store.Outcome{}, err
	}
	return reply.Outcome, nil
}

// Grant implements store.Table.
func (t *Table) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	reply, err := t.execute(ctx, &Request{Op: opGrant, Wait: ttl})
	if err != nil {
		return 0, err
	}
	return reply.Lease, nil
}

// Renew implements store.Table.
func (t *Table) Renew(ctx context.Context, lease uint64) error {
	_, err := t.execute(ctx, &Request{Op: opRenew, Lease: lease})
	return err
}

// Revoke implements store.Table.
func (t *Table) Revoke(ctx context.Context, lease uint64) error {
	_, err := t.execute(ctx, &Request{Op: opRevoke, Lease: lease})
	return err
}
