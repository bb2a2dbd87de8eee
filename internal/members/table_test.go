package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

func TestMembers(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "members")
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func entryInfo(id string, incarnation int) wire.EntryInfo {
	return wire.EntryInfo{ID: id, Address: id + ":1", Region: "r", FailureDomain: "f", Incarnation: incarnationOf(incarnation)}
}

func incarnationOf(n int) string { return fmt.Sprintf("%017x", n) }

func stateOf(worker string, incarnation int, seq uint64) *wire.WorkerState {
	return &wire.WorkerState{Worker: model.Worker{ID: worker}, Incarnation: incarnationOf(incarnation), Seq: seq, Address: worker + ":1"}
}

func heartbeatOf(worker string, incarnation int, seq uint64, full bool) *wire.Heartbeat {
	hb := &wire.Heartbeat{Worker: worker, Incarnation: incarnationOf(incarnation), Seq: seq}
	if full {
		hb.State = stateOf(worker, incarnation, seq)
	}
	return hb
}

var _ = ginkgo.Describe("table", func() {
	var (
		table *Table
		now   time.Time
	)

	ginkgo.BeforeEach(func() {
		now = start
		table = NewTable(entryInfo("self", 1), now)
	})

	heartbeat := func(hb *wire.Heartbeat) bool {
		need, err := table.ApplyHeartbeat(now, hb)
		Expect(err).NotTo(HaveOccurred())
		table.Publish()
		return need
	}
	advance := func(d time.Duration) {
		now = now.Add(d)
		table.Tick(now)
	}
	health := func(worker string) Health { return table.View().Workers[worker].Health }

	// Guards against an entry that keeps an old state because it missed a heartbeat with a
	// new one.
	ginkgo.It("asks for the state if a heartbeat without state refers to an unknown one", func() {
		Expect(heartbeat(heartbeatOf("w", 1, 3, false))).To(BeTrue())
		Expect(heartbeat(heartbeatOf("w", 1, 3, true))).To(BeFalse())
		Expect(heartbeat(heartbeatOf("w", 1, 3, false))).To(BeFalse())
		Expect(heartbeat(heartbeatOf("w", 1, 4, false))).To(BeTrue())
		Expect(heartbeat(heartbeatOf("w", 2, 1, false))).To(BeTrue())
	})

	ginkgo.It("considers a worker suspect after 3 s without a heartbeat and dead after 5 s", func() {
		heartbeat(heartbeatOf("w", 1, 1, true))
		advance(SuspectAfter - time.Millisecond)
		Expect(health("w")).To(Equal(Alive))
		advance(time.Millisecond)
		Expect(health("w")).To(Equal(Suspect))
		advance(DeadAfter - SuspectAfter)
		Expect(health("w")).To(Equal(Dead))
		heartbeat(heartbeatOf("w", 1, 1, false))
		Expect(health("w")).To(Equal(Alive))
	})

	ginkgo.It("considers a worker suspect as soon as its agent announces its stop", func() {
		heartbeat(heartbeatOf("w", 1, 1, true))
		hb := heartbeatOf("w", 1, 1, false)
		hb.Leaving = true
		heartbeat(hb)
		Expect(health("w")).To(Equal(Suspect))
	})

	// Guards against two processes of one agent that overwrite each other's state.
	ginkgo.It("refuses heartbeats of an earlier incarnation with stale_incarnation", func() {
		heartbeat(heartbeatOf("w", 2, 1, true))
		_, err := table.ApplyHeartbeat(now, heartbeatOf("w", 1, 9, true))
		Expect(result.CodeOf(err)).To(Equal(result.StaleIncarnation))
		table.Publish()
		Expect(table.View().Workers["w"].State.Incarnation).To(Equal(incarnationOf(2)))
	})

	ginkgo.It("removes a worker that has been dead for a minute", func() {
		heartbeat(heartbeatOf("w", 1, 1, true))
		advance(DeadAfter + deadRetention)
		Expect(table.View().Workers).To(HaveKey("w"))
		advance(time.Second)
		Expect(table.View().Workers).NotTo(HaveKey("w"))
	})

	// Guards against a restarted entry that builds its table from incremental updates and
	// so lacks the workers that did not change.
	ginkgo.It("asks a peer for a full update before it applies incremental ones", func() {
		u := &wire.PeerUpdate{From: entryInfo("peer", 1), States: []wire.WorkerState{*stateOf("w", 1, 1)}, OwnWorkersHash: xxhash.Sum64String("w")}
		need, err := table.ApplyPeerUpdate(now, u)
		Expect(err).NotTo(HaveOccurred())
		Expect(need).To(BeTrue())
		Expect(table.View().Workers).NotTo(HaveKey("w"))
		u.Full = true
		need, err = table.ApplyPeerUpdate(now, u)
		Expect(err).NotTo(HaveOccurred())
		Expect(need).To(BeFalse())
		table.Publish()
		Expect(table.View().Workers["w"].Home).To(Equal("peer"))
	})

	ginkgo.It("derives the health of a worker from the silence that its home entry reports", func() {
		u := &wire.PeerUpdate{From: entryInfo("peer", 1), Full: true, States: []wire.WorkerState{*stateOf("w", 1, 1), *stateOf("v", 1, 1)}}
		_, err := table.ApplyPeerUpdate(now, u)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Second)
		u = &wire.PeerUpdate{From: entryInfo("peer", 1), Silent: []wire.SilentWorker{{Worker: "w", AgeMS: 3100}}}
		_, err = table.ApplyPeerUpdate(now, u)
		Expect(err).NotTo(HaveOccurred())
		table.Publish()
		Expect(health("w")).To(Equal(Suspect))
		Expect(health("v")).To(Equal(Alive))
	})

	// Guards against workers that stay alive because their home entry died, and against
	// workers that count as dead although they moved to another entry.
	ginkgo.It("lets the workers of a dead peer become dead unless another entry reports them", func() {
		u := &wire.PeerUpdate{From: entryInfo("peer", 1), Full: true, States: []wire.WorkerState{*stateOf("w", 1, 1), *stateOf("v", 1, 1)}}
		_, err := table.ApplyPeerUpdate(now, u)
		Expect(err).NotTo(HaveOccurred())
		for range 6 {
			advance(time.Second)
			heartbeat(heartbeatOf("v", 1, 1, false))
		}
		Expect(health("w")).To(Equal(Dead))
		Expect(health("v")).To(Equal(Alive))
		Expect(table.View().Entries["peer"].Health).To(Equal(Dead))
		Expect(table.View().Workers["v"].Home).To(Equal("self"))
	})

	ginkgo.It("returns the planner with the highest epoch among entries that are not dead", func() {
		for i, epoch := range []uint64{7, 9} {
			u := &wire.PeerUpdate{From: entryInfo(fmt.Sprint("peer", i), 1), Full: true, Planner: true, PlannerEpoch: epoch}
			_, err := table.ApplyPeerUpdate(now, u)
			Expect(err).NotTo(HaveOccurred())
		}
		table.Publish()
		p, ok := table.View().Planner()
		Expect(ok).To(BeTrue())
		Expect(p.PlannerEpoch).To(Equal(uint64(9)))
		advance(DeadAfter)
		_, ok = table.View().Planner()
		Expect(ok).To(BeFalse())
	})

	// Guards against heartbeats without changes that make every reader of the view work.
	ginkgo.It("increases the generation for changes but not for heartbeats without changes", func() {
		heartbeat(heartbeatOf("w", 1, 1, true))
		before := table.View().Generation
		changed := table.Changed()
		now = now.Add(time.Second)
		heartbeat(heartbeatOf("w", 1, 1, false))
		table.Tick(now)
		Expect(table.View().Generation).To(Equal(before))
		Expect(table.View().Workers["w"].LastSeen).To(Equal(now))
		Expect(changed).NotTo(BeClosed())
		heartbeat(heartbeatOf("w", 1, 2, true))
		Expect(table.View().Generation).To(BeNumerically(">", before))
		Expect(changed).To(BeClosed())
	})

	ginkgo.It("refuses a heartbeat that carries the state of another worker", func() {
		hb := heartbeatOf("w", 1, 1, true)
		hb.State.Worker.ID = "other"
		_, err := table.ApplyHeartbeat(now, hb)
		Expect(result.CodeOf(err)).To(Equal(result.BadRequest))
	})
})

var _ = ginkgo.Describe("relay", func() {
	events := []wire.GangEvent{{Seq: 1}, {Seq: 2}, {Seq: 3}}

	ginkgo.It("holds only events that are not acknowledged", func() {
		r := newEventRelay()
		r.RecordAcks([]wire.EventAck{{Worker: "w", Incarnation: incarnationOf(1), Seq: 2}})
		Expect(r.AddPending("w", incarnationOf(1), events)).To(BeTrue())
		taken := r.TakePending()
		Expect(taken).To(HaveLen(1))
		Expect(taken[0].Events).To(Equal(events[2:]))
		Expect(r.TakePending()).To(BeEmpty())
	})

	// Guards against events of a new incarnation that are dropped because of an
	// acknowledgement for another incarnation.
	ginkgo.It("does not apply acknowledgements to another incarnation", func() {
		r := newEventRelay()
		r.RecordAcks([]wire.EventAck{{Worker: "w", Incarnation: incarnationOf(2), Seq: 5}})
		r.RecordAcks([]wire.EventAck{{Worker: "w", Incarnation: incarnationOf(1), Seq: 9}, {Worker: "w", Incarnation: incarnationOf(2), Seq: 4}})
		Expect(r.AckedSeq("w", incarnationOf(2))).To(Equal(uint64(5)))
		Expect(r.AckedSeq("w", incarnationOf(1))).To(BeZero())
		Expect(r.AckedSeq("w", incarnationOf(3))).To(BeZero())
	})
})
