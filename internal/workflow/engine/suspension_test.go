package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// Neither the agent of a lost worker nor an earlier planner answers. Guards against items that wait for as long as
// that planner could extend the lease, although the store says that it does not, and against a suspension of
// unknown age that ends a lease too soon.
func TestSuspensionTellsWhenALeaseEnds(t *testing.T) {
	leaseEnd := withClockDrift(silenceLease) + expiryMargin
	for name, c := range map[string]struct {
		before   time.Duration // of the first sight of the suspension before the term, negative for an unknown time
		expected time.Duration
	}{
		"seen 4 s before":          {4 * time.Second, leaseEnd - 4*time.Second},
		"seen at the term's start": {0, leaseEnd},
		"seen long before":         {time.Hour, 0},
		"not trusted":              {-1, silenceOutage + leaseEnd},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSilenceBench(t)
			since := b.termStart.Add(-c.before)
			if c.before < 0 {
				since = time.Time{}
			}
			b.engine.InheritSuspension("n0", since, b.termStart)
			after, ok := b.runUntilRestart(time.Minute, func(time.Duration) {})
			b.Expect(ok).To(BeTrue())
			b.Expect(after).To(BeNumerically(">=", c.expected))
			b.Expect(after).To(BeNumerically("<", c.expected+300*time.Millisecond))
		})
	}
}

// Guards against a suspension that a successor trusts while an earlier planner goes on extending the lease.
func TestSuspensionNeedsTheEndOfEarlierPlanners(t *testing.T) {
	b := newSilenceBench(t)
	at := b.termStart.Add(time.Second)
	b.Expect(b.engine.SuspendLease("n0", at)).To(BeFalse())
	b.Expect(b.engine.SuspendLease("n0", b.termStart.Add(silenceOutage))).To(BeTrue())

	b = newSilenceBench(t)
	b.engine.EndEarlierPlanners(at)
	b.engine.AddWorker("n1")
	b.Expect(b.engine.SuspendLease("n1", at)).To(BeFalse(), "nothing runs there")
	b.Expect(b.engine.SuspendLease("n0", at)).To(BeTrue())
	b.Expect(b.engine.SuspendLease("n0", at)).To(BeFalse(), "it is suspended")
}

// Guards against a lease that is extended, by a poll or by a start, while the store says that none is.
func TestNothingExtendsASuspendedLease(t *testing.T) {
	b := newRestartBench(t)
	b.engine.EndEarlierPlanners(b.now)
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: 500_100})
	b.Expect(b.engine.SuspendLease("n0", b.now)).To(BeTrue())
	b.Expect(b.engine.NextSyncRequest("n0", 0).LeaseUntilMS).To(BeZero())
	b.Expect(b.engine.MayResume("n0")).To(BeFalse())
	b.now = b.now.Add(time.Second)
	b.report("n0", bornBefore, 501_000, 1)
	b.Expect(b.engine.MayResume("n0")).To(BeTrue())
	b.Expect(b.engine.NextSyncRequest("n0", 0).LeaseUntilMS).To(BeZero(), "the withdrawal is not stored")
	b.Expect(b.engine.usable(b.engine.workers["n0"], b.now)).To(BeFalse())
	b.engine.ResumeLease("n0")
	b.Expect(b.engine.NextSyncRequest("n0", 0).LeaseUntilMS).To(BeEquivalentTo(506_000))
	b.Expect(b.engine.usable(b.engine.workers["n0"], b.now)).To(BeTrue())
	b.Expect(b.engine.MayResume("n0")).To(BeFalse())

	// A start that was decided before the suspension and not handed out.
	b = newRestartBench(t)
	b.engine.EndEarlierPlanners(b.now)
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonBusy})
	b.now = b.now.Add(300 * time.Millisecond)
	starts, _ := b.engine.Decide(b.now)
	b.Expect(starts).To(HaveLen(1))
	b.Expect(b.engine.SuspendLease(starts[0].Workers[0], b.now)).To(BeTrue())
	b.Expect(b.engine.StartOrders(b.now)).To(BeEmpty())
}
