package members

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/wire"
)

// entryPair is a model of two entries whose tables exchange updates as peer links do.
type entryPair struct {
	tables [2]*Table
	infos  [2]wire.EntryInfo
	since  [2]uint64
	full   [2]bool
	now    time.Time
}

func newEntryPair() *entryPair {
	p := &entryPair{now: start, full: [2]bool{true, true}}
	for i := range p.tables {
		p.infos[i] = entryInfo(fmt.Sprintf("entry-%d", i), 1)
		p.tables[i] = NewTable(p.infos[i], p.now)
	}
	return p
}

// step lets an exchange interval pass and sends an update in each direction.
func (p *entryPair) step() {
	p.now = p.now.Add(ExchangeInterval)
	for from := range p.tables {
		own := p.tables[from].ownWorkers(p.now, p.since[from], p.full[from])
		need, err := p.tables[1-from].ApplyPeerUpdate(p.now, &wire.PeerUpdate{From: p.infos[from], Full: p.full[from], States: own.states, Silent: own.silent, OwnWorkersHash: own.hash})
		Expect(err).NotTo(HaveOccurred())
		p.since[from], p.full[from] = own.next, need
	}
	for _, t := range p.tables {
		t.Tick(p.now)
	}
}

// heartbeat sends a heartbeat of worker w to an entry, and again with its state if the
// entry asks for it.
func (p *entryPair) heartbeat(entry int) {
	need, err := p.tables[entry].ApplyHeartbeat(p.now, heartbeatOf("w", 1, 1, false))
	Expect(err).NotTo(HaveOccurred())
	if need {
		_, err = p.tables[entry].ApplyHeartbeat(p.now, heartbeatOf("w", 1, 1, true))
		Expect(err).NotTo(HaveOccurred())
	}
}

var _ = ginkgo.Describe("a worker whose agent changes its home entry", func() {
	// Guards against a worker that counts as dead forever on its former home entry. That
	// entry still had a recent heartbeat and refused the claim of the new home. The claim
	// never came again, since an unchanged state is sent once.
	ginkgo.DescribeTable("stays alive on both entries", func(beatsToFormerHome int) {
		p := newEntryPair()
		stepsPerBeat := int(HeartbeatInterval / ExchangeInterval)
		for i := range beatsToFormerHome * stepsPerBeat {
			if i%stepsPerBeat == 0 {
				p.heartbeat(0)
			}
			p.step()
		}
		for i := range 20 * stepsPerBeat {
			if i%stepsPerBeat == 0 {
				p.heartbeat(1)
			}
			p.step()
			for _, t := range p.tables {
				Expect(t.View().Workers["w"].Health).To(Equal(Alive))
			}
		}
	},
		ginkgo.Entry("at once", 1), ginkgo.Entry("after 3 s", 3), ginkgo.Entry("after 10 s", 10),
	)

	// Guards against two entries that name each other as the home of a worker. Each then
	// took the updates of the other as contact with the worker, and a dead worker stayed
	// alive in both tables. Claims on guarantees then waited for its tasks.
	ginkgo.It("becomes dead on both entries after any sequence of changes of its home", func() {
		const scripts = 300
		stepsPerBeat := int(HeartbeatInterval / ExchangeInterval)
		for seed := range uint64(scripts) {
			rnd := rand.New(rand.NewPCG(seed, 2))
			p := newEntryPair()
			for range 4 + rnd.IntN(12) {
				p.heartbeat(rnd.IntN(2))
				p.full[rnd.IntN(2)] = rnd.IntN(3) == 0 // as after a restart of an entry
				for range 1 + rnd.IntN(stepsPerBeat) {
					p.step()
				}
			}
			p.heartbeat(rnd.IntN(2))
			p.full[rnd.IntN(2)] = true
			for end := p.now.Add(DeadAfter + 2*time.Second); p.now.Before(end); {
				p.step()
			}
			for i, t := range p.tables {
				Expect(t.View().Workers["w"].Health).To(Equal(Dead), "seed %d entry %d", seed, i)
			}
		}
	})

	// Guards against a worker that counts as dead although it sends heartbeats, for random
	// changes of its home.
	ginkgo.It("does not become dead on any entry during random changes of its home", func() {
		const beats = 200
		seed := uint64(time.Now().UnixNano())
		ginkgo.GinkgoWriter.Println("seed", seed)
		rnd := rand.New(rand.NewPCG(seed, 1))
		p := newEntryPair()
		home := 0
		stepsPerBeat := int(HeartbeatInterval / ExchangeInterval)
		for i := range beats * stepsPerBeat {
			if i%stepsPerBeat == 0 {
				if rnd.IntN(4) == 0 {
					home = 1 - home
				}
				p.heartbeat(home)
			}
			p.step()
			for _, t := range p.tables {
				Expect(t.View().Workers["w"].Health).NotTo(Equal(Dead), "seed %d step %d", seed, i)
			}
		}
	})
})
