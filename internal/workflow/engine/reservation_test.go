package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// Guards against a gang that starves behind smaller jobs, because waiting jobs of another service hold all
// reservations.
func TestReservationsOfOneServiceDoNotUseUpThoseOfAnother(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(7, 4, 0)
	w.noRandomFailures = true
	for _, m := range w.workers[2:] {
		m.service = "t"
	}
	w.config.Queues = append(w.config.Queues,
		workflow.Queue{Name: "bulk", Service: "t", Priority: 2, MaxAttempts: 3, SlackFactor: 3, TargetMS: 3000},
		workflow.Queue{Name: "fill", Service: "t", Priority: 3, MaxAttempts: 3, SlackFactor: 3, TargetMS: 3000},
	)
	w.config.Provision()
	w.planner.SetConfig(w.config)
	w.advance(2500 * time.Millisecond)
	w.addLateJob("large", "b", step(2, 8, 600_000))
	w.advance(200 * time.Millisecond)
	w.addJob("large", "b", step(1, 8, 600_000))
	w.addJob("large", "b", step(1, 8, 600_000))
	fill := func() {
		id := w.addJob("fill", "b", step(1, 4, 2000))
		w.jobs[id].AcceptedMS -= 10_000 // late, as is the gang
		w.advance(400 * time.Millisecond)
	}
	for range 6 {
		fill()
	}
	id := w.addLateJob("bulk", "b", gang(2, 8, 60_000))
	for range 25 {
		fill()
	}
	n, _ := w.startedItems(id)
	g.Expect(n).To(Equal(2))
}
