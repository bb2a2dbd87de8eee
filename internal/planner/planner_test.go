package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/planner"
	"snipegw/internal/planner/framework"
)

func TestPlanner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "planner")
}

func guarantee(n int, s model.Shape) model.Guarantee { return model.Guarantee{Count: n, Shape: s} }

func twoTeams() []model.Team {
	return []model.Team{
		{ID: "a", Guarantees: []model.Guarantee{guarantee(2, shape(2, 8, model.AdjacentRack))}},
		{ID: "b", Guarantees: []model.Guarantee{guarantee(5, shape(1, 8, model.AdjacentHost))}},
	}
}

var _ = Describe("the policies", func() {
	// Guards against settings that name a policy which is not registered.
	It("are registered under the names used in settings", func() {
		for _, name := range []string{"loads", "casa"} {
			_, err := framework.Policies.Get(name)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

var _ = Describe("guarantees", func() {
	// Guards against guarantees that the pool cannot hold and that nobody is told about.
	It("that do not pack are reported by team and shape", func() {
		teams := twoTeams()
		Expect(planner.CheckGuarantees(teams, smallPool())).To(BeEmpty())
		teams[1].Guarantees = append(teams[1].Guarantees, guarantee(1, shape(2, 8, model.AdjacentRack)))
		Expect(planner.CheckGuarantees(teams, smallPool())).To(ConsistOf(ContainSubstring("team b: 1 of 1")))
	})

	// Guards against a claim that stops a job which loses an hour of work, while another
	// one loses less than a checkpoint interval, and against a claim that is placed before
	// its room is free.
	It("are reclaimed from the preemptible job that loses the least work", func() {
		h := newHarness(twoTeams(), smallPool()...)
		for _, id := range []string{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9"} {
			j := newJob(id, "b", model.ClassPreemptible, shape(1, 8, model.AdjacentHost))
			if id != "p4" {
				j.CheckpointIntervalMS = 0
			}
			h.submit(j)
		}
		h.advance(time.Hour)
		h.submit(newJob("u", "b", model.ClassUrgent, shape(1, 8, model.AdjacentHost)))
		Expect(h.jobs["u"].state).To(Equal(model.JobQueued), "the claim was placed before its room was free")
		Expect(h.log).To(ContainElement("stop p4  [] preempted_by_guarantee"))
		h.settle()
		Expect(h.jobs["u"].state).To(Equal(model.JobRunning))
		Expect(h.violations).To(BeEmpty())
	})

	// Guards against a team whose jobs beyond its guarantees cannot be preempted.
	It("protect only as many jobs of a team as it has guarantees", func() {
		h := newHarness(twoTeams(), smallPool()...)
		for _, id := range []string{"g1", "g2", "g3"} {
			h.submit(newJob(id, "a", model.ClassGuaranteed, shape(2, 8, model.AdjacentRack)))
		}
		Expect(h.jobs["g2"].preemptible).To(BeFalse())
		Expect(h.jobs["g3"].preemptible).To(BeTrue())
	})

	// Guards against guarantees that lose their place without a report, and against a
	// report as long as the remaining workers can hold them all.
	It("that lose their place with a worker are reported by team", func() {
		h := newHarness(twoTeams(), smallPool()...)
		h.down("w0-3-0")
		Expect(h.p.UnpackedTeams()).To(BeEmpty())
		h.down("w0-0-0")
		Expect(h.p.UnpackedTeams()).NotTo(BeEmpty())
	})
})

var _ = Describe("admission", func() {
	// Guards against a job that waits forever since no pool of the known workers could
	// hold it, and against one that is refused although it only waits for workers to
	// return.
	It("refuses jobs that would not fit all workers and parks jobs that would not fit the usable ones", func() {
		h := newHarness(nil, smallPool()...)
		h.submit(newJob("big", "a", model.ClassPreemptible, shape(4, 8, model.AdjacentRack)))
		Expect(h.jobs["big"].state).To(Equal(model.JobRefused))
		h.down("w0-0-0")
		h.down("w1-1-0")
		h.down("w2-2-0")
		h.submit(newJob("parked", "a", model.ClassPreemptible, shape(3, 8, model.AdjacentRack)))
		Expect(h.jobs["parked"].state).To(Equal(model.JobParked))
		reason, _ := h.p.Explain("parked")
		Expect(reason.Rule).To(Equal("pool_too_small_at_present"))
		w := worker(0, 0, 0, 8)
		h.workers[w.ID] = w
		h.p.AddWorker(h.now, w)
		h.runDecisions()
		Expect(h.jobs["parked"].state).To(Equal(model.JobRunning))
		Expect(h.violations).To(BeEmpty())
	})
})

var _ = Describe("blame", func() {
	// Guards against a faulty worker that goes on failing jobs, and against one that stays
	// quarantined after it was mended.
	It("falls on a worker on which several jobs fail, until a probe succeeds", func() {
		h := newHarness(nil, worker(0, 0, 0, 8), worker(0, 0, 1, 8))
		h.failing["w0-0-0"] = true
		quarantines := 0
		for _, id := range []string{"j0", "j1", "j2", "j3"} {
			h.submit(newJob(id, "a", model.ClassPreemptible, shape(1, 4, model.AdjacentHost)))
			h.settle()
		}
		for _, line := range h.log {
			if line == "quarantine  w0-0-0 [] several_jobs_failed" {
				quarantines++
			}
		}
		Expect(quarantines).To(Equal(1))
		delete(h.failing, "w0-0-0")
		for range 3 {
			h.advance(6 * time.Minute)
		}
		Expect(h.jobs["j3"].state).To(Equal(model.JobRunning))
		Expect(h.violations).To(BeEmpty())
	})

	// Guards against a release by an operator that leaves the worker out of use until
	// its probe is due.
	It("is dropped when an operator releases the worker", func() {
		h := newHarness(nil, worker(0, 0, 0, 8), worker(0, 0, 1, 8))
		h.failing["w0-0-0"] = true
		for _, id := range []string{"j0", "j1", "j2", "j3"} {
			h.submit(newJob(id, "a", model.ClassPreemptible, shape(1, 4, model.AdjacentHost)))
			h.settle()
		}
		Expect(h.log).To(ContainElement("quarantine  w0-0-0 [] several_jobs_failed"))
		delete(h.failing, "w0-0-0")
		h.submit(newJob("j4", "a", model.ClassPreemptible, shape(1, 4, model.AdjacentHost)))
		h.advance(10 * time.Second)
		Expect(h.jobs["j4"].state).To(Equal(model.JobQueued))
		h.p.ReleaseWorker(h.now, "w0-0-0")
		h.runDecisions()
		Expect(h.jobs["j4"].state).To(Equal(model.JobRunning))
		Expect(h.violations).To(BeEmpty())
	})

	// Guards against a worker that keeps probing, and so can hold no guarantee, as long
	// as a gang that started before its failures runs there.
	It("is cleared by a successful probe beside a gang that ran before the failures", func() {
		h := newHarness(nil, worker(0, 0, 0, 8), worker(0, 0, 1, 8))
		h.submit(newJob("before", "a", model.ClassPreemptible, shape(1, 1, model.AdjacentHost)))
		workerID := h.jobs["before"].workers[0]
		h.advance(time.Hour)
		h.failing[workerID] = true
		for i := range 6 {
			h.submit(newJob(fmt.Sprintf("j%d", i), "a", model.ClassPreemptible, shape(1, 2, model.AdjacentHost)))
			h.settle()
			h.advance(5 * time.Second)
		}
		Expect(h.log).To(ContainElement(ContainSubstring("quarantine  " + workerID)))
		delete(h.failing, workerID)
		h.advance(6 * time.Minute)
		Expect(h.jobs["before"].state).To(Equal(model.JobRunning))
		Expect(h.jobs["j5"].workers).To(Equal([]string{workerID}), strings.Join(h.log, "\n"))
		Expect(h.violations).To(BeEmpty())
	})

	// Guards against healthy workers that are quarantined because of one faulty job.
	It("falls on a job that fails on several workers", func() {
		h := newHarness(nil, smallPool()...)
		h.failing["never"] = true
		h.submit(newJob("good", "a", model.ClassPreemptible, shape(10, 4, model.AdjacentAny)))
		h.advance(time.Minute)
		h.submit(newJob("never", "a", model.ClassPreemptible, shape(1, 2, model.AdjacentHost)))
		h.settle()
		Expect(h.jobs["never"].state).To(Equal(model.JobFailed))
		Expect(h.log).NotTo(ContainElement(ContainSubstring("quarantine")))
	})
})

var _ = Describe("repair", func() {
	// Guards against a large job that waits although enough accelerators are free,
	// since they are fragmented over many workers.
	It("moves small jobs together to free a place for a large one", func() {
		h := newHarness(nil, smallPool()...)
		for i := range 10 { // leaves one job on each worker, as after a bulk cancellation
			for k := range 2 {
				id := fmt.Sprintf("s%d-%d", i, k)
				j := newJob(id, "a", model.ClassPreemptible, shape(1, 4, model.AdjacentHost))
				j.DeclaredMS = 1_800_000
				h.submit(j)
				Expect(h.jobs[id].workers).To(HaveLen(1))
			}
		}
		for i := range 10 {
			h.cancel(fmt.Sprintf("s%d-0", i))
		}
		h.settle()
		h.advance(4 * time.Minute)
		big := newJob("big", "a", model.ClassPreemptible, shape(2, 8, model.AdjacentRack))
		big.DeclaredMS = 7_200_000
		h.submit(big)
		h.settle()
		Expect(h.jobs["big"].state).To(Equal(model.JobRunning))
		Expect(h.log).To(ContainElement(ContainSubstring("moved_to_free_a_place")))
		for i := range 10 {
			Expect(h.jobs[fmt.Sprintf("s%d-1", i)].state).To(Equal(model.JobRunning))
		}
		Expect(h.violations).To(BeEmpty())
	})
})

var _ = Describe("explain", func() {
	// Each entry guards against a reason that does not describe the state of the job.
	DescribeTable("gives the rule for the current state of a job", func(prepare func(h *harness), rule string) {
		h := newHarness(twoTeams(), smallPool()...)
		prepare(h)
		reason, known := h.p.Explain("x")
		Expect(known).To(BeTrue())
		Expect(reason.Rule).To(Equal(rule))
		Expect(reason.Sentence).NotTo(BeEmpty())
	},
		Entry("running", func(h *harness) {
			h.submit(newJob("x", "a", model.ClassPreemptible, shape(1, 1, model.AdjacentHost)))
		}, "placed"),
		Entry("running on a guarantee", func(h *harness) {
			h.submit(newJob("x", "a", model.ClassUrgent, shape(2, 8, model.AdjacentRack)))
		}, "claimed_guarantee"),
		Entry("running beyond the guarantee", func(h *harness) {
			for _, id := range []string{"g1", "g2", "x"} {
				h.submit(newJob(id, "a", model.ClassGuaranteed, shape(2, 8, model.AdjacentRack)))
			}
		}, "placed"),
		Entry("waiting for preempted jobs to stop", func(h *harness) {
			h.submit(newJob("p", "b", model.ClassPreemptible, shape(10, 8, model.AdjacentAny)))
			h.submit(newJob("x", "a", model.ClassUrgent, shape(2, 8, model.AdjacentRack)))
		}, "waiting_for_preempted_jobs"),
		Entry("preempted", func(h *harness) {
			h.submit(newJob("x", "b", model.ClassPreemptible, shape(10, 8, model.AdjacentAny)))
			h.submit(newJob("u", "a", model.ClassUrgent, shape(2, 8, model.AdjacentRack)))
		}, "preempted_by_guarantee"),
		Entry("waiting for room", func(h *harness) {
			h.submit(newJob("p", "b", model.ClassPreemptible, shape(10, 8, model.AdjacentAny)))
			h.submit(newJob("x", "b", model.ClassPreemptible, shape(2, 8, model.AdjacentRack)))
		}, "waiting_for_capacity"),
		Entry("parked", func(h *harness) {
			h.down("w0-0-0")
			h.submit(newJob("x", "b", model.ClassPreemptible, shape(10, 8, model.AdjacentAny)))
		}, "pool_too_small_at_present"),
	)
})
