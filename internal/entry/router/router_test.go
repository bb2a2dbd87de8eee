package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "router")
}

const service = "pricing"

type fixedMembers struct{ view *members.View }

func (f *fixedMembers) View() *members.View      { return f.view }
func (f *fixedMembers) Changed() <-chan struct{} { return nil }

func viewOf(n int) *members.View {
	v := &members.View{Workers: make(map[string]*members.Worker)}
	for i := range n {
		id := fmt.Sprintf("w%04d", i)
		v.Workers[id] = &members.Worker{Health: members.Alive, State: wire.WorkerState{
			Worker: model.Worker{ID: id}, Incarnation: "1", Address: id + ":1",
			Services: []wire.ServiceState{{Service: service, Slots: 8, Healthy: true}},
		}}
	}
	return v
}

func routerOf(v *members.View) (*Router, *Service) {
	ginkgo.GinkgoHelper()
	r := New("entry", &fixedMembers{v})
	r.Rebuild()
	s, err := r.Service(service)
	Expect(err).NotTo(HaveOccurred())
	return r, s
}

func target(s *Service, worker string) *Target {
	for _, t := range s.Targets {
		if t.Worker == worker {
			return t
		}
	}
	return nil
}

var _ = ginkgo.Describe("Router", func() {
	// Guards against requests that are sent to suspect, draining, stopping,
	// leaving or unhealthy workers, and against a limit that counts their slots.
	ginkgo.It("leaves out workers that must not receive new requests", func() {
		v := viewOf(7)
		v.Workers["w0000"].Health = members.Suspect
		v.Workers["w0001"].State.Draining = true
		v.Workers["w0002"].State.Stopping = true
		v.Workers["w0003"].State.Services[0].Leaving = true
		v.Workers["w0004"].State.Services[0].Healthy = false
		v.Workers["w0005"].State.Services[0].Slots = 0
		_, s := routerOf(v)
		Expect(s.Targets).To(HaveLen(1))
		Expect(s.Targets[0].Worker).To(Equal("w0006"))
		Expect(s.Limiter.Counts().Slots).To(Equal(int64(8)))
	})

	ginkgo.It("distinguishes an unknown service from one without healthy workers", func() {
		v := viewOf(1)
		v.Workers["w0000"].Health = members.Dead
		r := New("entry", &fixedMembers{v})
		r.Rebuild()
		_, err := r.Service(service)
		Expect(result.CodeOf(err)).To(Equal(result.NoWorker))
		_, err = r.Service("other")
		Expect(result.CodeOf(err)).To(Equal(result.UnknownService))
	})

	// Guards against an entry that opens connections to every worker, or that
	// replaces most of its connections when one worker is lost.
	ginkgo.It("uses a bounded subset that changes by one worker when one is lost", func() {
		v := viewOf(1400)
		r, s := routerOf(v)
		Expect(s.Targets).To(HaveLen(SubsetSize))
		before := map[string]bool{}
		for _, t := range s.Targets {
			before[t.Worker] = true
		}
		v.Workers[s.Targets[5].Worker].Health = members.Dead
		r.Rebuild()
		s, _ = r.Service(service)
		kept := 0
		for _, t := range s.Targets {
			if before[t.Worker] {
				kept++
			}
		}
		Expect(s.Targets).To(HaveLen(SubsetSize))
		Expect(kept).To(Equal(SubsetSize - 1))
	})

	// Guards against a rebuild that loses the requests in progress, and against a
	// restarted agent that inherits the load of its earlier process.
	ginkgo.It("keeps loads over a rebuild and starts a new incarnation without load", func() {
		v := viewOf(2)
		r, s := routerOf(v)
		target(s, "w0000").Load.Begin(0)
		target(s, "w0001").Load.Begin(0)
		v.Workers["w0001"].State.Incarnation = "2"
		r.Rebuild()
		s, _ = r.Service(service)
		Expect(target(s, "w0000").Load.InFlight()).To(Equal(int64(1)))
		Expect(target(s, "w0001").Load.InFlight()).To(BeZero())
	})

	// Guards against requests sent to a worker whose slots are all in use while
	// other workers have free slots.
	ginkgo.It("spreads long requests evenly", func() {
		r, s := routerOf(viewOf(10))
		for range 80 {
			r.Begin(s, nil)
			r.Refresh() // the goroutine may move between threads
		}
		for _, t := range s.Targets {
			Expect(t.Load.InFlight()).To(Equal(int64(8)))
		}
	})

	ginkgo.It("does not pick the same worker twice for a request", func() {
		r, s := routerOf(viewOf(3))
		var tried []*Target
		for range 3 {
			t := r.Pick(s, tried)
			Expect(containsWorker(tried, t)).To(BeFalse())
			tried = append(tried, t)
		}
		Expect(r.Pick(s, tried)).To(BeNil())
	})

	ginkgo.It("prefers workers that have less load from other entries", func() {
		r, s := routerOf(viewOf(2))
		r.ReportFree("w0000", 1)
		for range 5 {
			Expect(r.Pick(s, nil).Worker).To(Equal("w0001"))
		}
		r.SetTime(reportLifetime)
		Expect(target(s, "w0000").Load.estimateAt(0, r.NowMS())).To(BeZero())
	})

	// Guards against a worker that attracts all requests by failing them at once:
	// it is always idle and would win every comparison without the penalty.
	ginkgo.It("sends few requests to a worker that fails quickly", func() {
		r, s := routerOf(viewOf(10))
		bad, failed := s.Targets[0], 0
		const requests = 10_000
		for i := range requests {
			r.SetTime(time.Duration(i) * time.Millisecond)
			c := r.Begin(s, nil)
			if c.Target == bad {
				failed++
			}
			c.End(c.Target == bad, r.NowMS())
			r.Refresh()
		}
		Expect(failed).To(BeNumerically(">", 0), "a worker that recovers must be found again")
		Expect(failed).To(BeNumerically("<", requests/200))
	})

	ginkgo.It("decays the penalty for failures", func() {
		l := &Load{}
		l.Begin(0)
		l.End(0, true, 1000)
		Expect(l.estimateAt(0, 1000)).To(BeNumerically("~", failurePenalty, 0.01))
		Expect(l.estimateAt(0, 1000+uint32(penaltyHalfLife.Milliseconds()))).To(BeNumerically("~", failurePenalty/2.0, 0.01))
		Expect(l.estimateAt(0, 1000+20*uint32(penaltyHalfLife.Milliseconds()))).To(BeZero())
	})
})

var _ = ginkgo.Describe("retry budget", func() {
	// Guards against retries that amplify an overload, and against a budget that
	// saves up an unbounded burst of retries.
	ginkgo.It("allows 20% of requests and a minimum rate, and saves a bounded number of retries", func() {
		b := NewRetryBudget()
		for b.TryTake() {
			continue
		}
		for range 100 {
			b.AddRequest()
		}
		taken := 0
		for b.TryTake() {
			taken++
		}
		Expect(taken).To(Equal(20))
		for range MinRetriesPerSecond {
			b.Refill()
		}
		Expect(b.RetriesLeft()).To(Equal(int64(MinRetriesPerSecond)))
		for range 10_000 {
			b.AddRequest()
		}
		Expect(b.RetriesLeft()).To(Equal(int64(maxTokens / tokensPerRetry)))
	})
})
