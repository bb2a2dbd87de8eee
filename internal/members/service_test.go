package members

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// memoryStore is a store with one key. It implements only Get and CompareAndSwap.
type memoryStore struct {
	store.Store
	mu    sync.Mutex
	entry store.Entry
	down  atomic.Bool
}

func (m *memoryStore) Get(context.Context, string) (store.Entry, error) {
	if m.down.Load() {
		return store.Entry{}, result.Errorf(result.StoreUnavailable, "down")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry, nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, _ string, rev uint64, value []byte) (bool, error) {
	if m.down.Load() {
		return false, result.Errorf(result.StoreUnavailable, "down")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entry.Revision != rev {
		return false, nil
	}
	m.entry = store.Entry{Value: value, Revision: rev + 1}
	return true, nil
}

// versionSource is a ConfigSource whose configuration consists of a version. It records
// the version that was offered last.
type versionSource struct {
	version atomic.Uint64
	offered atomic.Uint64
}

func (v *versionSource) Current() *model.Config { return &model.Config{Version: v.version.Load()} }
func (v *versionSource) Offer(version uint64, _ func(context.Context) ([]byte, error)) {
	v.offered.Store(version)
}

// recordingSink is an EventSink that counts gang events and records the last epoch.
type recordingSink struct {
	planner atomic.Bool
	epoch   atomic.Uint64
	highest atomic.Uint64
	events  atomic.Int64
}

func (s *recordingSink) RecordGangEvents(_, _ string, events []wire.GangEvent) uint64 {
	if !s.planner.Load() {
		return 0
	}
	s.events.Add(int64(len(events)))
	return events[len(events)-1].Seq
}
func (s *recordingSink) PlannerState() (bool, uint64) { return s.planner.Load(), s.epoch.Load() }
func (s *recordingSink) ObserveEpoch(e uint64)        { s.highest.Store(e) }

// runningEntry is a started Service that other entries can call.
type runningEntry struct {
	*Service
	config *versionSource
	sink   *recordingSink
	addr   string
}

func runEntry(id string, st store.Store) *runningEntry {
	ginkgo.GinkgoHelper()
	creds, err := transport.NewCredentials(transport.Security{Mode: transport.ModeDevelopment})
	Expect(err).NotTo(HaveOccurred())
	pool, err := transport.NewPool("127.0.0.1:0", creds)
	Expect(err).NotTo(HaveOccurred())
	mux := &transport.Mux{}
	ready := make(chan struct{}) // closed once the handlers, which need the address, are registered
	srv, err := transport.Listen("127.0.0.1:0", creds, transport.HandlerFunc(func(ctx context.Context, kind wire.Kind, s *transport.Stream) error {
		<-ready
		return mux.ServeCall(ctx, kind, s)
	}))
	Expect(err).NotTo(HaveOccurred())
	e := &runningEntry{config: &versionSource{}, sink: &recordingSink{}, addr: srv.Addr()}
	e.Service = New(Options{Self: wire.EntryInfo{ID: id, Address: srv.Addr(), Region: "r", FailureDomain: "f"}, Store: st, Pool: pool, Config: e.config})
	e.SetSink(e.sink)
	e.Register(mux)
	close(ready)
	Expect(e.Start(context.Background())).To(Succeed())
	ginkgo.DeferCleanup(func() {
		_ = e.Stop(context.Background())
		_ = pool.Close()
		_ = srv.Close()
	})
	return e
}

var _ = ginkgo.Describe("Service", func() {
	var (
		kv   *memoryStore
		a, b *runningEntry
	)
	const pollTimeout = 5 * time.Second

	ginkgo.BeforeEach(func() {
		kv = &memoryStore{}
		a = runEntry("a", kv)
		b = runEntry("b", kv)
		Eventually(func() int { return len(a.View().Entries) }, pollTimeout).Should(Equal(2))
		Eventually(func() int { return len(b.View().Entries) }, pollTimeout).Should(Equal(2))
	})

	send := func(e *runningEntry, hb *wire.Heartbeat) *wire.HeartbeatReply {
		ginkgo.GinkgoHelper()
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		reply := &wire.HeartbeatReply{}
		Expect(a.Pool.Call(ctx, e.addr, wire.KindHeartbeat, hb, reply)).To(Succeed())
		return reply
	}

	// Guards against entries that do not learn of workers, configuration versions and
	// planner epochs from each other.
	ginkgo.It("passes worker states, configuration versions and epochs on to the other entry", func() {
		hb := heartbeatOf("w", 1, 1, true)
		hb.State.Epoch = 41
		a.config.version.Store(7)
		send(a, hb)
		Eventually(func() *Worker { return b.View().Workers["w"] }, pollTimeout).ShouldNot(BeNil())
		Expect(b.View().Workers["w"].Home).To(Equal("a"))
		Eventually(b.sink.highest.Load, pollTimeout).Should(Equal(uint64(41)))
		Eventually(b.config.offered.Load, pollTimeout).Should(Equal(uint64(7)))
		Eventually(func() uint64 { return b.View().Entries["a"].ConfigVersion }, pollTimeout).Should(Equal(uint64(7)))
	})

	// Guards against events of agents on other entries that never reach the planner or are
	// repeated forever for lack of an acknowledgement.
	ginkgo.It("passes gang events on to the planner and its acknowledgement back", func() {
		b.sink.epoch.Store(3)
		b.sink.planner.Store(true)
		Eventually(func() bool { _, ok := a.View().Planner(); return ok }, pollTimeout).Should(BeTrue())
		hb := heartbeatOf("w", 1, 1, true)
		hb.Events = []wire.GangEvent{{Seq: 4, Job: "j"}, {Seq: 5, Job: "j"}}
		send(a, hb)
		Eventually(func() uint64 { return send(a, heartbeatOf("w", 1, 1, false)).AckedEventSeq }, pollTimeout).Should(Equal(uint64(5)))
		Expect(b.sink.events.Load()).To(Equal(int64(2)))
	})

	ginkgo.It("sends the list of entries only to agents that do not have it", func() {
		reply := send(a, heartbeatOf("w", 1, 1, true))
		Expect(reply.Entries).To(HaveLen(2))
		hb := heartbeatOf("w", 1, 1, false)
		hb.EntriesHash = wire.HashEntries(reply.Entries)
		Expect(send(a, hb).Entries).To(BeEmpty())
	})

	// Guards against failure detection that depends on the store.
	ginkgo.It("exchanges updates while the store is down", func() {
		kv.down.Store(true)
		send(a, heartbeatOf("w", 1, 1, true))
		Eventually(func() *Worker { return b.View().Workers["w"] }, pollTimeout).ShouldNot(BeNil())
	})

	ginkgo.It("removes only its own record from the directory", func() {
		Expect(b.leaveDirectory(context.Background())).To(Succeed())
		var d directory
		entry, err := kv.Get(context.Background(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(entry.Value, &d)).To(Succeed())
		Expect(d.Entries).To(HaveLen(1))
		Expect(d.Entries[0].ID).To(Equal("a"))
	})
})

var _ = ginkgo.Describe("directory", func() {
	// Guards against records that are removed because the clocks of two hosts differ.
	ginkgo.It("considers a record stale that has not changed for 30 s by the reader's own clock", func() {
		seen := make(map[string]recordObservation)
		e := wire.EntryInfo{ID: "e", Incarnation: "1", UpdatedMS: 1}
		Expect(isStaleRecord(seen, e, start)).To(BeFalse())
		Expect(isStaleRecord(seen, e, start.Add(staleRecordAge))).To(BeFalse())
		Expect(isStaleRecord(seen, e, start.Add(staleRecordAge+1))).To(BeTrue())
		e.UpdatedMS = 2
		Expect(isStaleRecord(seen, e, start.Add(staleRecordAge+2))).To(BeFalse())
	})
})
