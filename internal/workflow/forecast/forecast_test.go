package forecast

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

var (
	start    = time.UnixMilli(1_800_000_000_000)
	wholePod = workflow.Resources{MilliCPU: 2_464_000, Accelerators: 616}
)

// feed observes jobs of 8 accelerators with a rate, in jobs a second, for each 100 ms
// between two times after start.
func feed(p *Policy, from, to time.Duration, rate func(time.Duration) float64) {
	due := 0.0
	for t := from; t < to; t += 100 * time.Millisecond {
		for due += rate(t) / 10; due >= 1; due-- {
			p.ObserveArrival(framework.Arrival{Queue: "urgent", At: start.Add(t), Needs: workflow.Resources{MilliCPU: 16_000, Accelerators: 8}})
		}
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// kept returns the accelerators that are kept at a time after start, -1 for none known.
func kept(p *Policy, at time.Duration, releases ...framework.Release) int64 {
	r, known := p.Headroom(start.Add(at), framework.Pool{Total: wholePod, Releases: releases})
	if !known {
		return -1
	}
	return r.Amount.Accelerators
}

// A wave with a swing of 0.55 and a period of 17 s. Guards against a forecast that
// keeps as much in the trough as at the crest.
func TestWaveIsFollowed(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{MaxShare: 1})
	const period = 17 * time.Second
	feed(p, 0, 5*period, func(t time.Duration) float64 {
		return 4 * (1 + 0.55*math.Sin(2*math.Pi*t.Seconds()/period.Seconds()))
	})
	// The short window ends up to half its length after a crest or trough.
	crest, trough := int64(0), int64(math.MaxInt64)
	for at := 4 * period; at < 5*period; at += 500 * time.Millisecond {
		q := New(Settings{MaxShare: 1})
		for _, a := range p.queues["urgent"] {
			if !a.at.After(start.Add(at)) {
				q.ObserveArrival(framework.Arrival{Queue: "urgent", At: a.at, Needs: a.needs, Item: a.item})
			}
		}
		crest, trough = max(crest, kept(q, at)), min(trough, kept(q, at))
	}
	g.Expect(trough).To(BeNumerically(">", 0))
	g.Expect(float64(crest)).To(BeNumerically(">=", 1.25*float64(trough)))
}

// Guards against a burst that is seen only when it is over, and against one that takes
// more of the pool than the settings allow or for longer than the short window.
func TestTenfoldBurstIsSeenAndBounded(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{})
	feed(p, 0, 40*time.Second, steady(1))
	before := kept(p, 40*time.Second)
	feed(p, 40*time.Second, 42*time.Second, steady(10))
	during := kept(p, 42*time.Second)
	g.Expect(during).To(BeNumerically(">=", 2*before))
	g.Expect(during).To(BeNumerically("<=", int64(defaultMaxShare*float64(wholePod.Accelerators))))
	feed(p, 42*time.Second, 50*time.Second, steady(1))
	g.Expect(kept(p, 50*time.Second)).To(BeNumerically("<", (before+during)/2))
}

// Many jobs were forecast and none come. Guards against headroom that is kept
// for them beyond the short window, and against a figure above the bound meanwhile.
func TestWrongForecastIsDropped(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{})
	feed(p, 0, 10*time.Second, steady(20))
	high := kept(p, 10*time.Second)
	g.Expect(high).To(Equal(int64(defaultMaxShare * float64(wholePod.Accelerators))))
	p = New(Settings{MaxShare: 1})
	feed(p, 0, 20*time.Second, steady(4))
	high = kept(p, 20*time.Second)
	g.Expect(kept(p, 25*time.Second)).To(BeNumerically("<", 0.75*float64(high)))
}

// Guards against a forecast from jobs that came long ago.
func TestSilenceReturnsToTheFixedShare(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{})
	feed(p, 0, 20*time.Second, steady(2))
	g.Expect(kept(p, 20*time.Second)).To(BeNumerically(">", 0))
	g.Expect(kept(p, 90*time.Second)).To(Equal(int64(-1)))
	g.Expect(p.queues).To(BeEmpty())
}

// A planner is replaced. Guards against a new term that decides from nothing, and
// against one that decides differently from its predecessor after it has loaded the same
// jobs in another order.
func TestNewTermLearnsFromLoadedJobs(t *testing.T) {
	g := NewWithT(t)
	old := New(Settings{})
	g.Expect(kept(old, 0)).To(Equal(int64(-1)))
	feed(old, 0, 30*time.Second, steady(1.7))
	successor := New(Settings{})
	list := old.queues["urgent"]
	for i := range list {
		a := list[(i*7)%len(list)]
		successor.ObserveArrival(framework.Arrival{Queue: "urgent", At: a.at, Needs: a.needs, Item: a.item})
	}
	g.Expect(len(list) % 7).NotTo(BeZero()) // so that each arrival was taken once
	g.Expect(kept(successor, 30*time.Second)).To(Equal(kept(old, 30*time.Second)))
}

// Guards against arrivals of the future that count as demand after the clock was set
// back, and against a division by an empty window after it was set forward.
func TestClockJumps(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{})
	feed(p, 0, 30*time.Second, steady(2))
	g.Expect(kept(p, 30*time.Second)).To(BeNumerically(">", 0))
	g.Expect(kept(p, -time.Hour)).To(Equal(int64(-1)))
	g.Expect(kept(p, 30*time.Second)).To(BeNumerically(">", 0))
	g.Expect(kept(p, time.Hour)).To(Equal(int64(-1)))
	feed(p, time.Hour, time.Hour+10*time.Second, steady(2))
	g.Expect(kept(p, time.Hour+10*time.Second)).To(BeNumerically(">", 0))
}

// Guards against headroom for the whole pool when all zones but one are away.
func TestBoundFollowsThePool(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{})
	feed(p, 0, 30*time.Second, steady(4))
	r, known := p.Headroom(start.Add(30*time.Second), framework.Pool{Total: workflow.Resources{MilliCPU: 640_000, Accelerators: 160}})
	g.Expect(known).To(BeTrue())
	g.Expect(r.Amount.Accelerators).To(BeNumerically("<=", 40))
	r, known = p.Headroom(start.Add(30*time.Second), framework.Pool{})
	g.Expect(known).To(BeTrue())
	g.Expect(r.Amount).To(Equal(workflow.Resources{}))
}

// Guards against room that is kept although enough falls free by itself, and against
// counting runs that end too late.
func TestReleasesReplaceHeadroom(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{MinShare: 0.01})
	feed(p, 0, 30*time.Second, steady(2))
	now := 30 * time.Second
	without := kept(p, now)
	needs := workflow.Resources{MilliCPU: 2_464_000, Accelerators: 616}
	g.Expect(kept(p, now, framework.Release{After: 10 * time.Millisecond, Needs: needs})).To(Equal(int64(6)))
	g.Expect(kept(p, now, framework.Release{After: time.Minute, Needs: needs})).To(Equal(without))
	g.Expect(kept(p, now, framework.Release{After: time.Second, Needs: needs})).To(And(BeNumerically("<", without), BeNumerically(">", 6)))
}

// Guards against room that is kept in one service for jobs of another one, and against memory of
// queues whose service is not asked for any more.
func TestServicesAreForecastApart(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{})
	feed(p, 0, 30*time.Second, steady(2)) // of service ""
	for i := range 12 {
		p.ObserveArrival(framework.Arrival{Queue: "small", Service: "t", At: start.Add(time.Duration(i) * time.Second), Item: workflow.Resources{Accelerators: 1}, Needs: workflow.Resources{Accelerators: 1}})
	}
	total := workflow.Resources{Accelerators: 616}
	large, known := p.Headroom(start.Add(30*time.Second), framework.Pool{Total: total})
	g.Expect(known).To(BeTrue())
	small, known := p.Headroom(start.Add(30*time.Second), framework.Pool{Service: "t", Total: total})
	g.Expect(known).To(BeTrue())
	g.Expect(small.Item.Accelerators).To(Equal(int64(1)))
	g.Expect(small.Amount.Accelerators).To(BeNumerically("<", large.Amount.Accelerators/4))
	_, known = p.Headroom(start.Add(30*time.Second), framework.Pool{Service: "u", Total: total})
	g.Expect(known).To(BeFalse())
	g.Expect(p.State(start)).To(And(HaveLen(3), HaveKey("t")))

	p.Headroom(start.Add(5*time.Minute), framework.Pool{Total: total})
	g.Expect(p.queues).To(BeEmpty())
	g.Expect(p.services).To(BeEmpty())
}

// Guards against memory that grows with the jobs or the names of queues.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	p := New(Settings{})
	for i := range 20_000 {
		p.ObserveArrival(framework.Arrival{Queue: fmt.Sprint(i % 1000), At: start.Add(time.Duration(i) * time.Millisecond)})
	}
	g.Expect(len(p.queues)).To(BeNumerically("<=", maxQueues+1))
	for _, list := range p.queues {
		g.Expect(len(list)).To(BeNumerically("<=", maxArrivals))
	}
}

// Compares the quantile of the total demand with the Poisson distribution of a rate that
// is known well. Guards against an error in the recursion.
func TestQuantileOfKnownRate(t *testing.T) {
	g := NewWithT(t)
	s := newSizes(sizeSteps)
	s.add(1, 1)
	rate := gammaRate{shape: 2e7, seconds: 1e7} // 2 a second
	// Poisson with mean 4: the sum up to 5 is 0.785, up to 6 0.889, up to 7 0.949.
	g.Expect(s.quantile(rate, 2*time.Second, 0.78)).To(Equal(int64(5)))
	g.Expect(s.quantile(rate, 2*time.Second, 0.88)).To(Equal(int64(6)))
	g.Expect(s.quantile(rate, 2*time.Second, 0.94)).To(Equal(int64(7)))
	g.Expect(s.quantile(gammaRate{shape: 2, seconds: 1}, 2*time.Second, 0.94)).To(BeNumerically(">", 7), "an unknown rate needs more")
}

// Guards against faults of the settings that are accepted.
func TestSettingsAreChecked(t *testing.T) {
	g := NewWithT(t)
	factory, err := framework.Plugins.Get(Name)
	g.Expect(err).NotTo(HaveOccurred())
	var faults kernel.ValidationErrors
	g.Expect(factory(json.RawMessage(`{}`), "p", &faults)()).NotTo(BeNil())
	g.Expect(faults).To(BeEmpty())
	factory(json.RawMessage(`{"probability":1,"min_share":0.3,"max_share":0.2,"max_horizon_ms":100,"stop_timeout_ms":-1,"short_window_ms":-1,"long_window_ms":-2}`), "p", &faults)
	var paths []string
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	g.Expect(paths).To(ConsistOf("p.probability", "p.max_share", "p.max_horizon_ms", "p.stop_timeout_ms", "p.short_window_ms", "p.long_window_ms"))
}
