package intake

import (
	"testing"

	. "github.com/onsi/gomega"

	"snipegw/internal/store"
	"snipegw/internal/workflow"
)

// Guards against a count of queued jobs that leaves out jobs of which only a start was decided, or
// that includes ended ones.
func TestQueuedCountsUntilAnItemHasBegun(t *testing.T) {
	b := newRequestBench(t, false)
	revision := uint64(1)
	put := func(key string, v any) {
		revision++
		b.recordMirror.Apply([]store.Event{{Record: store.Record{Key: key, Value: workflow.Encode(v), Revision: revision}}})
	}
	for _, id := range []string{"a1", "a2", "a3"} {
		put(workflow.JobPrefix+id, workflow.JobRecord{Queue: "q", Job: workflow.Job{Steps: []workflow.Step{{Count: 1}}}})
	}
	b.Expect(b.Queued("q")).To(Equal(3))
	for _, id := range []string{"a1", "a2", "a3"} {
		put(workflow.ProgressPrefix+id, workflow.Progress{State: workflow.StateActive})
	}
	b.Expect(b.Queued("q")).To(Equal(3))
	put(workflow.ProgressPrefix+"a1", workflow.Progress{State: workflow.StateActive, Begun: true})
	b.Expect(b.Queued("q")).To(Equal(2))
	put(workflow.ProgressPrefix+"a2", workflow.Progress{State: workflow.StateFailed})
	b.Expect(b.Queued("q")).To(Equal(1))
	put(workflow.CancelPrefix+"a3", 1)
	b.Expect(b.Queued("q")).To(BeZero())
}
