package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// Guards against a job within its team's guarantee that starts after the reclaim timeout, because the time of day of
// the entry that accepted it differs from the planner's.
func TestReclaimIsTimedWhateverTheEntrysTimeOfDay(t *testing.T) {
	for _, off := range []time.Duration{-2 * time.Second, 0, 2 * time.Second, time.Hour} {
		t.Run(fmt.Sprint(off), func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(1, 1, 0)
			w.noRandomFailures = true
			w.advance(2500 * time.Millisecond)
			// Ends by itself after the reclaim timeout, and before the job would be late.
			holder := w.addJob("large", "b", step(1, 8, 3400))
			w.runTimes = map[string]time.Duration{workflow.ItemRef{Job: holder}.String(): 3400 * time.Millisecond}
			w.advance(300 * time.Millisecond)
			id := w.addJob("urgent", "a", step(1, 8, 20_000))
			w.jobs[id].AcceptedMS += off.Milliseconds()
			w.advance(w.planner.settings.ReclaimTimeout)
			started, _ := w.startedItems(id)
			g.Expect(started).To(Equal(1))
		})
	}
}
