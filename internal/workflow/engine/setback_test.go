package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// One worker reports as usual and carries no start out, and the others are idle. Guards against an
// item or a gang that is started there again and again, since the choice among idle workers is always
// the same.
func TestUnitsAvoidAWorkerThatDoesNotStartThem(t *testing.T) {
	outcomes := map[string]workflow.OrderOutcome{"no answer": {}}
	for _, reason := range []string{
		workflow.ReasonBusy, workflow.ReasonExpired, workflow.ReasonFenced, workflow.ReasonNoCapacity, workflow.ReasonOldRun,
		workflow.ReasonInvalid, workflow.ReasonInstance, workflow.ReasonDraining,
	} {
		outcomes[reason] = workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: reason}
	}
	units := map[string]workflow.Step{"item": step(1, 1, 1000), "gang on one worker": gang(5, 1, 1000), "gang of a rack": rackGang(3, 1000)}
	for name, outcome := range outcomes {
		for unit, s := range units {
			t.Run(unit+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				w := newRackWorld()
				w.workers[0].startFault = &outcome
				id := w.addJob("small", "a", s)
				w.advance(4500 * time.Millisecond)
				g.Expect(w.workers[0].startsInVain).To(BeNumerically("<=", s.Count), "one attempt")
				n, _ := w.startedItems(id)
				g.Expect(n).To(Equal(s.Count))
				g.Expect(w.violations).To(BeEmpty())
			})
		}
	}
}

// A worker has refused one item. Guards against others that avoid it, too, and against an item that
// waits although only that worker has room.
func TestAWorkerThatRefusedAStartStaysOfUse(t *testing.T) {
	g := NewWithT(t)
	w := newRackWorld()
	w.workers[0].startFault = &workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonExpired}
	first := w.addJob("small", "a", step(1, 8, 20_000))
	w.advance(time.Second)
	w.workers[0].startFault = nil
	second := w.addJob("small", "a", step(1, 8, 20_000))
	w.advance(time.Second)
	g.Expect(w.runs(first, 0)[0].worker.node).NotTo(Equal("n0"))
	g.Expect(w.runs(second, 0)[0].worker.node).To(Equal("n0"))

	w = newRackWorld()
	for _, m := range w.workers[1:] {
		m.draining = true
	}
	w.workers[0].startFault = &workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonExpired}
	only := w.addJob("small", "a", step(1, 1, 1000))
	w.advance(time.Second)
	g.Expect(w.runs(only, 0)).To(BeEmpty())
	w.workers[0].startFault = nil
	w.advance(time.Second)
	g.Expect(w.runs(only, 0)).To(HaveLen(1))
}
