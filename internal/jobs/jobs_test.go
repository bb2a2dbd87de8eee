package jobs

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

// withRegion runs f on a virtual clock with a new region. Events are delivered
// every interval.
func withRegion(workers int, latency, interval time.Duration, f func(ctx context.Context, r *region)) {
	withVirtualClock(func() {
		ctx, cancel := context.WithCancel(context.Background())
		r := newRegion(workers, latency)
		defer r.stopAll()
		defer cancel()
		go r.deliverEvents(ctx, interval)
		f(ctx, r)
	})
}

// waitUntil waits up to limit for cond to become true and reports whether it did.
func waitUntil(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if cond() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return cond()
}

// isPlanner returns a condition for waitUntil: h is the planner and its term is
// settled.
func isPlanner(h *Host) func() bool {
	return func() bool {
		t := h.term.Load()
		settled := false
		if t != nil {
			_ = t.postAndWait(context.Background(), func() { settled = t.settled })
		}
		return settled
	}
}

// stateOf returns the state of a job, or the text of the error as a state.
func stateOf(h *Host, id string) model.JobState {
	st, err := h.Status(context.Background(), id)
	if err != nil {
		return model.JobState(err.Error())
	}
	return st.State
}

var _ = Describe("a planner", func() {
	It("records, starts and ends a gang", func() {
		withRegion(2, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := r.addHost("e1")
			Expect(waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
			st, err := h.Submit(ctx, testJob("j1", 2, 8))
			Expect(err).NotTo(HaveOccurred())
			Expect(st.State.Final()).To(BeFalse())
			Expect(waitUntil(time.Second, func() bool { return stateOf(h, "j1") == model.JobRunning })).To(BeTrue())
			r.endGang("j1", framework.OutcomeDone)
			Expect(waitUntil(time.Second, func() bool { return stateOf(h, "j1") == model.JobDone })).To(BeTrue())
		})
	})
})
