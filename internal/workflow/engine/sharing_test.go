package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// servingStep returns a long-running step of items that serve requests.
func servingStep(count int) workflow.Step {
	s := step(count, 1, 3_600_000)
	s.LongRunning, s.TargetMS = true, 200
	return s
}

// fillingStep returns a long-running step of items that fill, one on each worker.
func fillingStep(count int) workflow.Step {
	s := step(count, 0, 3_600_000)
	s.LongRunning, s.Fills, s.MaxPerWorker = true, true, 1
	return s
}

// newSharingWorld returns a world of three workers that have all reported.
func newSharingWorld() *world {
	w := newWorld(41, 3, 0)
	w.noRandomFailures, w.runTimes = true, make(map[string]time.Duration)
	w.advance(2500 * time.Millisecond)
	return w
}

// stoppedRuns returns the number of runs of a job's first step that were stopped.
func (w *world) stoppedRuns(id string) int {
	n := 0
	for i := range w.jobs[id].Steps[0].Count {
		for _, r := range w.runs(id, i) {
			if r.how == workflow.EndStopped {
				n++
			}
		}
	}
	return n
}

// expectNoSharing fails if an item that serves and one that fills were on one worker at a time.
func (w *world) expectNoSharing(g *WithT) {
	for _, m := range w.workers {
		serving, filling := 0, 0
		for _, r := range m.running {
			s := &w.jobs[r.ref.Job].Steps[r.ref.Step]
			if s.TargetMS > 0 {
				serving++
			}
			if s.Fills {
				filling++
			}
		}
		g.Expect(serving > 0 && filling > 0).To(BeFalse(), "%s at %v", m.node, w.now)
	}
}

// advanceApart is advance with a check of expectNoSharing after each tick.
func (w *world) advanceApart(g *WithT, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick()
		w.expectNoSharing(g)
	}
}

// Items of another sort hold all workers when an item of priority 0 comes, or loses its worker.
// Guards against an item that waits for ever because the plan of a preemption leaves out the workers
// that would suit it once its victims have gone, and against more victims than it needs.
func TestItemOfPriority0PreemptsItemsItMayNotRunBeside(t *testing.T) {
	for _, c := range []struct {
		name, team   string
		claim, other workflow.Step
	}{
		{"serving beside filling", "a", servingStep(1), fillingStep(3)},
		{"filling beside serving", "a", fillingStep(1), servingStep(3)},
		{"serving beside filling, beyond the guarantee", "c", servingStep(1), fillingStep(3)},
	} {
		if c.claim.Fills {
			c.other.MaxPerWorker = 1
		}
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newSharingWorld()
			other := w.addJob("small", "c", c.other)
			w.advanceApart(g, 500*time.Millisecond)
			n, _ := w.startedItems(other)
			g.Expect(n).To(Equal(3))
			claim := w.addJob("urgent", c.team, c.claim)
			w.advanceApart(g, 2700*time.Millisecond)
			n, _ = w.startedItems(claim)
			g.Expect(n).To(Equal(1))
			g.Expect(w.stoppedRuns(other)).To(Equal(1))

			w.runs(claim, 0)[0].worker.unreachableUntil = w.now.Add(time.Hour)
			w.advanceApart(g, 9*time.Second)
			g.Expect(w.runs(claim, 0)).To(HaveLen(2))
			g.Expect(w.stoppedRuns(other)).To(Equal(2))
			g.Expect(w.violations).To(BeEmpty())
		})
	}
}

// Several items that fill run on each worker, and more wait. Guards against a stop of too few of them,
// which leaves the worker to the other sort, and against a start of another one on the worker that is
// cleared for the item that serves.
func TestAllItemsThatFillLeaveTheWorkerOfAnItemThatServes(t *testing.T) {
	g := NewWithT(t)
	w := newSharingWorld()
	filling := fillingStep(12)
	filling.MaxPerWorker = 3 // of 12 items 9 run
	other := w.addJob("small", "c", filling)
	w.advanceApart(g, 500*time.Millisecond)
	claim := w.addJob("urgent", "a", servingStep(1))
	w.advanceApart(g, 2700*time.Millisecond)
	n, _ := w.startedItems(claim)
	g.Expect(n).To(Equal(1))
	g.Expect(w.stoppedRuns(other)).To(Equal(3))
}

// Guards against an item that fills and takes the place of items that serve whose step bounds how many
// may be unavailable, and against an explanation that does not name them.
func TestItemsWithMaxUnavailableAreNotPreemptedForItemsThatFill(t *testing.T) {
	g := NewWithT(t)
	w := newSharingWorld()
	serving := servingStep(3)
	serving.MaxPerWorker, serving.MaxUnavailable = 1, 1
	other := w.addJob("small", "c", serving)
	w.advanceApart(g, 500*time.Millisecond)
	claim := w.addJob("urgent", "a", fillingStep(1))
	w.advanceApart(g, 10*time.Second)
	g.Expect(w.stoppedRuns(other)).To(BeZero())
	n, _ := w.startedItems(claim)
	g.Expect(n).To(BeZero())
	g.Expect(w.planner.Dump(w.now).Jobs).To(ContainElement(HaveField("WaitReason", ContainSubstring("3 hold items beside which it must not run"))))
}

// An item that serves waits beside items that fill and end one by one, and more of them arrive all the
// time. Guards against starvation: unless a worker is kept free for it, each holds some item that fills.
func TestItemThatServesIsNotStarvedByItemsThatFill(t *testing.T) {
	g := NewWithT(t)
	w := newSharingWorld()
	filling := step(1, 3, 1000) // two on each worker
	filling.Fills = true
	arrive := func(n int) {
		for range n {
			id := w.addLateJob("large", "c", filling)
			w.runFor(id, time.Second)
			w.advanceApart(g, 180*time.Millisecond)
		}
	}
	arrive(12)
	serving := w.addJob("large", "b", servingStep(1))
	arrive(60)
	n, _ := w.startedItems(serving)
	g.Expect(n).To(Equal(1))
}

// A gang that serves prefers one rack, and items that fill and may not be stopped are in each. Guards
// against waiting for a rack whose workers do not come free for it.
func TestGangThatServesDoesNotAwaitARackOfItemsThatFill(t *testing.T) {
	g := NewWithT(t)
	w := newRackWorld()
	for _, rack := range []string{"r0", "r1"} {
		s := fillingStep(1)
		s.Label = rack
		w.addJob("small", "c", s)
	}
	w.advanceApart(g, 500*time.Millisecond)
	s := servingStep(3)
	s.Gang, s.SameRack, s.MaxPerWorker = true, true, 1
	id := w.addJob("large", "b", s)
	w.advanceApart(g, 500*time.Millisecond)
	n, _ := w.startedItems(id)
	g.Expect(n).To(Equal(3))
	g.Expect(w.racksOf(id)).To(HaveLen(2))
}
