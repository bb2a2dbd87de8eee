package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// deadlyWorld returns a world without random faults in which the items of a job crash each worker
// that starts them, after delay.
func deadlyWorld(seed uint64, workers int, delay time.Duration) *world {
	w := newWorld(seed, workers, 0)
	w.noRandomFailures, w.crashDelay, w.crashDowntime = true, delay, 3*time.Second
	w.advance(2500 * time.Millisecond)
	return w
}

// advanceUntilIdle advances the world until all jobs have ended, at most by d.
func (w *world) advanceUntilIdle(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && !w.isIdle(); {
		w.tick()
	}
	w.tick() // stores the end of the last job
}

// advanceUntilRuns advances the world until the first item of a job has n runs, at most by d.
func (w *world) advanceUntilRuns(id string, n int, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && len(w.runs(id, 0)) < n; {
		w.tick()
	}
}

// addDeadlyJob adds a job of which each item crashes its worker.
func (w *world) addDeadlyJob(queue string, s workflow.Step) string {
	id := w.addJob(queue, "a", s)
	w.jobs[id].Payload = "deadly"
	return id
}

// Guards against an item that crashes one worker after the other for ever, and against other jobs
// that are given up because they were on those workers. A single crash that comes late must not
// hide the item either.
func TestItemThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
		for _, gang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, gang %v", delay, gang), func(t *testing.T) {
				g := NewWithT(t)
				w := deadlyWorld(21, 4, delay)
				s := step(2, 2, 8000)
				s.Gang = gang
				deadly := w.addDeadlyJob("large", s)
				for range 6 {
					w.addJob("small", "b", step(2, 1, 900))
					w.advance(500 * time.Millisecond)
				}
				w.advanceUntilIdle(80 * time.Second)
				g.Expect(w.violations).To(BeEmpty())
				for _, id := range sortedKeys(w.jobs) {
					want := workflow.StateComplete
					if id == deadly {
						want = workflow.StateFailed
					}
					g.Expect(w.progress[id].State).To(Equal(want), id)
				}
				for i := range 2 {
					g.Expect(len(w.runs(deadly, i))).To(BeNumerically("<=", maxCrashes))
				}
			})
		}
	}
}

// The planner changes after each crash. Guards against counts that end with the term.
func TestCrashesAreCountedAcrossTerms(t *testing.T) {
	g := NewWithT(t)
	w := deadlyWorld(22, 3, 100*time.Millisecond)
	deadly := w.addDeadlyJob("large", step(1, 2, 8000))
	for range 12 {
		w.advanceUntilRuns(deadly, len(w.runs(deadly, 0))+1, 20*time.Second)
		w.advance(200 * time.Millisecond)
		w.takeover()
	}
	w.advance(20 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.progress[deadly].State).To(Equal(workflow.StateFailed))
}

// All workers restart at once while jobs run, as after a loss of power, and a new planner takes over.
// Guards against jobs that come under suspicion for it: they must all start again at once.
func TestMassRestartPutsNoJobUnderSuspicion(t *testing.T) {
	g := NewWithT(t)
	w := deadlyWorld(23, 4, 0)
	var ids []string
	for range 8 {
		ids = append(ids, w.addJob("large", "b", step(2, 1, 6000)))
	}
	w.advance(2 * time.Second)
	for _, m := range w.workers {
		m.restart()
	}
	w.takeover()
	w.advance(500 * time.Millisecond)
	for _, id := range ids {
		for i := range 2 {
			g.Expect(w.runs(id, i)).To(HaveLen(2))
		}
	}
}

// Workers crash under an item at its start. Guards against an item that is given up for crashes of
// workers that happen without a recent start, too, and against one that is never given up for them.
func TestUnexplainedCrashesRaiseTheLimit(t *testing.T) {
	for _, unexplained := range []bool{false, true} {
		b := newRestartBench(t)
		limit, born := maxStartCrashes, int64(bornAfter)
		if unexplained {
			b.report("n1", born, 300)
			limit = maxUnexplainedStartCrashes
		}
		order := b.order
		for crashes := 1; crashes <= limit; crashes++ {
			b.Expect(order).NotTo(BeNil(), "before crash %d", crashes)
			born++
			b.report(order.Node, born, 300)
			b.report(order.Node, born, 600)
			order = b.decide()
		}
		b.Expect(order).To(BeNil())
		b.Expect(b.engine.jobs["j"].state).To(Equal(workflow.StateFailed))
	}
}

// Workers that an item crashes stay away for longer than their leases. Guards against crashes that
// are counted only when the worker is back, while the item goes on starting elsewhere.
func TestCrashesBeyondTheLeaseAreCounted(t *testing.T) {
	t.Parallel()
	for _, downtime := range []time.Duration{3, 7, 10, 15, 25} {
		for _, delay := range []time.Duration{100, 1500, 3000} {
			for _, takeovers := range []int{0, 10} {
				t.Run(fmt.Sprintf("%d s after %d ms, %d takeovers", downtime, delay, takeovers), func(t *testing.T) {
					g := NewWithT(t)
					w := deadlyWorld(21, 8, delay*time.Millisecond)
					w.crashDowntime = downtime * time.Second
					deadly := w.addDeadlyJob("large", step(1, 2, 30_000))
					for i := 0; i < takeovers && !w.isIdle(); i++ {
						w.advanceUntilRuns(deadly, len(w.runs(deadly, 0))+1, 30*time.Second)
						w.advance(200 * time.Millisecond)
						w.takeover()
					}
					w.advanceUntilIdle(200 * time.Second)
					g.Expect(w.violations).To(BeEmpty())
					g.Expect(w.progress[deadly].State).To(Equal(workflow.StateFailed))
				})
			}
		}
	}
}

// A worker is silent for longer than its lease each time the item starts there, and goes on as the
// same incarnation. Guards against an item that is given up although no worker has crashed.
func TestLapsedLeaseIsNoCrash(t *testing.T) {
	b := newRestartBench(t)
	order, clock := b.order, int64(500_000)
	for range 2 * maxCrashes {
		b.Expect(order).NotTo(BeNil())
		for end := b.now.Add(8 * time.Second); b.now.Before(end); b.now = b.now.Add(200 * time.Millisecond) {
			b.engine.ExpireLeases(b.now)
		}
		clock += 8000
		b.report("n0", bornBefore, clock)
		b.report("n1", bornBefore, clock)
		order = b.decide()
	}
	b.Expect(b.engine.jobs["j"].units[0].crashes[0]).To(Equal(crashCount{}))
}

// Short items of another job start on every worker, over and over. Guards against a suspect item, or
// gang, that waits for ever for a worker without a recent start.
func TestSuspectStartsOnABusyPool(t *testing.T) {
	for _, gang := range []bool{false, true} {
		g := NewWithT(t)
		w := deadlyWorld(24, 4, 0)
		w.noProgress = true
		s := step(4, 1, 3000)
		s.Gang, s.MaxPerWorker = gang, 1
		suspect := w.addJob("small", "b", s)
		j := w.planner.jobs[suspect]
		for _, u := range j.units {
			u.idleSince = w.now
			u.changeCrashes(u.first, func(c *crashCount) { c.atStart, c.total = 1, 1 })
		}
		for range 60 {
			short := step(4, 1, 800)
			short.MaxPerWorker = 1
			w.addJob("urgent", "a", short)
			w.advance(600 * time.Millisecond)
		}
		for i := range 4 {
			g.Expect(w.runs(suspect, i)).NotTo(BeEmpty(), "gang %v", gang)
		}
	}
}

// An item of one step is under suspicion and finds no worker. Guards against other steps of the job
// that wait for it although they do not depend on it.
func TestSuspicionIsOfOneStep(t *testing.T) {
	b := newRestartBench(t)
	b.engine.AddJob("k", &workflow.JobRecord{Job: workflow.Job{Steps: []workflow.Step{
		{Count: 1, Accelerators: 1, EstimateMS: 5000}, {Count: 1, Accelerators: 1, EstimateMS: 5000, Label: "x"},
	}}, Queue: "q", Service: "s", MaxAttempts: 3, AcceptedMS: b.now.UnixMilli()}, nil, 0)
	b.engine.jobs["k"].units[1].changeCrashes(0, func(c *crashCount) { c.atStart, c.total = 1, 1 })
	order := b.decide()
	b.Expect(order).NotTo(BeNil())
	b.Expect(order.Request.Starts[0].Ref).To(Equal(workflow.ItemRef{Job: "k"}))
}

// A job has failed, and its cancellation was stored before the failure. Guards against a change that is
// refused and returned again in every pass, so that the end is never stored.
func TestFailureAfterAStoredCancellation(t *testing.T) {
	b := newRestartBench(t)
	b.engine.jobs["j"].givenUp = true
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonNoCapacity})
	changes := b.engine.TakeChanges()
	b.Expect(changes).To(HaveLen(1))
	b.Expect(changes[0].Progress.State).To(Equal(workflow.StateFailed))
	b.engine.ReopenJob("j")
	b.engine.CancelJob("j", b.now)
	b.engine.RetractStarts("j", b.now)
	changes = b.engine.TakeChanges()
	b.Expect(changes).To(HaveLen(1))
	b.Expect(changes[0].DependsOnCancel).To(BeFalse())
	b.Expect(changes[0].Progress.State).To(Equal(workflow.StateCanceled))
}

// A draining worker restarts under the item's start, again and again. Guards against counting that as
// a crash.
func TestRestartAfterDrainingIsNoCrash(t *testing.T) {
	b := newRestartBench(t)
	order, born, clock := b.order, int64(bornAfter), int64(600_000)
	for range 2 * maxCrashes {
		b.Expect(order).NotTo(BeNil())
		clock += 1000
		b.engine.workers[order.Node].announcement.Draining = true
		born++
		b.report(order.Node, born, clock)
		b.report(order.Node, born, clock+100)
		order = b.decide()
	}
	b.Expect(b.engine.jobs["j"].hasCrashes).To(BeFalse())
}

// The next incarnation carries an order out, and crashes too. Guards against counting the two crashes
// as one.
func TestCrashOfTheNextIncarnationCounts(t *testing.T) {
	b := newRestartBench(t)
	b.report("n0", bornAfter, 300, 1)
	b.report("n0", bornAfter+1, 300)
	b.report("n0", bornAfter+1, 600)
	b.Expect(b.engine.jobs["j"].units[0].crashes[0].total).To(Equal(2))
}

// The planner changes while an item under suspicion has just started. Guards against suspicion that
// ends with the first report to the new planner.
func TestSuspicionOutlivesATakeover(t *testing.T) {
	g := NewWithT(t)
	w := deadlyWorld(25, 3, 700*time.Millisecond)
	deadly := w.addDeadlyJob("large", step(1, 2, 8000))
	w.advanceUntilRuns(deadly, 2, 20*time.Second)
	w.advance(100 * time.Millisecond)
	w.takeover()
	w.advance(300 * time.Millisecond)
	g.Expect(w.planner.isSuspect(w.planner.jobs[deadly].units[0])).To(BeTrue())
}
