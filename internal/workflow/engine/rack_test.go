package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// lastingStepOn returns a long-running step whose items run on workers with the label.
func lastingStepOn(label string, accelerators int64) workflow.Step {
	s := step(1, accelerators, 3_600_000)
	s.LongRunning, s.Label = true, label
	return s
}

// rackGang returns a gang that prefers one rack.
func rackGang(count int, ms int64) workflow.Step {
	s := gang(count, 8, ms)
	s.SameRack = true
	return s
}

// newRackWorld returns a world with two racks of three workers that have all reported.
func newRackWorld() *world {
	w := newWorld(31, 6, 0)
	w.noRandomFailures, w.runTimes = true, make(map[string]time.Duration)
	w.advance(2500 * time.Millisecond)
	return w
}

// runFor sets the true run time of the first item of a job.
func (w *world) runFor(id string, d time.Duration) {
	w.runTimes[workflow.ItemRef{Job: id}.String()] = d
}

// racksOf returns the racks on which the first runs of the items of a job's first step started.
func (w *world) racksOf(id string) map[string]bool {
	racks := make(map[string]bool)
	for i := range w.jobs[id].Steps[0].Count {
		for _, r := range w.runs(id, i)[:min(1, len(w.runs(id, i)))] {
			racks[r.worker.rack] = true
		}
	}
	return racks
}

// One rack holds an item that lasts, the other has a worker that gives no room. Guards against
// a gang that waits for ever for room in one rack that does not come, on a pool that is mostly
// empty.
func TestGangSpreadsWhenNoRackHasLastingRoom(t *testing.T) {
	for name, lose := range map[string]func(w *world, m *modelWorker){
		"left": func(w *world, m *modelWorker) {
			m.unreachableUntil = w.now.Add(time.Hour)
			w.planner.HandleReport(m.node, &workflow.SyncReply{Left: true}, w.now)
		},
		"silent":    func(w *world, m *modelWorker) { m.unreachableUntil = w.now.Add(time.Hour) },
		"draining":  func(_ *world, m *modelWorker) { m.draining = true },
		"excluded":  func(w *world, m *modelWorker) { w.planner.workers[m.node].health.excludedUntil = w.now.Add(time.Hour) },
		"also held": func(w *world, m *modelWorker) { w.addJob("small", "b", lastingStepOn(m.rack, 8)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newRackWorld()
			w.addJob("small", "b", lastingStepOn("r1", 8))
			lose(w, w.workers[0])
			w.advance(3 * time.Second)
			id := w.addJob("large", "b", rackGang(3, 10_000))
			w.advance(2 * time.Second)
			n, _ := w.startedItems(id)
			g.Expect(n).To(Equal(3))
			g.Expect(w.racksOf(id)).To(HaveLen(2))
			w.advance(60 * time.Second)
			g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
			g.Expect(w.violations).To(BeEmpty())
		})
	}
}

// Each rack holds a run that ends, and the gang fits on what is left of both. Guards against a gang
// that spreads although its rack comes in time, which takes three times as long, against one that
// waits longer than spreading costs, against one that waits while most of the pool is empty, and
// against an explanation that leaves the bound out.
func TestGangWaitsForItsRackOnlyAsLongAsSpreadingCosts(t *testing.T) {
	for _, c := range []struct {
		name            string
		holders, gang   int
		holderRun       time.Duration
		racks           int
		earliest, start time.Duration
		left            string
	}{
		{"busy pool, rack comes in time", 4, 2, 3 * time.Second, 1, 0, 4 * time.Second, "3.5s"},
		{"busy pool, rack comes too late", 4, 2, time.Minute, 2, 4 * time.Second, 4500 * time.Millisecond, "3.5s"},
		{"idle pool", 2, 3, time.Minute, 2, time.Second, 2 * time.Second, "1s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newRackWorld()
			for i := range c.holders {
				s := step(1, 8, c.holderRun.Milliseconds())
				s.Label = []string{"r0", "r1"}[i%2]
				w.runFor(w.addLateJob("small", "b", s), c.holderRun)
			}
			w.advance(500 * time.Millisecond)
			accepted := w.now
			id := w.addJob("large", "b", rackGang(c.gang, 2000))
			w.advance(500 * time.Millisecond)
			g.Expect(w.planner.Dump(w.now).Jobs).To(ContainElement(HaveField("WaitReason", ContainSubstring("in "+c.left+" at the latest"))))
			w.advance(c.start - 500*time.Millisecond)
			n, last := w.startedItems(id)
			g.Expect(n).To(Equal(c.gang))
			g.Expect(last.Sub(accepted)).To(BeNumerically(">=", c.earliest))
			g.Expect(w.racksOf(id)).To(HaveLen(c.racks))
		})
	}
}

// A lasting gang has room on two racks. Guards against waiting for one rack by its estimate, which
// says nothing of how long a lasting gang runs.
func TestLastingGangWaitsOnlyShortlyForItsRack(t *testing.T) {
	g := NewWithT(t)
	w := newRackWorld()
	for i := range 4 {
		s := step(1, 8, 60_000)
		s.Label = []string{"r0", "r1"}[i%2]
		w.addLateJob("small", "b", s)
	}
	w.advance(500 * time.Millisecond)
	s := rackGang(2, 60_000)
	s.LongRunning = true
	id := w.addJob("large", "b", s)
	w.advance(2 * time.Second)
	n, _ := w.startedItems(id)
	g.Expect(n).To(Equal(2))
}

// No rack can be cleared for a gang within its team's guarantee: one holds a run of another
// guarantee, the other an item that may not be stopped. Guards against a guaranteed gang that waits
// for a rack beyond Settings.ReclaimTimeout.
func TestGuaranteedGangSpreadsInTime(t *testing.T) {
	g := NewWithT(t)
	w := newRackWorld()
	other := step(1, 8, 60_000)
	other.Label = "r0"
	w.addJob("urgent", "b", other)
	protected := lastingStepOn("r1", 8)
	protected.MaxUnavailable = 1
	w.addJob("small", "c", protected)
	w.advance(500 * time.Millisecond)
	s := rackGang(3, 20_000)
	s.Accelerators = 5
	id := w.addJob("urgent", "a", s)
	w.advance(2700 * time.Millisecond)
	n, _ := w.startedItems(id)
	g.Expect(n).To(Equal(3))
	g.Expect(w.racksOf(id)).To(HaveLen(2))
}

// Gangs run on two racks, which takes three times as long. Guards against learning that time as the
// usual run time of the queue, which would make later gangs look urgent.
func TestRunsOnSeveralRacksAreLearnedByTheTimeInOne(t *testing.T) {
	g := NewWithT(t)
	w := newRackWorld()
	for range 6 {
		id := w.addJob("large", "b", rackGang(4, 1000)) // larger than a rack
		for i := range 4 {
			w.runTimes[workflow.ItemRef{Job: id, Index: i}.String()] = time.Second
		}
		w.advance(5 * time.Second)
		g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
	}
	s := step(1, 1, 1000)
	g.Expect(w.planner.estimates.stepDuration("large", &s)).To(BeNumerically("~", time.Second, 300*time.Millisecond))
}

// Workers announce themselves one by one to a new planner. Guards against a gang that spreads over
// the first ones although its rack is there a moment later.
func TestGangDoesNotSpreadBeforeWorkersHaveReported(t *testing.T) {
	g := NewWithT(t)
	w := newRackWorld()
	for _, m := range []*modelWorker{w.workers[0], w.workers[1], w.workers[5]} {
		m.unreachableUntil = w.now.Add(time.Second)
	}
	w.takeover()
	id := w.addJob("large", "b", rackGang(3, 4000))
	w.advance(2 * time.Second)
	n, _ := w.startedItems(id)
	g.Expect(n).To(Equal(3))
	g.Expect(w.racksOf(id)).To(HaveLen(1))
}
