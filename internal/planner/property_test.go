package planner_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipegw/internal/model"
	"snipegw/internal/planner"
	"snipegw/internal/planner/framework"
)

// script is a sequence of random events that can be replayed.
type script []func(h *harness)

// drawScript draws a script of jobs, ends, cancellations, failures and drains.
func drawScript(t *rapid.T) script {
	pool := smallPool()
	shapes := []model.Shape{
		shape(1, 1, model.AdjacentHost), shape(2, 2, model.AdjacentHost), shape(1, 8, model.AdjacentAny),
		shape(2, 8, model.AdjacentRack), shape(4, 4, model.AdjacentFailureDomain), shape(6, 8, model.AdjacentAny),
		shape(3, 0, model.AdjacentRack), shape(9, 8, model.AdjacentRack),
	}
	classes := []model.Class{model.ClassPreemptible, model.ClassPreemptible, model.ClassGuaranteed, model.ClassUrgent}
	var s script
	n := rapid.IntRange(5, 60).Draw(t, "events")
	jobs := 0
	for range n {
		k := rapid.IntRange(0, 1<<20).Draw(t, "choice")
		switch rapid.IntRange(0, 13).Draw(t, "event") {
		case 0, 1, 2, 3, 4:
			j := newJob(fmt.Sprintf("j%d", jobs), []string{"a", "b", "c"}[k%3], classes[k/3%4], shapes[k/12%len(shapes)])
			jobs++
			s = append(s, func(h *harness) { h.submit(j) })
		case 5, 6:
			s = append(s, func(h *harness) { h.finishAny(k) })
		case 7:
			s = append(s, func(h *harness) { h.cancel(h.pickJob(k)) })
		case 8:
			s = append(s, func(h *harness) { h.down(pool[k%10].ID) })
		case 9:
			s = append(s, func(h *harness) { h.up(pool[k%10]) })
		case 10:
			s = append(s, func(h *harness) { h.failing[pool[k%10].ID] = k%3 == 0 })
		case 12:
			s = append(s, func(h *harness) { h.drainWorker(pool[k%10].ID, k%3 > 0) })
		case 13:
			outcomes := []framework.Outcome{framework.OutcomeNotStarted, framework.OutcomeTaskFailed, framework.OutcomeOutOfMemory}
			s = append(s, func(h *harness) { h.endAny(k, outcomes[k%3]) })
		case 11:
			s = append(s, func(h *harness) { h.advance(time.Duration(k%120) * time.Second) })
		}
		if k%2 == 0 {
			s = append(s, func(h *harness) { h.settle() })
		}
	}
	return s
}

func (h *harness) pickJob(k int) string {
	if len(h.order) == 0 {
		return h.submitExtra()
	}
	return h.order[k%len(h.order)]
}

// submitExtra submits a job and returns its id.
func (h *harness) submitExtra() string {
	h.submit(newJob("extra", "c", model.ClassPreemptible, shape(1, 1, model.AdjacentHost)))
	return "extra"
}

func (h *harness) finishAny(k int) { h.endAny(k, framework.OutcomeDone) }

func (h *harness) endAny(k int, outcome framework.Outcome) {
	running := slices.DeleteFunc(slices.Clone(h.order), func(id string) bool { return h.jobs[id].state != model.JobRunning })
	if len(running) > 0 {
		j := h.jobs[running[k%len(running)]]
		blamed := ""
		if outcome != framework.OutcomeDone {
			blamed = j.workers[0]
		}
		h.endGang(j.job.ID, outcome, blamed)
	}
}

func (h *harness) drainWorker(id string, on bool) {
	h.drained[id] = on
	h.impaired = true
	h.p.DrainWorker(h.now, id, on)
	h.runDecisions()
}

func (h *harness) up(w model.Worker) {
	h.workers[w.ID] = w
	h.p.AddWorker(h.now, w)
	h.runDecisions()
}

// recoverAndFinish makes all workers healthy and lets every job end.
func (h *harness) recoverAndFinish() {
	clear(h.failing)
	for _, w := range smallPool() {
		h.drainWorker(w.ID, false)
		h.up(w)
	}
	for range 400 {
		h.advance(15 * time.Minute)
		h.finishAny(0)
	}
}

func runScript(s script) *harness {
	h := newHarness(twoTeams(), smallPool()...)
	for _, event := range s {
		event(h)
		h.checkGuarantees()
		h.settle()
		h.advance(time.Second) // the planner limits the rate of starts on a worker
		h.checkClaims()
	}
	return h
}

// checkGuarantees checks, by the planner's own plan, that every guarantee has a place
// while all workers are healthy and not draining.
func (h *harness) checkGuarantees() {
	for _, on := range h.drained {
		if on {
			return
		}
	}
	if len(h.workers) == 10 && len(h.failing) == 0 && len(h.p.UnpackedTeams()) > 0 {
		h.addViolation("guarantees of teams %v do not pack", h.p.UnpackedTeams())
	}
}

// checkClaims checks that no claim waits once all stops have ended. It skips pools
// that were impaired: gangs pinned before may occupy the room of the claim.
func (h *harness) checkClaims() {
	if h.impaired = h.impaired || len(h.workers) < 10 || len(h.failing) > 0; h.impaired {
		return
	}
	for _, team := range twoTeams() {
		g := team.Guarantees[0]
		claims, waiting := 0, ""
		for _, id := range h.order {
			j := h.jobs[id]
			s := j.job.Shape
			if j.job.Team != team.ID || j.job.Class == model.ClassPreemptible || j.state.Final() || s.Tasks > g.Tasks {
				continue
			}
			if s.Tasks > 1 && s.Adjacent == model.AdjacentHost {
				continue
			}
			claims++
			if j.state != model.JobRunning {
				waiting = id
			}
		}
		if waiting != "" && claims <= g.Count {
			h.addViolation("claim %s waits although %d of %d guarantees are claimed", waiting, claims, g.Count)
		}
	}
}

var _ = Describe("over random events", func() {
	// Guards against overcommitted workers, broken adjacency, stops of gangs that are not
	// preemptible, claims and guarantees without a place, and jobs that never end.
	It("keeps the invariants and loses no job", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := runScript(drawScript(t))
			h.recoverAndFinish()
			for _, id := range h.order {
				if j := h.jobs[id]; !j.state.Final() {
					reason, known := h.p.Explain(id)
					h.addViolation("job %s is left in state %s; known to the planner: %v; reason: %s", id, j.state, known, reason.Sentence)
				}
			}
			if len(h.violations) > 0 {
				t.Fatalf("%v\n%s", h.violations[0], strings.Join(h.log, "\n"))
			}
		})
	})

	// Guards against decisions that depend on the iteration order of a map, so that a run
	// cannot be replayed.
	It("makes the same decisions on every run", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := drawScript(t)
			if a, b := runScript(s), runScript(s); !slices.Equal(a.log, b.log) {
				t.Fatalf("two runs differ")
			}
		})
	})
})

var _ = Describe("a change of planner", func() {
	// Guards against a new planner that starts a job at the place of a claim which was
	// running before it took over.
	It("keeps running claims on their guarantee", func() {
		h := newHarness(twoTeams(), smallPool()...)
		h.submit(newJob("g", "a", model.ClassGuaranteed, shape(2, 8, model.AdjacentRack)))
		next := planner.New(model.Weights{})
		for _, w := range smallPool() {
			next.AddWorker(h.now, w)
		}
		next.SetTeams(h.now, twoTeams())
		g := h.jobs["g"]
		next.Restore(h.now, g.job, g.attempt, g.workers, h.now)
		next.Submit(h.now, newJob("u", "b", model.ClassUrgent, shape(1, 8, model.AdjacentHost)))
		d := next.Decide(h.now)
		Expect(d).To(HaveLen(1))
		Expect(g.workers).NotTo(ContainElement(d[0].Workers[0]))
		Expect(next.UnpackedTeams()).To(BeEmpty())
	})
})
