package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

// fixedPolicy is a HeadroomPolicy that always gives the same answer.
type fixedPolicy struct {
	kept     framework.Headroom
	known    bool
	arrivals []framework.Arrival
	asked    int
	pool     framework.Pool            // of the latest call
	pools    map[string]framework.Pool // of the latest calls, by service; nil to keep none
}

func (p *fixedPolicy) State(time.Time) any                { return nil }
func (p *fixedPolicy) ObserveArrival(a framework.Arrival) { p.arrivals = append(p.arrivals, a) }
func (p *fixedPolicy) Headroom(_ time.Time, pool framework.Pool) (framework.Headroom, bool) {
	p.asked++
	p.pool = pool
	if p.pools != nil {
		p.pools[pool.Service] = pool
	}
	return p.kept, p.known
}

// history returns the starts of all items, in a form that can be compared.
func (w *world) history() []string {
	var out []string
	for _, name := range sortedKeys(w.runsByItem) {
		for _, r := range w.runsByItem[name] {
			out = append(out, fmt.Sprintf("%s %v %v", name, r.startedAt.UnixMilli(), r.how))
		}
	}
	slices.Sort(out)
	return out
}

// Guards against a policy that changes decisions although it has no figure.
func TestUnknownHeadroomChangesNothing(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		var histories [2][]string
		policy := new(fixedPolicy)
		for i := range histories {
			w := newWorld(seed, 4, 0)
			if i == 1 {
				w.planner.plugins.headroom = policy
			}
			w.advance(2500 * time.Millisecond)
			for range 40 {
				w.submitRandomJob()
				w.advance(200 * time.Millisecond)
			}
			histories[i] = w.history()
		}
		if !slices.Equal(histories[0], histories[1]) {
			t.Fatalf("%d and %d starts differ", len(histories[0]), len(histories[1]))
		}
	})
}

// A small item fits on a free worker and on one that is in part in use; the headroom is a
// whole worker. Guards against headroom in pieces, none of which holds what usually comes,
// against an item that waits although a partly used worker has room for it, and against a
// policy that is asked more than once in a decision.
func TestHeadroomIsKeptInPlacesForUsualItems(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3, 4, 0)
	w.noRandomFailures = true
	policy := &fixedPolicy{known: true, kept: framework.Headroom{Amount: workflow.Resources{Accelerators: 8}, Item: workflow.Resources{Accelerators: 8}}}
	w.planner.plugins.headroom = policy
	w.advance(2500 * time.Millisecond)
	w.addLateJob("large", "b", step(3, 7, 600_000))
	w.advance(200 * time.Millisecond)
	policy.asked = 0
	first := w.addJob("small", "b", step(3, 1, 60_000))
	second := w.addJob("small", "b", step(1, 1, 60_000))
	w.tick()
	g.Expect(policy.asked).To(Equal(1))
	w.advance(200 * time.Millisecond)
	n, _ := w.startedItems(first)
	g.Expect(n).To(Equal(3))
	n, _ = w.startedItems(second)
	g.Expect(n).To(BeZero())
	g.Expect(w.planner.HeadroomUse()).To(Equal(HeadroomUse{Asked: true, Held: true, Forecast: true, Accelerators: 8}))
	g.Expect(w.planner.Dump(w.now).Jobs[2].WaitReason).To(ContainSubstring("8 accelerators and 0 millicores, by forecast"))

	w.addJob("urgent", "a", step(1, 8, 1000))
	used := 0
	for range 10 {
		w.tick()
		used += w.planner.HeadroomUse().Used
	}
	g.Expect(used).To(Equal(1))

	w.planner.plugins.headroom = nil // the fixed share is less than the worker
	w.advance(3 * time.Second)
	n, _ = w.startedItems(second)
	g.Expect(n).To(Equal(1))
}

// Guards against a policy that is told of jobs of other priorities or of scheduled ones,
// of a part of a job's needs, or of a job twice; and against releases that are out of order
// or leave out members.
func TestPolicyIsToldOfUrgentArrivalsAndReleases(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3, 4, 0)
	policy := &fixedPolicy{known: true}
	w.planner.plugins.headroom = policy
	w.advance(2500 * time.Millisecond)
	small := step(1, 1, 500)
	wide := gang(3, 2, 2000)
	id := w.addJob("urgent", "a", small, wide)
	w.planner.AddJob(id, w.jobs[id], nil, 0)
	w.addJob("large", "a", gang(2, 8, 5000))
	scheduled := *w.jobs[id]
	scheduled.Occurrences, scheduled.IntervalMS = 3, 1000
	w.jobs["scheduled"] = &scheduled
	w.planner.AddJob("scheduled", &scheduled, nil, 0)
	g.Expect(policy.arrivals).To(Equal([]framework.Arrival{{
		Queue: "urgent", Service: "s", At: time.UnixMilli(w.jobs[id].AcceptedMS), Item: wide.Needs(),
		Needs: workflow.Resources{MilliCPU: 6000, MemoryMB: 24_000, Accelerators: 6},
	}}))
	w.advance(time.Second)
	w.addJob("small", "b", step(1, 1, 60_000))
	w.advance(200 * time.Millisecond)
	g.Expect(slices.IsSortedFunc(policy.pool.Releases, func(a, b framework.Release) int { return int(a.After - b.After) })).To(BeTrue())
	g.Expect(policy.pool.Total.Accelerators).To(Equal(int64(32)))
	accelerators := int64(0)
	for _, r := range policy.pool.Releases {
		accelerators += r.Needs.Accelerators
	}
	g.Expect(accelerators).To(BeNumerically(">=", 16))
}

// Guards against broken rules, and against waiting jobs that never start, when the
// planner, its learned state and the workers are lost at random while headroom is kept by
// forecast.
func TestForecastUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 5, 0.5)
		w.newPlugins = forecastPlugin
		w.takeover()
		for range 12 {
			w.addJob("urgent", "a", step(1, 1, 300))
		}
		w.simulate(faultPeriod, calmPeriod)
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
		for _, j := range w.planner.openJobs {
			if w.couldRun(j) {
				t.Fatalf("job %s of queue %s has not ended: %+v", j.id, j.rec.Queue, j.rec.Steps)
			}
		}
	})
}

// newServicesWorld returns a world with nine workers of service s and one of service t, which queue
// desk uses, in which a long-running job holds all of s. The headroom of all ten together is more than
// one worker.
func newServicesWorld(g *WithT) *world {
	w := newWorld(5, 10, 0)
	w.noRandomFailures = true
	w.workers[9].service = "t"
	w.config.Queues = append(w.config.Queues,
		workflow.Queue{Name: "desk", Service: "t", Priority: 1, MaxAttempts: 3, SlackFactor: 3, TargetMS: 1000},
		workflow.Queue{Name: "urgent desk", Service: "t", MaxAttempts: 3, SlackFactor: 1.5, TargetMS: 250},
	)
	w.config.Provision()
	w.planner.SetConfig(w.config)
	w.advance(2500 * time.Millisecond)
	lasting := step(9, 8, 1000)
	lasting.LongRunning = true
	id := w.addJob("large", "b", lasting)
	w.advance(200 * time.Millisecond)
	n, _ := w.startedItems(id)
	g.Expect(n).To(Equal(9))
	return w
}

// Guards against a unit that waits, on an idle service, for headroom of another service that is full:
// one that is too late to be of use waited for ever.
func TestFullServiceHoldsNoUnitOfAnother(t *testing.T) {
	for name, late := range map[string]time.Duration{"in time": 0, "too late to be of use": time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newServicesWorld(g)
			id := w.addJob("desk", "b", step(1, 1, 60_000))
			w.jobs[id].AcceptedMS -= late.Milliseconds()
			w.advance(200 * time.Millisecond)
			n, _ := w.startedItems(id)
			g.Expect(n).To(Equal(1), "%+v", w.planner.Dump(w.now).Jobs)
		})
	}
}

// Guards against a forecast for one service from the workers, runs and arrivals of another one, and
// against room in another service that counts as kept.
func TestForecastIsAskedByService(t *testing.T) {
	g := NewWithT(t)
	w := newServicesWorld(g)
	policy := &fixedPolicy{known: true, pools: make(map[string]framework.Pool), kept: framework.Headroom{Amount: workflow.Resources{Accelerators: 2}, Item: workflow.Resources{Accelerators: 1}}}
	w.planner.plugins.headroom = policy
	w.addJob("urgent desk", "a", step(1, 5, 60_000))
	held := w.addJob("desk", "b", step(1, 2, 600_000))
	w.advance(200 * time.Millisecond)
	n, _ := w.startedItems(held)
	g.Expect(n).To(BeZero(), "one accelerator would be left")
	g.Expect(policy.arrivals).To(HaveLen(1))
	g.Expect(policy.arrivals[0].Service).To(Equal("t"))
	g.Expect(policy.pools).To(HaveKey("t"))
	g.Expect(policy.pools["t"].Total.Accelerators).To(Equal(int64(8)))
	g.Expect(policy.pools["t"].Releases).To(HaveLen(1))
	g.Expect(w.planner.HeadroomUse()).To(Equal(HeadroomUse{Asked: true, Held: true, Forecast: true, Accelerators: 2}))

	small := w.addJob("desk", "b", step(1, 1, 600_000))
	w.advance(200 * time.Millisecond)
	n, _ = w.startedItems(small)
	g.Expect(n).To(Equal(1))
}

// Guards against a job that is too late to be of use and waits for ever beside an idle worker, because
// long-running items hold the others of its service; also over a change of the planner.
func TestLateJobLeavesTheHeadroomForABoundedTime(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeover), func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(6, 10, 0)
			w.noRandomFailures = true
			w.advance(2500 * time.Millisecond)
			lasting := step(9, 8, 1000)
			lasting.LongRunning = true
			w.addJob("large", "b", lasting)
			w.advance(200 * time.Millisecond)

			// The objective is 3*1 s + 3 s, so that a start is of use for 17 s.
			id := w.addJob("small", "b", step(1, 1, 1000))
			tooLate := w.now.Add(200 * time.Millisecond)
			w.jobs[id].AcceptedMS = tooLate.Add(-17 * time.Second).UnixMilli()
			w.now = tooLate.Add(time.Millisecond)
			w.advance(time.Second)
			g.Expect(w.runs(id, 0)).To(BeEmpty(), "the headroom is kept")
			g.Expect(w.planner.Dump(w.now).Jobs[1].WaitReason).To(ContainSubstring("can wait for 2s and would use the headroom"))
			if takeover {
				w.takeover()
			}
			w.advanceUntilRuns(id, 1, time.Minute)
			g.Expect(w.runs(id, 0)).To(HaveLen(1))
			g.Expect(w.runs(id, 0)[0].startedAt).To(BeTemporally("~", tooLate.Add(maxLateWait), 100*time.Millisecond))
		})
	}
}

// Guards against a job that leaves room for jobs of priority 0 that no queue can hand in.
func TestNoHeadroomWithoutAQueueOfPriority0(t *testing.T) {
	g := NewWithT(t)
	w := newServicesWorld(g)
	w.addJob("desk", "b", step(1, 4, 600_000))
	held := w.addJob("desk", "b", step(1, 4, 600_000))
	w.advance(200 * time.Millisecond)
	n, _ := w.startedItems(held)
	g.Expect(n).To(BeZero())
	w.changeQueue("urgent desk", nil)
	w.advance(200 * time.Millisecond)
	n, _ = w.startedItems(held)
	g.Expect(n).To(Equal(1), "queue urgent is of another service")
}
