package relay

import (
	"context"
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

// table answers after a delay, or fails. Only what the tests use is set.
type table struct {
	store.Table
	delay time.Duration
	err   error
	calls atomic.Int64
}

func (f *table) answer(ctx context.Context) error {
	f.calls.Add(1)
	select {
	case <-time.After(f.delay):
		return f.err
	case <-ctx.Done():
		return result.Errorf(result.StoreUnavailable, "no answer: %w", ctx.Err())
	}
}

func (f *table) Lookup(ctx context.Context, key string) (store.Record, bool, error) {
	err := f.answer(ctx)
	return store.Record{Key: key}, err == nil, err
}

func (f *table) List(ctx context.Context, _ string) ([]store.Record, uint64, error) {
	return nil, 1, f.answer(ctx)
}

func (f *table) Commit(ctx context.Context, _ store.Txn) (store.Outcome, error) {
	err := f.answer(ctx)
	return store.Outcome{Committed: err == nil}, err
}

// peer answers relayed requests as another entry does.
type peer struct {
	delay time.Duration
	err   error
	calls atomic.Int64
}

func (p *peer) Call(_ context.Context, _ string, _ wire.Kind, _, reply any) error {
	p.calls.Add(1)
	time.Sleep(p.delay)
	if p.err == nil {
		r := reply.(*Reply)
		r.Found, r.Records, r.Outcome = true, []store.Record{{Key: "through the peer"}}, store.Outcome{Committed: true}
	}
	return p.err
}

func newTable(direct *table, p *peer) *Table {
	t := New(direct, p, "self")
	t.SetPeers([]string{"self", "other"})
	return t
}

// The store answers again, but the peer is a little faster. Guards against a
// direct way that stays suspect because its answer was not waited for, so that
// every read is made twice.
func TestFasterPeerDoesNotKeepTheDirectWaySuspect(t *testing.T) {
	g := NewWithT(t)
	direct, p := &table{delay: 10 * time.Millisecond}, new(peer)
	r := newTable(direct, p)
	r.suspect.Store(time.Now().Add(suspectFor).UnixNano())
	_, found, err := r.Lookup(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(p.calls.Load()).To(BeEquivalentTo(1))
	g.Eventually(r.suspect.Load).Should(BeZero())
	_, _, err = r.Lookup(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.calls.Load()).To(BeEquivalentTo(1), "calls of the peer")
}

// The store is silent for this entry only. Guards against calls that all wait for
// it before they go to a peer.
func TestSilentStoreStaysSuspectWhilePeersAnswer(t *testing.T) {
	g := NewWithT(t)
	r := newTable(&table{delay: time.Hour}, new(peer))
	_, _, err := r.Lookup(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	for range 20 {
		_, _, err := r.Lookup(t.Context(), "k")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", directFor))
	g.Eventually(func() bool { return time.Until(time.Unix(0, r.suspect.Load())) > suspectFor/2 }, 2*directFor).Should(BeTrue())
}

// Guards against a read that outlives its caller, because the direct attempt
// goes on for the sake of what it shows.
func TestReadEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	r := newTable(&table{delay: time.Hour}, &peer{err: result.Errorf(result.StoreUnavailable, "away")})
	r.suspect.Store(time.Now().Add(suspectFor).UnixNano())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, _, err := r.Lookup(ctx, "k")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	g.Expect(time.Since(began)).To(BeNumerically("<", directFor))
}

// A list has many pages, each bounded by the store's client. Guards against an
// entry that starts, or becomes planner, while the store is slow and never
// finishes its list, because all pages together had the time of one call.
func TestListOfManyPagesHasMoreTimeThanOneCall(t *testing.T) {
	g := NewWithT(t)
	r := newTable(&table{delay: directFor + 200*time.Millisecond}, &peer{err: result.Errorf(result.StoreUnavailable, "away")})
	_, revision, err := r.List(t.Context(), "p/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(BeEquivalentTo(1))
}

// Guards against "nothing was done" for a transaction that one of the ways left
// open.
func TestOpenAttemptMakesTheOutcomeUnknown(t *testing.T) {
	for _, c := range []struct {
		direct, peer, want result.Code
	}{
		{result.OutcomeUnknown, result.StoreUnavailable, result.OutcomeUnknown},
		{result.StoreUnavailable, result.OutcomeUnknown, result.OutcomeUnknown},
		{result.StoreUnavailable, result.StoreUnavailable, result.StoreUnavailable},
	} {
		g := NewWithT(t)
		r := newTable(&table{err: result.Errorf(c.direct, "direct")}, &peer{err: result.Errorf(c.peer, "peer")})
		_, err := r.Commit(t.Context(), store.Txn{})
		g.Expect(result.CodeOf(err)).To(Equal(c.want))
	}
}

// Guards against requests that travel in circles between entries that are all
// turned away.
func TestRelayedRequestsUseTheDirectWayOnly(t *testing.T) {
	g := NewWithT(t)
	p := new(peer)
	r := newTable(&table{err: result.Errorf(result.StoreUnavailable, "away")}, p)
	_, err := r.serve(t.Context(), &Request{Op: opLookup, Key: "k"})
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	g.Expect(p.calls.Load()).To(BeZero())
}
