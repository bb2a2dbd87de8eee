package engine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
	_ "snipegw/internal/workflow/workerspeed"
)

// knownSpeeds is a SpeedModel that knows the slowness of workers by node name.
type knownSpeeds map[string]float64

func (k knownSpeeds) ObserveProgress(framework.Progress) {}
func (k knownSpeeds) ObserveEnd(string, framework.Run)   {}
func (k knownSpeeds) Slowness(n string, _ time.Time) float64 {
	if s := k[n]; s != 0 {
		return s
	}
	return 1
}
func (k knownSpeeds) RunTime(string, framework.Run) (time.Duration, bool) { return 0, false }

// learnSpeeds switches the plug-in worker_speed on, from the next term on.
func (w *world) learnSpeeds() {
	w.newPlugins = framework.Settings{"worker_speed": json.RawMessage(`{}`)}.Constructor()
	w.takeover()
}

// startLines lists all starts of the world, in order of the items.
func (w *world) startLines() string {
	lines := ""
	for _, item := range sortedKeys(w.runsByItem) {
		for _, r := range w.runsByItem[item] {
			lines += fmt.Sprintf("%s %d %s %v\n", item, r.run, r.worker.node, r.startedAt)
		}
	}
	return lines
}

// Guards against other decisions on a pool of equal workers because speeds are learned.
func TestEqualWorkersAreServedAsWithoutSpeeds(t *testing.T) {
	g := NewWithT(t)
	l, err := readLoad("testdata/loads/small-arrieros-scale-1.json")
	g.Expect(err).NotTo(HaveOccurred())
	var starts [2]string
	for i := range starts {
		w := newLoadWorld(l)
		if i == 1 {
			w.learnSpeeds()
		} else {
			w.takeover()
		}
		w.replay(l, policy{})
		starts[i] = w.startLines()
	}
	g.Expect(starts[0]).NotTo(BeEmpty())
	g.Expect(starts[1] == starts[0]).To(BeTrue(), "the starts differ")
}

// Half of the workers are slow. Guards against an urgent job that starts on a slow worker
// although a fast one is free, or preempts nothing on a fast one and is late, and against a
// job that can wait and stays without a worker because only slow ones are free.
func TestUrgentJobsGoToFastWorkers(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(22, 6, 0)
	w.noRandomFailures = true
	w.planner.plugins.speed = knownSpeeds{"n0": 3, "n1": 3, "n2": 3}
	w.advance(2500 * time.Millisecond)
	on := func(id string, index int) string { return w.runs(id, index)[0].worker.node }
	first := w.addJob("urgent", "c", step(2, 8, 4000))
	w.advance(300 * time.Millisecond)
	g.Expect([]string{on(first, 0), on(first, 1)}).To(ConsistOf("n3", "n4"))
	low := w.addLateJob("large", "b", step(3, 8, 20_000))
	w.advance(300 * time.Millisecond)
	n, _ := w.startedItems(low)
	g.Expect(n).To(Equal(3), "also on slow workers")
	g.Expect(on(low, 0)).To(Equal("n5"))
	second := w.addJob("urgent", "c", step(1, 8, 8000))
	w.advance(500 * time.Millisecond)
	g.Expect(w.runs(second, 0)).To(BeEmpty(), "a worker is free, but too slow")
	w.advance(3 * time.Second)
	g.Expect(w.runs(second, 0)).To(HaveLen(1))
	g.Expect(on(second, 0)).To(BeElementOf("n3", "n4", "n5"))
}

// Guards against a slow run that is taken for hung, against a hung run on a slow worker
// that is never found, and against a run on a draining slow worker that is expected to end
// as soon as on a typical one.
func TestSlowRunIsNotHung(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(23, 1, 0)
	w.planner.plugins.speed = knownSpeeds{"n0": 3}
	w.advance(2500 * time.Millisecond)
	w.addJob("large", "a", step(1, 8, 8000))
	w.advance(1200 * time.Millisecond)
	m := w.planner.workers["n0"].members[0]
	m.percentChangedAt = w.now.Add(-7 * time.Second)
	_, stops := w.planner.Decide(w.now)
	g.Expect(stops).To(BeEmpty())
	m.percent, m.firstPercent = 1, 0
	g.Expect(w.planner.remaining(m.unit, m.percentChangedAt)).To(BeNumerically("~", 24*time.Second, time.Second))
	m.percentChangedAt = w.now.Add(-13 * time.Second)
	_, stops = w.planner.Decide(w.now)
	g.Expect(stops).To(HaveLen(1))
}

// A worker turns slow in the middle of its runs. Guards against expected ends that are still
// computed from the speed before.
func TestRemainingTimeFollowsTheSpeedOfTheWorker(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(24, 1, 0)
	w.noRandomFailures, w.runTimes = true, make(map[string]time.Duration)
	w.learnSpeeds()
	w.advance(2500 * time.Millisecond)
	id := w.addLateJob("large", "a", step(4, 2, 12_000))
	for i := range 4 {
		w.runTimes[workflow.ItemRef{Job: id, Index: i}.String()] = 12 * time.Second
	}
	w.advance(6 * time.Second)
	u := w.planner.workers["n0"].members[0].unit
	g.Expect(w.planner.remaining(u, w.now)).To(BeNumerically("~", 6*time.Second, 800*time.Millisecond))
	for i := range 4 { // from now on a third of the speed, with the same progress so far
		r := w.runs(id, i)[0]
		done := w.now.Sub(r.startedAt)
		r.startedAt, r.doneAt = w.now.Add(-3*done), w.now.Add(3*r.doneAt.Sub(w.now))
	}
	w.advance(4 * time.Second)
	g.Expect(w.planner.workers["n0"].isSlow()).To(BeTrue())
	g.Expect(w.planner.remaining(u, w.now)).To(BeNumerically("~", 14*time.Second, 3*time.Second))
	var to []string
	for _, event := range w.planner.TakeEndEvents() {
		if event.Speed != nil {
			to = append(to, event.Speed.To)
		}
	}
	g.Expect(to).To(Equal([]string{"slow"}))
}

// One member of a gang has done its part and the other is slower. Guards against taking
// the wait of the first for a hang, which stops the whole gang, and against overlooking
// the second if it stands still.
func TestGangMemberThatWaitsForOthersIsNotHung(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(16, 2, 0)
	w.advance(2500 * time.Millisecond)
	w.addJob("large", "a", gang(2, 8, 6000))
	w.advance(1200 * time.Millisecond)
	first, second := w.planner.workers["n0"].members[0], w.planner.workers["n1"].members[0]
	first.percent, first.percentChangedAt = 100, w.now.Add(-time.Minute)
	second.percent, second.percentChangedAt = 40, w.now
	_, stops := w.planner.Decide(w.now)
	g.Expect(stops).To(BeEmpty())
	second.percentChangedAt = first.percentChangedAt
	_, stops = w.planner.Decide(w.now)
	g.Expect(stops).To(HaveLen(1))
	g.Expect(stops[0].Unit.Index).To(Equal(second.index))
	g.Expect(first.worker.health.excluded(w.now)).To(BeFalse())
}
