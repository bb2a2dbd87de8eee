package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/wire"
)

func init() { log.SetHandler(discard.New()) }

// fakeTable responds after a delay, with err if it is set. Only the operations
// that the tests use are implemented.
type fakeTable struct {
	store.Table
	delay time.Duration
	err   error
	calls atomic.Int64
}

func (f *fakeTable) respond(ctx context.Context) error {
	f.calls.Add(1)
	select {
	case <-time.After(f.delay):
		return f.err
	case <-ctx.Done():
		return result.Errorf(result.StoreUnavailable, "no answer: %w", ctx.Err())
	}
}

func (f *fakeTable) Lookup(ctx context.Context, key string) (store.Record, bool, error) {
	err := f.respond(ctx)
	return store.Record{Key: key}, err == nil, err
}

func (f *fakeTable) List(ctx context.Context, _ string) ([]store.Record, uint64, error) {
	return nil, 1, f.respond(ctx)
}

func (f *fakeTable) Commit(ctx context.Context, _ store.Txn) (store.Outcome, error) {
	err := f.respond(ctx)
	return store.Outcome{Committed: err == nil}, err
}

// fakePeer is a Caller that responds to relayed requests as another entry does.
type fakePeer struct {
	delay time.Duration
	err   error
	calls atomic.Int64
}

func (p *fakePeer) Call(_ context.Context, _ string, _ wire.Kind, _, reply any) error {
	p.calls.Add(1)
	time.Sleep(p.delay)
	if p.err == nil {
		r := reply.(*Reply)
		r.Found, r.Records, r.Outcome = true, []store.Record{{Key: "through the peer"}}, store.Outcome{Committed: true}
	}
	return p.err
}

func newTable(direct *fakeTable, p *fakePeer) *Table {
	t := New(direct, p, "self")
	t.SetPeers([]string{"self", "other"})
	return t
}

// Guards against a direct route that stays suspect, so that every read is made
// twice. This happens if the store responds again, but the peer is faster, and the
// direct attempt is cancelled before its response arrives.
func TestFasterPeerDoesNotKeepTheDirectWaySuspect(t *testing.T) {
	g := NewWithT(t)
	direct, p := &fakeTable{delay: 10 * time.Millisecond}, new(fakePeer)
	relayed := newTable(direct, p)
	relayed.directSuspectUntil.Store(time.Now().Add(suspectPeriod).UnixNano())
	_, found, err := relayed.Lookup(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(p.calls.Load()).To(BeEquivalentTo(1))
	g.Eventually(relayed.directSuspectUntil.Load).Should(BeZero())
	_, _, err = relayed.Lookup(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.calls.Load()).To(BeEquivalentTo(1), "calls of the peer")
}

// Guards against calls that each wait for a silent store before they try a peer,
// when only this entry gets no response from the store.
func TestSilentStoreStaysSuspectWhilePeersAnswer(t *testing.T) {
	g := NewWithT(t)
	relayed := newTable(&fakeTable{delay: time.Hour}, new(fakePeer))
	_, _, err := relayed.Lookup(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	for range 20 {
		_, _, err := relayed.Lookup(t.Context(), "k")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", directTimeout))
	g.Eventually(func() bool { return time.Until(time.Unix(0, relayed.directSuspectUntil.Load())) > suspectPeriod/2 }, 2*directTimeout).Should(BeTrue())
}

// Guards against a read that outlives the context of its caller, because the
// direct attempt continues in order to probe the route.
func TestReadEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	relayed := newTable(&fakeTable{delay: time.Hour}, &fakePeer{err: result.Errorf(result.StoreUnavailable, "away")})
	relayed.directSuspectUntil.Store(time.Now().Add(suspectPeriod).UnixNano())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, _, err := relayed.Lookup(ctx, "k")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	g.Expect(time.Since(began)).To(BeNumerically("<", directTimeout))
}

// Guards against an entry that starts, or becomes the planner, while the store is
// slow, and never finishes its list. A list has many pages, each limited by the
// store's client; they must not share the timeout of a single call.
func TestListOfManyPagesHasMoreTimeThanOneCall(t *testing.T) {
	g := NewWithT(t)
	relayed := newTable(&fakeTable{delay: directTimeout + 200*time.Millisecond}, &fakePeer{err: result.Errorf(result.StoreUnavailable, "away")})
	_, revision, err := relayed.List(t.Context(), "p/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(BeEquivalentTo(1))
}

// Guards against an error whose code says that a transaction had no effect,
// although an attempt by one of the routes may have taken effect.
func TestUnknownOutcomeOfOneRouteIsReported(t *testing.T) {
	for _, c := range []struct {
		direct, peer, want result.Code
	}{
		{result.OutcomeUnknown, result.StoreUnavailable, result.OutcomeUnknown},
		{result.StoreUnavailable, result.OutcomeUnknown, result.OutcomeUnknown},
		{result.StoreUnavailable, result.Internal, result.OutcomeUnknown},
		{result.StoreUnavailable, result.DeadlineRan, result.OutcomeUnknown},
		{result.StoreUnavailable, result.StoreUnavailable, result.StoreUnavailable},
	} {
		g := NewWithT(t)
		relayed := newTable(&fakeTable{err: result.Errorf(c.direct, "direct")}, &fakePeer{err: result.Errorf(c.peer, "peer")})
		_, err := relayed.Commit(t.Context(), store.Txn{})
		g.Expect(result.CodeOf(err)).To(Equal(c.want))
	}
}

// Guards against an outage of the store during which every write of an entry becomes a
// call to each other entry, and takes as long as all of them together. The next writes
// must try the other peers, one of which may still reach the store.
func TestWriteTriesFewPeers(t *testing.T) {
	g := NewWithT(t)
	p := &reachablePeer{address: "e12"}
	relayed := New(&fakeTable{err: result.Errorf(result.StoreUnavailable, "away")}, p, "e0")
	var addresses []string
	for i := range 15 {
		addresses = append(addresses, fmt.Sprintf("e%d", i))
	}
	relayed.SetPeers(addresses)
	for attempt := 1; ; attempt++ {
		relayed.outageUntil.Store(0)
		out, err := relayed.Commit(t.Context(), store.Txn{})
		g.Expect(p.calls.Load()).To(BeNumerically("<=", attempt*maxPeersPerAttempt))
		if err == nil {
			g.Expect(out.Committed).To(BeTrue())
			break
		}
		g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
		g.Expect(attempt).To(BeNumerically("<", len(addresses)))
	}
	calls := p.calls.Load()
	_, err := relayed.Commit(t.Context(), store.Txn{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.calls.Load()).To(Equal(calls+1), "the peer that responded is tried first")
}

// reachablePeer stands for several entries, of which only the one with the given address
// reaches the store.
type reachablePeer struct {
	address string
	calls   atomic.Int64
}

func (p *reachablePeer) Call(_ context.Context, address string, _ wire.Kind, _, reply any) error {
	p.calls.Add(1)
	if address != p.address {
		return result.Errorf(result.StoreUnavailable, "away")
	}
	reply.(*Reply).Outcome = store.Outcome{Committed: true}
	return nil
}

// Guards against a relayed response without a record that ends the process.
func TestEmptyRelayedResponse(t *testing.T) {
	g := NewWithT(t)
	relayed := New(&fakeTable{err: result.Errorf(result.StoreUnavailable, "away")}, emptyPeer{}, "self")
	relayed.SetPeers([]string{"other"})
	_, _, err := relayed.Lookup(t.Context(), "k")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
}

// emptyPeer is a Caller that says that it found a record and sends none.
type emptyPeer struct{}

func (emptyPeer) Call(_ context.Context, _ string, _ wire.Kind, _, reply any) error {
	reply.(*Reply).Found = true
	return nil
}

// Guards against requests that are relayed in a cycle between entries that all
// fail to reach the store.
func TestRelayedRequestsUseTheDirectRouteOnly(t *testing.T) {
	g := NewWithT(t)
	p := new(fakePeer)
	relayed := newTable(&fakeTable{err: result.Errorf(result.StoreUnavailable, "away")}, p)
	_, err := relayed.serve(t.Context(), &Request{Op: opLookup, Key: "k"})
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	g.Expect(p.calls.Load()).To(BeZero())
}

// panickingTable is a store whose client panics.
type panickingTable struct{ store.Table }

// Lookup implements store.Table.
func (panickingTable) Lookup(context.Context, string) (store.Record, bool, error) {
	panic("odd response")
}

// Guards against a panic of the store's client in a read by several routes, which no caller could
// contain, and against a read that fails although a peer has answered.
func TestPanicOfOneRouteLeavesTheOthers(t *testing.T) {
	g := NewWithT(t)
	relayed := New(panickingTable{}, new(fakePeer), "self")
	relayed.SetPeers([]string{"self", "other"})
	relayed.directSuspectUntil.Store(time.Now().Add(suspectPeriod).UnixNano())
	r, found, err := relayed.Lookup(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(r.Key).To(Equal("through the peer"))

	relayed.SetPeers(nil)
	relayed.directSuspectUntil.Store(time.Now().Add(suspectPeriod).UnixNano())
	_, _, err = relayed.Lookup(t.Context(), "k")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
}
