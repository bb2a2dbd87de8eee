package planner_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

// submitWholeWorkerClaims submits five claims that take one whole worker each.
func submitWholeWorkerClaims(h *harness, checkpointMS int64) {
	for i := range 5 {
		j := newJob(fmt.Sprintf("c%d", i), "b", model.ClassGuaranteed, shape(1, 8, model.AdjacentHost))
		j.CheckpointIntervalMS = checkpointMS
		h.submit(j)
	}
	h.advance(time.Minute)
}

// idleWorkerBesideOneClaim returns an idle worker in a rack in which exactly one claim
// runs, "" if there is none.
func idleWorkerBesideOneClaim(h *harness) string {
	claims := map[string]int{}
	for _, w := range smallPool() {
		if h.usedByWorker[w.ID].Accelerators > 0 {
			claims[w.Rack]++
		}
	}
	for _, w := range smallPool() {
		if claims[w.Rack] == 1 && h.usedByWorker[w.ID].Accelerators == 0 {
			return w.ID
		}
	}
	return ""
}

func countGuaranteeMoves(h *harness) int {
	return strings.Count(strings.Join(h.log, "\n"), "moved_to_keep_guarantees")
}

var _ = Describe("a claim that blocks guarantees", func() {
	// Each entry guards against guarantees that have no place until a claim ends,
	// although the remaining pool could hold all of them.
	DescribeTable("is moved", func(script func(h *harness), expected int) {
		h := newHarness(twoTeams(), smallPool()...)
		submitWholeWorkerClaims(h, 60_000)
		script(h)
		h.settle()
		h.advance(time.Second)
		Expect(countGuaranteeMoves(h)).To(Equal(expected))
		if expected > 0 {
			Expect(h.p.UnpackedTeams()).To(BeEmpty())
		}
		for _, id := range h.order {
			Expect(h.jobs[id].state).To(Equal(model.JobRunning), id)
			Expect(h.jobs[id].preemptible).To(BeFalse(), id)
		}
		Expect(h.violations).To(BeEmpty())
	},
		Entry("after the loss of a worker", func(h *harness) {
			h.down(idleWorkerBesideOneClaim(h))
		}, 1),
		Entry("in time for an urgent claim that arrives meanwhile", func(h *harness) {
			h.down(idleWorkerBesideOneClaim(h))
			h.submit(newJob("u0", "a", model.ClassUrgent, shape(2, 8, model.AdjacentRack)))
			h.submit(newJob("u1", "a", model.ClassUrgent, shape(2, 8, model.AdjacentRack)))
		}, 1),
		Entry("when a faulty worker is quarantined under an urgent claim", func(h *harness) {
			h.failing[idleWorkerBesideOneClaim(h)] = true
			h.impaired = true
			h.submit(newJob("u0", "a", model.ClassUrgent, shape(2, 8, model.AdjacentRack)))
			h.submit(newJob("u1", "a", model.ClassUrgent, shape(2, 8, model.AdjacentRack)))
		}, 1),
		Entry("but not if that does not help", func(h *harness) {
			// Both workers are lost before the next decision; after the loss of the first
			// alone a move would help.
			lost := []string{idleWorkerBesideOneClaim(h)}
			for _, w := range smallPool() {
				if len(lost) < 2 && w.ID != lost[0] && h.usedByWorker[w.ID].Accelerators == 0 {
					lost = append(lost, w.ID)
				}
			}
			for _, id := range lost {
				h.p.RemoveWorker(h.now, id)
				delete(h.workers, id)
			}
			h.impaired = true
			h.runDecisions()
		}, 0),
	)

	// Guards against losing hours of work for a guarantee that nobody claims, and
	// against a claim that waits because the move was not made.
	It("without checkpoints is moved only when a claim needs the room", func() {
		h := newHarness(twoTeams(), smallPool()...)
		submitWholeWorkerClaims(h, 0)
		h.advance(3 * time.Hour)
		h.down(idleWorkerBesideOneClaim(h))
		Expect(countGuaranteeMoves(h)).To(BeZero())
		Expect(h.p.UnpackedTeams()).To(Equal([]string{"a"}))
		for _, id := range []string{"u0", "u1"} {
			h.submit(newJob(id, "a", model.ClassUrgent, shape(2, 8, model.AdjacentRack)))
		}
		Expect(countGuaranteeMoves(h)).To(Equal(1))
		h.settle()
		Expect(h.jobs["u0"].preemptible || h.jobs["u1"].preemptible).To(BeFalse())
		Expect(h.jobs["u0"].state).To(Equal(model.JobRunning))
		Expect(h.jobs["u1"].state).To(Equal(model.JobRunning))
		Expect(h.violations).To(BeEmpty())
	})

	// Guards against a claim that stays at a place that was the best one only while
	// another claim ran. The next loss of a worker then left guarantees without a
	// place.
	It("is moved ahead of a loss that would make it block guarantees, if that is cheap", func() {
		h := newHarness(twoTeams(), smallPool()...)
		submitWholeWorkerClaims(h, 60_000)
		Expect(idleWorkerBesideOneClaim(h)).NotTo(BeEmpty())
		h.advance(2 * time.Minute)
		h.endGang("c0", framework.OutcomeDone, "")
		h.advance(time.Minute)
		Expect(strings.Count(strings.Join(h.log, "\n"), "moved_ahead_of_failure")).To(Equal(1))
		for _, w := range smallPool() {
			if h.usedByWorker[w.ID].Accelerators == 0 {
				h.down(w.ID)
				Expect(h.p.UnpackedTeams()).To(BeEmpty(), "without worker "+w.ID)
				h.up(w)
			}
		}
		Expect(countGuaranteeMoves(h)).To(BeZero())
		Expect(h.violations).To(BeEmpty())
	})
})
