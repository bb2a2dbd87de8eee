package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipegw/internal/workflow"
)

// addJob submits a job and returns its id.
func (w *world) addJob(queue, team string, steps ...workflow.Step) string {
	id := fmt.Sprintf("%016x", len(w.jobs)+1)
	q := w.config.Queue(queue)
	w.jobs[id] = &workflow.JobRecord{
		Job: workflow.Job{Steps: steps}, Queue: queue, Team: team, AcceptedMS: w.now.UnixMilli(), Service: q.Service,
		Priority: q.Priority, MaxAttempts: q.MaxAttempts, SlackFactor: q.SlackFactor, TargetMS: q.TargetMS,
	}
	w.planner.AddJob(id, w.jobs[id], nil, 0)
	return id
}

// addLateJob submits a job that can no longer meet its objective, so that it does
// not have to leave headroom.
func (w *world) addLateJob(queue, team string, step workflow.Step) string {
	id := w.addJob(queue, team, step)
	w.jobs[id].AcceptedMS -= 3 * step.EstimateMS
	return id
}

// advance runs the simulation for d.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick()
	}
}

// startedItems returns the number of items of a job that have been started, and the
// latest start among the first runs of the items.
func (w *world) startedItems(id string) (n int, last time.Time) {
	step := w.jobs[id].Steps[0]
	for i := range step.Count {
		if runs := w.runsByItem[workflow.ItemRef{Job: id, Index: i}.String()]; len(runs) > 0 {
			n++
			if runs[0].startedAt.After(last) {
				last = runs[0].startedAt
			}
		}
	}
	return n, last
}

// runs returns all runs of an item of the first step of a job, in order.
func (w *world) runs(id string, index int) []*modelRun {
	return w.runsByItem[workflow.ItemRef{Job: id, Index: index}.String()]
}

// step returns a step with the given items, accelerators per item and estimate.
func step(count int, accelerators, ms int64) workflow.Step {
	return workflow.Step{Count: count, MilliCPU: 2000, MemoryMB: 8000, Accelerators: accelerators, EstimateMS: ms}
}

// gang returns a step whose items form a gang.
func gang(count int, accelerators, ms int64) workflow.Step {
	s := step(count, accelerators, ms)
	s.Gang = true
	return s
}

// Other teams fill the pool, in part with items that may not be stopped, then a team claims its
// guarantee, also with a gang that prefers one rack. Guards against a
// guaranteed job whose items do not all start within Settings.ReclaimTimeout because
// of what runs on the pool or how it is spread over the workers.
func TestGuaranteeIsReclaimedFromAFullPool(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 6, 0)
		w.advance(2500 * time.Millisecond) // past workerSettleTime
		for _, rack := range []string{"r0", "r1"} {
			protected := lastingStepOn(rack, 8)
			protected.Count, protected.MaxUnavailable = 1+w.rng.IntN(2), 1
			w.addJob("small", "b", protected)
		}
		w.advance(time.Duration(w.rng.IntN(300)) * time.Millisecond)
		for range 30 {
			w.addJob([]string{"large", "small"}[w.rng.IntN(2)], "b", step(1+w.rng.IntN(6), 1<<w.rng.IntN(4), 4000+w.rng.Int64N(4000)))
		}
		w.advance(time.Duration(w.rng.IntN(3000)) * time.Millisecond)
		accelerators := int64(1) << w.rng.IntN(4)
		count := int(16 / accelerators)
		claim := step(1+w.rng.IntN(count), accelerators, 1000+w.rng.Int64N(2000))
		claim.Gang, claim.SameRack = w.chance(0.5), w.chance(0.5)
		accepted := w.now
		id := w.addJob("urgent", "a", claim)
		w.advance(2700 * time.Millisecond)
		if n, last := w.startedItems(id); n < claim.Count {
			t.Fatalf("%d of %d items have started, the last after %v", n, claim.Count, last.Sub(accepted))
		}
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}

// An urgent job finds the pool full of runs that are about to end. Guards against
// preempting them, which loses their work and gains little time.
func TestUrgentJobWaitsForRunsAboutToEnd(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2, 0)
	w.advance(2500 * time.Millisecond)
	for _, m := range w.workers {
		m.capacity.Accelerators = 8
	}
	long := w.addJob("urgent", "b", step(2, 8, 2000))
	w.advance(1700 * time.Millisecond)
	for i := range 2 {
		w.runs(long, i)[0].doneAt = w.now.Add(300 * time.Millisecond)
	}
	w.planner.estimates = make(durationEstimates)
	urgent := w.addJob("urgent", "a", step(1, 8, 4000))
	w.advance(1200 * time.Millisecond)
	g.Expect(w.runs(long, 0)).To(HaveLen(1))
	g.Expect(w.runs(long, 1)).To(HaveLen(1))
	n, _ := w.startedItems(urgent)
	g.Expect(n).To(Equal(1))
}

// An urgent item needs a whole worker. One worker is full of small items that are
// each cheap to stop; the other runs one large item that costs less than all of
// them together. Guards against a choice of victims by the cost of the single run
// instead of the total lost work.
func TestPreemptionMinimisesTotalLostWork(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2, 2, 0)
	w.noRandomFailures = true
	w.advance(2500 * time.Millisecond)
	small := w.addJob("small", "b", step(8, 1, 20_000))
	w.advance(time.Second)
	large := w.addLateJob("large", "b", step(1, 8, 20_000))
	w.advance(2 * time.Second)
	urgent := w.addJob("urgent", "b", step(1, 8, 4000))
	w.advance(2 * time.Second)
	n, _ := w.startedItems(urgent)
	g.Expect(n).To(Equal(1))
	g.Expect(w.runs(large, 0)[0].how).To(Equal(workflow.EndStopped))
	for i := range 8 {
		g.Expect(w.runs(small, i)).To(HaveLen(1))
	}
}

// A team claims its guarantee while the pool is held by an urgent job of another
// team that has just started and by an old job of low priority. Guards against
// preempting the urgent job, which would then be late, because it loses less work.
func TestReclaimPreemptsLowPriorityFirst(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(6, 2, 0)
	w.noRandomFailures = true
	w.advance(2500 * time.Millisecond)
	low := w.addLateJob("large", "b", step(1, 8, 20_000))
	w.advance(3 * time.Second)
	urgent := w.addJob("urgent", "c", step(1, 8, 20_000))
	w.advance(500 * time.Millisecond)
	claim := w.addJob("urgent", "a", step(1, 8, 4000))
	w.advance(2500 * time.Millisecond)
	n, _ := w.startedItems(claim)
	g.Expect(n).To(Equal(1))
	g.Expect(w.runs(urgent, 0)).To(HaveLen(1))
	g.Expect(w.runs(urgent, 0)[0].how).To(BeEmpty())
	g.Expect(w.runs(low, 0)[0].how).To(Equal(workflow.EndStopped))
}

// An urgent job beyond its team's guarantee finds the pool held by a large run that
// is well under way. A small job must wait; a job with more work than would be lost
// may preempt the run. Guards against losing more work than the urgent job has.
func TestUrgentJobDoesNotPreemptMoreWorkThanItHas(t *testing.T) {
	for _, c := range []struct {
		ms    int64
		stops bool
	}{{500, false}, {20_000, true}} {
		g := NewWithT(t)
		w := newWorld(8, 1, 0)
		w.noRandomFailures = true
		w.advance(2500 * time.Millisecond)
		low := w.addLateJob("large", "b", step(1, 8, 20_000))
		w.advance(4 * time.Second)
		w.addJob("urgent", "c", step(1, 8, c.ms))
		w.advance(time.Second)
		g.Expect(w.runs(low, 0)[0].how == workflow.EndStopped).To(Equal(c.stops), "urgent job of %d ms", c.ms)
	}
}

// An urgent gang that needs a single rack finds all racks full. Guards against
// victims in several racks, which lose work and still leave no rack for the gang.
func TestPreemptionClearsOneRack(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(4, 6, 0)
	w.noRandomFailures = true
	w.advance(2500 * time.Millisecond)
	var jobs []string
	for i := range 6 {
		jobs = append(jobs, w.addLateJob("large", "b", step(1, 8, 60_000)))
		w.advance(time.Duration(300+150*i) * time.Millisecond)
	}
	claim := gang(2, 8, 4000)
	claim.SameRack = true
	urgent := w.addJob("urgent", "b", claim)
	w.advance(2 * time.Second)
	n, _ := w.startedItems(urgent)
	g.Expect(n).To(Equal(2))
	racks := make(map[string]int)
	for _, id := range jobs {
		if r := w.runs(id, 0)[0]; r.how == workflow.EndStopped {
			racks[r.worker.rack]++
		}
	}
	g.Expect(racks).To(HaveLen(1))
}

// Small items keep arriving while a large gang waits. Guards against starvation:
// without a reservation, each small item that fits would delay the gang further.
func TestLargeGangIsNotStarvedBySmallItems(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3, 3, 0)
	w.advance(2500 * time.Millisecond)
	for range 12 {
		w.addJob("small", "b", step(2, 1, 3000))
		w.advance(100 * time.Millisecond)
	}
	large := w.addJob("large", "a", gang(2, 8, 4000))
	for range 120 {
		w.addJob("small", "b", step(1, 1, 3000))
		w.advance(100 * time.Millisecond)
		if n, _ := w.startedItems(large); n == 2 {
			break
		}
	}
	n, last := w.startedItems(large)
	g.Expect(n).To(Equal(2))
	waited := last.Sub(time.UnixMilli(w.jobs[large].AcceptedMS))
	g.Expect(waited).To(BeNumerically("<", 9*time.Second), "objective: three times 4 s and 1 s, less the 4 s of its run")
}

// A burst of large jobs with time to spare is followed by an urgent job. Guards
// against a burst that takes the headroom, so that the urgent job has to wait or
// preempts others.
func TestBurstLeavesHeadroomForUrgentJobs(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(5, 6, 0)
	w.advance(2500 * time.Millisecond)
	for range 30 {
		w.addJob("large", "b", step(2, 2, 8000))
	}
	w.advance(200 * time.Millisecond)
	accepted := w.now
	urgent := w.addJob("urgent", "b", step(2, 1, 1000))
	w.advance(200 * time.Millisecond)
	n, last := w.startedItems(urgent)
	g.Expect(n).To(Equal(2))
	g.Expect(last.Sub(accepted)).To(BeNumerically("<", 150*time.Millisecond))
	for id := range w.jobs {
		for i := range w.jobs[id].Steps[0].Count {
			g.Expect(len(w.runs(id, i))).To(BeNumerically("<=", 1))
		}
	}
}

// One worker fails every run. Guards against a worker that is not excluded after a
// few failures, and against jobs that use up all their attempts on it.
func TestFailingWorkerIsExcluded(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(7, 3, 0)
	w.workers[0].faultyUntil = w.now.Add(time.Hour)
	w.advance(2500 * time.Millisecond)
	for range 40 {
		w.addJob("large", "a", step(1, 4, 1000))
		w.advance(150 * time.Millisecond)
	}
	w.advance(20 * time.Second)
	failures := 0
	for id := range w.jobs {
		for _, r := range w.runs(id, 0) {
			if r.how == workflow.EndFailed && r.worker == w.workers[0] {
				failures++
			}
		}
		g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete), id)
	}
	g.Expect(failures).To(BeNumerically("<", 12), "of 40 jobs")
}

// An item makes no progress on a worker that keeps reporting. Guards against a hung
// run that is not restarted on another worker.
func TestHungRunRestartsOnAnotherWorker(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(9, 2, 0)
	w.advance(2500 * time.Millisecond)
	id := w.addJob("large", "a", step(1, 8, 2000))
	w.advance(200 * time.Millisecond)
	first := w.runs(id, 0)[0]
	first.doneAt = w.now.Add(time.Hour)
	w.advance(8 * time.Second)
	g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
	runs := w.runs(id, 0)
	g.Expect(runs).To(HaveLen(2))
	g.Expect(runs[1].worker).NotTo(Equal(first.worker))
}

// A worker drains at short notice. Guards against runs that stay although they
// cannot end in time, and against new starts on the draining worker.
func TestDrainingWorkerIsEmptied(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(11, 2, 0)
	w.advance(2500 * time.Millisecond)
	id := w.addJob("large", "a", step(1, 8, 6000))
	w.advance(500 * time.Millisecond)
	first := w.runs(id, 0)[0]
	first.worker.draining = true
	drained := w.now
	w.advance(time.Second)
	w.addJob("small", "b", step(6, 1, 500))
	w.advance(time.Second)
	runs := w.runs(id, 0)
	g.Expect(runs).To(HaveLen(2))
	g.Expect(runs[1].startedAt.Sub(drained)).To(BeNumerically("<", time.Second))
	for _, all := range w.runsByItem {
		for _, r := range all {
			if r.startedAt.After(drained) {
				g.Expect(r.worker).NotTo(Equal(first.worker))
			}
		}
	}
}

// Callers' estimates are wrong by factors. Guards against a few very long runs that
// raise the expected run time of all others, which would then look urgent.
func TestEstimatesResistOutliers(t *testing.T) {
	g := NewWithT(t)
	s := make(durationEstimates)
	u := &unit{job: &job{rec: &workflow.JobRecord{Queue: "q", Job: workflow.Job{Steps: []workflow.Step{{Count: 1, EstimateMS: 1000}}}}}}
	for i := range 40 {
		took := time.Second
		if i%10 == 0 {
			took = 60 * time.Second
		}
		s.observe(u, took)
	}
	g.Expect(s.duration(u)).To(BeNumerically("~", time.Second, 500*time.Millisecond))
}

// The planner changes on a full pool, and workers announce themselves one by one to
// agents that restart with it. Guards against preemption before all workers have
// reported, when the pool looks smaller than it is.
func TestNoPreemptionBeforeWorkersHaveReported(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(13, 3, 0)
	w.advance(2500 * time.Millisecond)
	low := w.addJob("small", "b", step(1, 8, 20_000))
	w.advance(200 * time.Millisecond)
	busy := w.runs(low, 0)[0].worker
	for _, m := range w.workers {
		if m != busy {
			m.unreachableUntil = w.now.Add(1500 * time.Millisecond)
		}
	}
	w.takeover()
	w.addJob("urgent", "a", step(1, 8, 1000))
	w.advance(3 * time.Second)
	g.Expect(w.runs(low, 0)).To(HaveLen(1))
	g.Expect(w.runs(low, 0)[0].how).To(BeEmpty())
}

// An agent is silent for some seconds while its runs go on. Guards against taking
// the lack of reports for a lack of progress and stopping the runs.
func TestSilentAgentIsNotTakenForHungRun(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(15, 1, 0)
	w.advance(2500 * time.Millisecond)
	id := w.addJob("large", "a", step(1, 8, 5000))
	w.advance(1200 * time.Millisecond)
	wk := w.planner.workers["n0"]
	wk.members[0].percentChangedAt, wk.reportedAt = w.now.Add(-3100*time.Millisecond), w.now.Add(-2400*time.Millisecond)
	_, stops := w.planner.Decide(w.now)
	g.Expect(stops).To(BeEmpty())
	w.advance(15 * time.Second)
	g.Expect(w.runs(id, 0)).To(HaveLen(1))
	g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
}

// A team has two jobs of priority 0 and a guarantee that covers one. Guards against a
// takeover after which the guarantee covers the other job, because records are listed by
// id: the job that was covered would wait longer than ReclaimTimeout.
func TestTakeoverKeepsTheGuaranteedJobs(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(17, 3, 0)
	w.advance(2500 * time.Millisecond)
	later := w.addJob("urgent", "b", step(1, 8, 20_000)) // its id is the lower one
	w.jobs[later].AcceptedMS += 500
	w.takeover()
	earlier := w.addJob("urgent", "b", step(1, 8, 20_000))
	for range 2 {
		covered := w.planner.guaranteedJobs()
		g.Expect(covered).To(HaveLen(1))
		g.Expect(covered[w.planner.jobs[earlier]]).To(BeTrue())
		w.advance(200 * time.Millisecond)
		w.takeover()
	}
}

// A worker is cut off from the planner for less, just less and more than its lease. Guards
// against a second run of what goes on there, and against giving it up: only when the lease
// has certainly expired may it start elsewhere.
func TestSilentWorkerKeepsItsRunsUntilItsLeaseExpires(t *testing.T) {
	for silence, runs := range map[time.Duration]int{1500 * time.Millisecond: 1, 4 * time.Second: 1, 5600 * time.Millisecond: 1, 9 * time.Second: 2} {
		t.Run(silence.String(), func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(18, 2, 0)
			w.noRandomFailures, w.runTimes = true, make(map[string]time.Duration)
			w.advance(2500 * time.Millisecond)
			id := w.addJob("large", "a", step(1, 8, 12_000))
			w.runTimes[workflow.ItemRef{Job: id}.String()] = 12 * time.Second
			w.advance(time.Second)
			g.Expect(w.runs(id, 0)).To(HaveLen(1))
			w.runs(id, 0)[0].worker.unreachableUntil = w.now.Add(silence)
			w.advance(40 * time.Second)
			g.Expect(w.violations).To(BeEmpty())
			g.Expect(w.runs(id, 0)).To(HaveLen(runs))
			g.Expect(w.progress[id].State).To(Equal(workflow.StateComplete))
		})
	}
}

// Filling items run beside serving ones, whose latency they would raise. Guards
// against both on one worker, and against filling items that hold processors.
func TestFillingAndServingItemsNeverShareAWorker(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(17, 3, 0)
	w.advance(2500 * time.Millisecond)
	serving := step(2, 1, 60_000)
	serving.LongRunning, serving.TargetMS, serving.MaxUnavailable, serving.MaxPerWorker = true, 50, 1, 1
	filling := step(8, 1, 2000)
	filling.Fills, filling.MilliCPU = true, 32_000
	a := w.addJob("urgent", "a", serving)
	w.advance(300 * time.Millisecond)
	b := w.addJob("small", "b", filling)
	w.advance(10 * time.Second)
	used := make(map[*modelWorker]bool)
	for i := range 2 {
		g.Expect(w.runs(a, i)).To(HaveLen(1))
		used[w.runs(a, i)[0].worker] = true
	}
	g.Expect(used).To(HaveLen(2))
	for i := range 8 {
		for _, r := range w.runs(b, i) {
			g.Expect(used).NotTo(HaveKey(r.worker))
		}
	}
	g.Expect(w.progress[b].State).To(Equal(workflow.StateComplete))
	g.Expect(w.violations).To(BeEmpty())
}

// A long-running item runs on a pool that loses workers. Guards against an item
// that is not restarted when there are free resources, and against preempting it
// for urgent jobs.
func TestLongRunningItemsAreRestarted(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(19, 2, 0)
	w.advance(2500 * time.Millisecond)
	lasting := step(1, 8, 0)
	lasting.LongRunning, lasting.MaxUnavailable, lasting.EstimateMS = true, 1, 3_600_000
	id := w.addJob("small", "b", lasting)
	w.advance(500 * time.Millisecond)
	w.addJob("urgent", "a", step(1, 8, 1500))
	w.addJob("urgent", "a", step(1, 8, 1500))
	w.advance(2 * time.Second)
	g.Expect(w.runs(id, 0)).To(HaveLen(1))
	w.runs(id, 0)[0].worker.restart()
	w.advance(3 * time.Second)
	runs := w.runs(id, 0)
	g.Expect(runs).To(HaveLen(2))
	g.Expect(runs[1].how).To(BeEmpty())
}

// Guards against a placement cache that leads to other decisions than a search for
// every unit.
func TestPlacementCacheChangesNoDecision(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		var starts [2]string
		for i, withoutCache := range []bool{false, true} {
			w := newWorld(seed, 6, 0.3)
			for range 150 {
				w.planner.cacheDisabled = withoutCache
				if w.chance(0.15) {
					w.submitRandomJob()
				}
				w.injectFaults()
				w.tick()
			}
			for _, item := range sortedKeys(w.runsByItem) {
				for _, r := range w.runsByItem[item] {
					starts[i] += fmt.Sprintf("%s %d %s %v\n", item, r.run, r.worker.node, r.startedAt)
				}
			}
		}
		if starts[0] != starts[1] || starts[0] == "" {
			t.Fatalf("starts with the placement cache:\n%s\nand without it:\n%s", starts[0], starts[1])
		}
	})
}

// The debug dump tells operators why a job waits. Guards against a missing reason,
// and against a reason that is not the one that holds the job back.
func TestDumpExplainsWaitingJobs(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(21, 2, 0)
	w.noRandomFailures = true
	w.advance(2500 * time.Millisecond)
	waiting := func(id string) string {
		for _, j := range w.planner.Dump(w.now).Jobs {
			if j.ID == id {
				return j.WaitReason
			}
		}
		return "not open"
	}
	running := w.addLateJob("large", "b", step(2, 8, 20_000))
	w.advance(300 * time.Millisecond)
	g.Expect(waiting(running)).To(BeEmpty())
	full := w.addJob("large", "b", step(1, 8, 5000))
	labelled := step(1, 1, 5000)
	labelled.Label = "none"
	alone := w.addJob("large", "b", labelled)
	w.advance(300 * time.Millisecond)
	g.Expect(waiting(full)).To(ContainSubstring("needs 1 x (8 accelerators"))
	g.Expect(waiting(full)).To(ContainSubstring("2 are usable and suit it, with 0 accelerators free"))
	g.Expect(waiting(alone)).To(ContainSubstring("label none; of 2 workers 0 are usable"))

	id := fmt.Sprintf("%016x", len(w.jobs)+1)
	w.jobs[id] = &workflow.JobRecord{
		Job:   workflow.Job{Steps: []workflow.Step{step(1, 1, 100), {Count: 1, After: []int{0}}}, Occurrences: 1, FirstAtMS: w.now.Add(time.Minute).UnixMilli()},
		Queue: "small", Service: "s", MaxAttempts: 3, SlackFactor: 3,
	}
	w.planner.AddJob(id, w.jobs[id], nil, 0)
	g.Expect(waiting(id)).To(ContainSubstring("is due in 1m0s"))
	w.jobs[id].FirstAtMS = w.now.UnixMilli()
	w.planner.jobs[id].stages[0][0].units[0].members = []*member{{worker: &worker{node: "n0"}}}
	g.Expect(waiting(id)).To(ContainSubstring("waits for step 0, of which 1 units are left"))
}
