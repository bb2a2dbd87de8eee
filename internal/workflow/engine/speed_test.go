package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// One member of a gang has done its part and the other is slower. Guards against taking
// the wait of the first for a hang, which stops the whole gang, and against overlooking
// the second if it stands still.
func TestGangMemberThatWaitsForOthersIsNotHung(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(16, 2, 0)
	w.advance(2500 * time.Millisecond)
	w.addJob("large", "a", gang(2, 8, 6000))
	w.advance(1200 * time.Millisecond)
	first, second := w.planner.workers["n0"].members[0], w.planner.workers["n1"].members[0]
	first.percent, first.percentChangedAt = 100, w.now.Add(-time.Minute)
	second.percent, second.percentChangedAt = 40, w.now
	_, stops := w.planner.Decide(w.now)
	g.Expect(stops).To(BeEmpty())
	second.percentChangedAt = first.percentChangedAt
	_, stops = w.planner.Decide(w.now)
	g.Expect(stops).To(HaveLen(1))
	g.Expect(stops[0].Unit.Index).To(Equal(second.index))
	g.Expect(first.worker.health.excluded(w.now)).To(BeFalse())
}
