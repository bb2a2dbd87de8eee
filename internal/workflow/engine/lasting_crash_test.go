package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// lastingPause is the platform's bound for the time from the end of a run of an item that lasts to its next
// run.
const lastingPause = 6 * time.Second

// lastingStep returns a step of items that run until they are cancelled, each on its own worker.
func lastingStep(count int) workflow.Step {
	s := step(count, 2, 1_000_000)
	s.LongRunning, s.MaxPerWorker = true, 1
	return s
}

// The first item of a job crashes each worker that runs it, and the others are sound. Guards against a job
// that fails for it and stops the sound items, against crashes in quick succession, and against an item
// that stays away for longer than the platform allows. Items that last have no limit of crashes.
func TestLastingItemThatCrashesWorkersIsRestarted(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
		for _, downtime := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second, 25 * time.Second} {
			t.Run(fmt.Sprintf("%v, away for %v", delay, downtime), func(t *testing.T) {
				g := NewWithT(t)
				w := deadlyWorld(21, 12, delay)
				w.crashDowntime = downtime
				id := w.addJob("large", "a", lastingStep(4))
				w.jobs[id].Payload = "deadly first"
				w.advance(2 * time.Minute)
				g.Expect(w.violations).To(BeEmpty())
				g.Expect(w.progress[id].State).To(Equal(workflow.StateActive))
				for i := 1; i < 4; i++ {
					g.Expect(w.runs(id, i)).To(HaveLen(1), "sound item %d", i)
					g.Expect(w.runs(id, i)[0].ended).To(BeFalse())
				}
				// A worker that is away for longer than its lease is known to run nothing only then.
				bound := max(lastingPause, withClockDrift(w.planner.settings.LeaseDuration)+expiryMargin) + 500*time.Millisecond
				var pauses []time.Duration
				runs := w.runs(id, 0)
				for i := 1; i < len(runs); i++ {
					pauses = append(pauses, runs[i].startedAt.Sub(runs[i-1].startedAt)-delay)
				}
				g.Expect(pauses).To(HaveEach(BeNumerically("<", bound)))
				g.Expect(len(pauses)).To(BeNumerically(">", maxCrashes))
				if downtime == time.Second {
					g.Expect(pauses).To(HaveEach(BeNumerically("<", lastingPause-time.Second)))
					g.Expect(pauses[0]).To(BeNumerically("<", 2*time.Second))
					g.Expect(pauses[3:]).To(HaveEach(BeNumerically(">", maxLastingCrashDelay-500*time.Millisecond)))
				}
			})
		}
	}
}

// Planners change while an item that lasts crashes its workers. Guards against a count that ends with the
// term, and against a job that fails for it.
func TestLastingItemCrashesAcrossTerms(t *testing.T) {
	g := NewWithT(t)
	w := deadlyWorld(22, 6, 100*time.Millisecond)
	id := w.addJob("large", "a", lastingStep(2))
	w.jobs[id].Payload = "deadly first"
	for range 8 {
		w.advanceUntilRuns(id, len(w.runs(id, 0))+1, 20*time.Second)
		w.advance(200 * time.Millisecond)
		w.takeover()
	}
	w.advance(20 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.progress[id].State).To(Equal(workflow.StateActive))
	g.Expect(w.runs(id, 1)).To(HaveLen(1))
	g.Expect(w.planner.jobs[id].units[0].crashTotal()).To(BeNumerically(">", maxCrashes))
}

// A sound item of a step has to start while another one of it crashes its workers at the start. Guards
// against items that wait for each other until that one is sound.
func TestLastingItemDoesNotWaitForASuspectOne(t *testing.T) {
	g := NewWithT(t)
	w := deadlyWorld(23, 8, 100*time.Millisecond)
	id := w.addJob("large", "a", lastingStep(3))
	w.jobs[id].Payload = "deadly first"
	w.advanceUntilRuns(id, 4, 30*time.Second)
	sound := w.runs(id, 1)[0]
	endedAt := w.now
	sound.worker.finish(sound, workflow.EndFailed)
	w.advance(lastingPause)
	g.Expect(w.runs(id, 1)).To(HaveLen(2))
	g.Expect(w.runs(id, 1)[1].startedAt.Sub(endedAt)).To(BeNumerically("<", 2*time.Second))
}

// An item that lasts waits after a crash. Guards against a delay that operators cannot see.
func TestRestartDelayIsExplained(t *testing.T) {
	g := NewWithT(t)
	w := deadlyWorld(24, 6, 100*time.Millisecond)
	w.crashDowntime = time.Second
	id := w.addJob("large", "a", lastingStep(2))
	w.jobs[id].Payload = "deadly first"
	w.advanceUntilRuns(id, 4, 30*time.Second)
	w.planner.TakeEndEvents()
	w.advance(2 * time.Second)
	var delays []RestartDelay
	for _, event := range w.planner.TakeEndEvents() {
		if event.Delay != nil {
			delays = append(delays, *event.Delay)
		}
	}
	g.Expect(delays).To(HaveLen(1))
	g.Expect(delays[0].Crashes).To(Equal(4))
	g.Expect(delays[0].Delay).To(Equal(maxLastingCrashDelay))
	g.Expect(w.planner.Dump(w.now).Jobs[0].WaitReason).To(MatchRegexp("^item .* backs off for [0-9.]+m?s after its last run, as workers have crashed under it \\(4 so far\\)"))
}

// Short items start on every worker, over and over, and the workers that the item crashes are silent until
// their leases have expired. Guards against an item that goes on waiting then, for a worker without a recent
// start.
func TestLastingItemRestartsOnABusyPool(t *testing.T) {
	g := NewWithT(t)
	w := deadlyWorld(25, 5, 100*time.Millisecond)
	w.noProgress, w.crashDowntime = true, 8*time.Second
	id := w.addJob("urgent", "b", lastingStep(1))
	w.jobs[id].Payload = "deadly first"
	for range 60 {
		short := step(5, 1, 800)
		short.MaxPerWorker = 1
		w.addJob("urgent", "a", short)
		w.advance(600 * time.Millisecond)
	}
	runs := w.runs(id, 0)
	g.Expect(len(runs)).To(BeNumerically(">", 3))
	for i := 1; i < len(runs); i++ {
		g.Expect(runs[i].startedAt.Sub(runs[i-1].startedAt)).To(BeNumerically("<", withClockDrift(w.planner.settings.LeaseDuration)+expiryMargin+time.Second))
	}
}

// Two workers have crashed under an item that lasts, not at its start. Guards against a third crash that
// takes other runs with it although another worker is idle.
func TestLastingItemThatCrashedTwiceAvoidsOtherRuns(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(26, 3, 0)
	w.advance(2500 * time.Millisecond)
	spread := step(2, 1, 60_000)
	spread.MaxPerWorker = 1
	w.addJob("large", "a", spread)
	w.advance(500 * time.Millisecond)
	id := w.addJob("large", "b", lastingStep(1))
	w.planner.jobs[id].units[0].changeCrashes(0, func(c *crashCount) { c.total = 2 })
	w.advance(500 * time.Millisecond)
	g.Expect(w.runs(id, 0)).To(HaveLen(1))
	g.Expect(w.runs(id, 0)[0].worker.running).To(HaveLen(1))
}
