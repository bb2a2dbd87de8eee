package engine

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// truncatedWorld returns a world with one worker that lists two ends at a time, and a job of six
// items that are done there after runTime. Nothing has been acknowledged for 4 s, so four ends are not listed.
func truncatedWorld(g *GomegaWithT, runTime time.Duration) (w *world, id string) {
	w = newWorld(31, 1, 0)
	w.noRandomFailures, w.endsPerReport = true, 2
	w.advance(2500 * time.Millisecond)
	w.runTimes = make(map[string]time.Duration)
	id = w.addJob("large", "a", step(6, 1, 1000))
	for i := range 6 {
		w.runTimes[workflow.ItemRef{Job: id, Index: i}.String()] = runTime
	}
	w.acksHeldUntil = w.now.Add(time.Hour)
	w.advance(5 * time.Second)
	g.Expect(w.workers[0].ended).To(HaveLen(6))
	g.Expect(w.planner.Dump(w.now).Workers[0].PendingEnds).To(Equal(4))
	g.Expect(w.starts(id)).To(Equal(6))
	return w, id
}

// starts returns the number of runs of all items of the first step of a job.
func (w *world) starts(id string) int {
	n := 0
	for i := range w.jobs[id].Steps[0].Count {
		n += len(w.runs(id, i))
	}
	return n
}

// acknowledgeAgain ends the time without acknowledgements and waits until the job has ended.
func (w *world) acknowledgeAgain() {
	w.acksHeldUntil = time.Time{}
	w.advanceUntilIdle(30 * time.Second)
}

// A worker has more ends than a report lists. Guards against runs that are taken for lost because
// the report leaves out their ends, and start again after they were done.
func TestEndsBeyondTheReportAreAwaited(t *testing.T) {
	t.Run("one planner", func(t *testing.T) {
		g := NewWithT(t)
		w, id := truncatedWorld(g, time.Second)
		before := w.now
		w.acknowledgeAgain()
		g.Expect(w.now.Sub(before)).To(BeNumerically("<", time.Second), "each page is acknowledged and the next one read")
		g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
		g.Expect(w.starts(id)).To(Equal(6))
		g.Expect(w.violations).To(BeEmpty())
	})
	t.Run("another planner", func(t *testing.T) {
		g := NewWithT(t)
		w, id := truncatedWorld(g, time.Second)
		w.takeover()
		w.advance(4 * time.Second)
		g.Expect(w.starts(id)).To(Equal(6))
		w.acknowledgeAgain()
		g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
		g.Expect(w.starts(id)).To(Equal(6))
		g.Expect(w.violations).To(BeEmpty())
	})
	t.Run("cancelled", func(t *testing.T) {
		g := NewWithT(t)
		w, id := truncatedWorld(g, time.Second)
		w.cancels[id] = w.now
		w.planner.CancelJob(id, w.now)
		w.advance(2 * time.Second)
		g.Expect(w.planner.workers["n0"].members).To(HaveLen(4), "the confirmed stops say nothing of the ends")
		w.acknowledgeAgain()
		g.Expect(w.progress[id].State).To(Equal(workflow.StateCanceled))
	})
}

// A run has ended and its end is not listed for 4 s. Guards against other conclusions from that: that the
// run hangs, that the worker is faulty, that its lease may expire, or that the run took so long.
func TestPendingEndSaysNothingOfTheWorker(t *testing.T) {
	g := NewWithT(t)
	w, id := truncatedWorld(g, time.Second)
	worker := w.planner.workers["n0"]
	g.Expect(worker.health).To(Equal(health{}))
	for _, u := range w.planner.jobs[id].units {
		g.Expect(u.stopping).To(BeFalse())
	}
	g.Expect(w.workers[0].leaseUntilMS).To(BeNumerically(">", w.workers[0].clockMS()+5000), "the lease is renewed")
	g.Expect(worker.free().Accelerators).To(BeEquivalentTo(4), "room falls free when the end is listed")
	var listed []TruncatedEnds
	for _, event := range w.planner.TakeEndEvents() {
		if event.Truncated != nil {
			listed = append(listed, *event.Truncated)
		}
	}
	g.Expect(listed).To(Equal([]TruncatedEnds{{Worker: worker.incarnation, Listed: 2, Pending: 4}}), "logged once")
	w.acknowledgeAgain()
	g.Expect(w.planner.estimates.duration(&unit{job: w.planner.jobs[id], count: 1})).To(BeNumerically("<", 1500*time.Millisecond))
}

// A claim needs the room of runs whose ends are not listed, and their worker drains. Guards against
// stops of runs that have ended, which free nothing and count as preemptions.
func TestRunsWithPendingEndsAreNotStopped(t *testing.T) {
	cases := []struct {
		name   string
		change func(w *world)
	}{
		{"claim", func(w *world) { w.addJob("urgent", "a", step(1, 8, 1000)) }},
		{"drain", func(w *world) { w.planner.workers["n0"].announcement.Draining = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w, id := truncatedWorld(g, time.Second)
			c.change(w)
			for range 20 {
				_, stops := w.planner.Decide(w.now)
				g.Expect(stops).To(BeEmpty())
				w.advance(50 * time.Millisecond)
			}
			for _, u := range w.planner.jobs[id].units {
				g.Expect(u.stopping).To(BeFalse())
				g.Expect(u.preemptions).To(BeZero())
			}
			w.acknowledgeAgain()
			g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
			g.Expect(w.violations).To(BeEmpty())
		})
	}
}

// The worker is lost with ends that were never listed. Nobody can acknowledge them any more, so the
// items start again. Guards against items that wait for ever, and against a crash or a lapse that is
// attributed to runs that had ended before.
func TestPendingEndsAreLostWithTheWorker(t *testing.T) {
	cases := []struct {
		name    string
		runTime time.Duration
		lose    func(w *world)
	}{
		{"crash", time.Second, func(w *world) { w.workers[0].crash() }},
		{"crash after runs that were never listed", 0, func(w *world) { w.workers[0].crash() }},
		{"silence", time.Second, func(w *world) {
			w.workers[0].unreachableUntil = w.now.Add(9 * time.Second)
			w.advance(9 * time.Second)
		}},
		{"left", time.Second, func(w *world) {
			w.planner.HandleReport("n0", &workflow.SyncReply{Left: true}, w.now)
			w.workers[0].restart()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w, id := truncatedWorld(g, c.runTime)
			c.lose(w)
			w.acknowledgeAgain()
			g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
			g.Expect(w.starts(id)).To(Equal(10), "four runs were never listed")
			g.Expect(w.planner.jobs[id].hasCrashes).To(BeFalse())
			g.Expect(w.planner.unexplainedCrashAt.IsZero()).To(Equal(!strings.HasPrefix(c.name, "crash")), "nothing had started recently")
			g.Expect(w.violations).To(BeEmpty())
		})
	}
}
