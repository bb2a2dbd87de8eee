package heartbeat

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/wire"
)

func TestHeartbeat(t *testing.T) {
	log.SetLevel(log.FatalLevel)
	RegisterFailHandler(Fail)
	RunSpecs(t, "heartbeat")
}

// fakeEntries implements Caller for all addresses that are not down.
type fakeEntries struct {
	down            map[string]bool
	heartbeats      []*wire.Heartbeat
	calledAddresses []string
	forgotten       []string
	reply           wire.HeartbeatReply
	config          wire.ConfigReply
	configFetches   []wire.ConfigFetch
}

func (f *fakeEntries) Call(_ context.Context, addr string, kind wire.Kind, msg, reply any) error {
	f.calledAddresses = append(f.calledAddresses, addr)
	if f.down[addr] {
		return errors.New("no answer")
	}
	switch kind {
	case wire.KindHeartbeat:
		f.heartbeats = append(f.heartbeats, msg.(*wire.Heartbeat))
		*reply.(*wire.HeartbeatReply) = f.reply
		f.reply.NeedState = false
	case wire.KindConfigFetch:
		f.configFetches = append(f.configFetches, *msg.(*wire.ConfigFetch))
		*reply.(*wire.ConfigReply) = f.config
	}
	return nil
}

func (f *fakeEntries) CloseConnections(addr string) { f.forgotten = append(f.forgotten, addr) }

func (f *fakeEntries) lastHeartbeat() *wire.Heartbeat { return f.heartbeats[len(f.heartbeats)-1] }

type fakeSource struct {
	state    wire.WorkerState
	ackedSeq uint64
	version  uint64
}

func (s *fakeSource) State() wire.WorkerState  { return s.state }
func (s *fakeSource) FreeSlots() int           { return 3 }
func (s *fakeSource) Events() []wire.GangEvent { return []wire.GangEvent{{Seq: 9}} }
func (s *fakeSource) Acknowledge(seq uint64)   { s.ackedSeq = seq }
func (s *fakeSource) ConfigVersion() uint64    { return s.version }

func (s *fakeSource) AdoptConfig(version uint64, _ []byte) { s.version = version }

func newEntries(n int, domain string) []wire.EntryInfo {
	var out []wire.EntryInfo
	for i := range n {
		id := fmt.Sprintf("%s-%d", domain, i)
		out = append(out, wire.EntryInfo{ID: id, Address: id, FailureDomain: domain})
	}
	return out
}

var _ = Describe("heartbeat", func() {
	var (
		now    time.Time
		fake   *fakeEntries
		source *fakeSource
		s      *Sender
		ctx    = context.Background()
	)

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		fake = &fakeEntries{down: map[string]bool{}}
		source = &fakeSource{}
		s = New(Config{
			Worker: "w1", Incarnation: "inc", FailureDomain: "a", Seeds: []string{"seed"},
			Caller: fake, Source: source, Now: func() time.Time { return now },
		})
	})

	It("sends the state only if it has changed", func() {
		Expect(s.Beat(ctx, false)).To(BeTrue())
		Expect(fake.lastHeartbeat().State).NotTo(BeNil())
		s.Beat(ctx, false)
		Expect(fake.lastHeartbeat().State).To(BeNil())
		Expect(fake.lastHeartbeat().FreeSlots).To(Equal(3))
		source.state.Draining = true
		s.Beat(ctx, false)
		Expect(fake.lastHeartbeat().State.Draining).To(BeTrue())
		Expect(fake.lastHeartbeat().State.Seq).To(Equal(uint64(2)))
	})

	It("sends the full state at once to an entry that does not know it", func() {
		s.Beat(ctx, false)
		fake.reply.NeedState = true
		s.Beat(ctx, false)
		Expect(fake.heartbeats).To(HaveLen(3))
		Expect(fake.lastHeartbeat().State).NotTo(BeNil())
	})

	It("sends the state again after an unanswered heartbeat", func() {
		s.Beat(ctx, false)
		fake.down["seed"] = true
		source.state.Epoch = 4
		Expect(s.Beat(ctx, false)).To(BeFalse())
		fake.down["seed"] = false
		s.Beat(ctx, false)
		Expect(fake.lastHeartbeat().State.Epoch).To(Equal(uint64(4)))
	})

	It("moves to an entry of its failure domain and closes the former connection", func() {
		fake.reply.Entries = append(newEntries(3, "b"), newEntries(3, "a")...)
		s.Beat(ctx, false)
		s.Beat(ctx, false)
		Expect(s.Stats().Home).To(HavePrefix("a-"))
		Expect(fake.forgotten).To(Equal([]string{"seed"}))
		Expect(fake.lastHeartbeat().State).NotTo(BeNil())
	})

	It("falls back after one missed reply and returns to the preferred entry later", func() {
		fake.reply.Entries = newEntries(3, "a")
		s.Beat(ctx, false)
		s.Beat(ctx, false)
		home := s.Stats().Home
		fake.down[home] = true
		Expect(s.Beat(ctx, false)).To(BeFalse())
		Expect(s.Beat(ctx, false)).To(BeTrue())
		Expect(s.Stats().Home).NotTo(Equal(home))
		fake.down[home] = false
		for range 2 {
			now = now.Add(preferredRetryInterval + time.Second)
			s.Beat(ctx, false)
		}
		Expect(s.Stats().Home).To(Equal(home))
	})

	It("fetches a newer configuration and never an older one", func() {
		fake.reply.ConfigVersion = 7
		fake.config = wire.ConfigReply{Version: 7, Document: []byte("{}")}
		s.Beat(ctx, false)
		Expect(source.version).To(Equal(uint64(7)))
		fake.reply.ConfigVersion = 6
		fake.config = wire.ConfigReply{Version: 6, Document: []byte("{}")}
		s.Beat(ctx, false)
		Expect(source.version).To(Equal(uint64(7)))
		Expect(fake.configFetches).To(Equal([]wire.ConfigFetch{{OmitHistory: true}}))
	})

	It("sends events and forwards their acknowledgement", func() {
		fake.reply.AckedEventSeq = 9
		s.Beat(ctx, false)
		Expect(fake.lastHeartbeat().Events).To(HaveLen(1))
		Expect(source.ackedSeq).To(Equal(uint64(9)))
	})

	It("moves only the agents of an entry that is removed", func() {
		before := newEntries(6, "a")
		moved := 0
		for i := range 300 {
			worker := fmt.Sprintf("w%d", i)
			old := rankEntries(worker, "a", before, nil)[0]
			fresh := rankEntries(worker, "a", before[:5], nil)[0]
			if old != fresh {
				moved++
				Expect(old).To(Equal("a-5"))
			}
		}
		Expect(moved).To(BeNumerically("~", 50, 25))
	})
})
