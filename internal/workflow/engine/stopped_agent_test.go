package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A worker's agent has stopped, and no earlier planner answers. Guards against items that wait for as long as that
// planner could extend the lease, and against a statement that counts although a new process of
// the agent may serve that planner by now.
func TestStatementOfAStoppedAgentTellsWhenALeaseEnds(t *testing.T) {
	leaseEnd := withClockDrift(silenceLease) + expiryMargin
	const before = 2 * time.Second // of the sight of the statement before the term
	run := func(t *testing.T, each func(b *silenceBench, since time.Duration)) (*silenceBench, time.Duration, bool) {
		b := newSilenceBench(t)
		b.engine.SetAgentStopped("n0", 50, b.termStart.Add(-before))
		after, ok := b.runUntilRestart(leaseEnd+time.Second, func(since time.Duration) { each(b, since) })
		return b, after, ok
	}
	confirm := func(b *silenceBench, revision uint64) {
		for node := range b.engine.StoppedAgentsDue(b.now) {
			b.engine.ConfirmAgentStopped(node, revision, b.now)
		}
	}
	t.Run("confirmed", func(t *testing.T) {
		b, after, ok := run(t, func(b *silenceBench, _ time.Duration) { confirm(b, 50) })
		b.Expect(ok).To(BeTrue())
		b.Expect(after).To(And(BeNumerically(">=", leaseEnd-before), BeNumerically("<", leaseEnd-before+agentReplyInterval+300*time.Millisecond)))
		b.Expect(b.engine.StoppedAgentsDue(b.now)).To(BeEmpty())
	})
	t.Run("confirmed too soon", func(t *testing.T) {
		b, _, ok := run(t, func(b *silenceBench, since time.Duration) {
			if since < leaseEnd-before-agentReplyInterval {
				b.Expect(b.engine.StoppedAgentsDue(b.now)).To(BeEmpty())
				b.engine.ConfirmAgentStopped("n0", 50, b.now)
			}
		})
		b.Expect(ok).To(BeFalse(), "a new process may have come since")
	})
	t.Run("not confirmed", func(t *testing.T) {
		b, _, ok := run(t, func(*silenceBench, time.Duration) {})
		b.Expect(ok).To(BeFalse())
	})
	t.Run("another record confirmed", func(t *testing.T) {
		b, _, ok := run(t, func(b *silenceBench, _ time.Duration) { confirm(b, 51) })
		b.Expect(ok).To(BeFalse())
	})
	t.Run("a new process has registered", func(t *testing.T) {
		b, _, ok := run(t, func(b *silenceBench, since time.Duration) {
			if since == agentReplyInterval {
				b.engine.SetAgentStopped("n0", 51, time.Time{})
			}
			confirm(b, 51)
		})
		b.Expect(ok).To(BeFalse())
	})
}
