package engine

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// silenceBench is a successor's engine. Its predecessor has started the item of a job on worker
// n0, which does not report; worker n1 is free.
type silenceBench struct {
	*GomegaWithT
	engine    *Engine
	termStart time.Time
	now       time.Time
}

const (
	silenceLease  = 5 * time.Second
	silenceOutage = 20 * time.Second
	// agentReplyInterval is the time between two replies of an agent without news.
	agentReplyInterval = time.Second
)

func newSilenceBench(t *testing.T) *silenceBench {
	b := &silenceBench{GomegaWithT: NewWithT(t), termStart: time.UnixMilli(1_800_000_000_000)}
	b.now = b.termStart
	b.engine = New(Settings{LeaseDuration: silenceLease, MaxStoreOutage: silenceOutage}, 7, b.now)
	config := &workflow.Config{Version: 1, Queues: []workflow.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}}
	config.Provision()
	b.engine.SetConfig(config)
	b.engine.AddJob("j", &workflow.JobRecord{
		Job:   workflow.Job{Steps: []workflow.Step{{Count: 1, Accelerators: 1, EstimateMS: 5000}}},
		Queue: "q", Service: "s", MaxAttempts: 3, AcceptedMS: b.now.UnixMilli(),
	}, &workflow.Progress{
		State: workflow.StateActive, Seq: 1,
		Units: []workflow.UnitProgress{{Run: 1, Members: []workflow.MemberProgress{{Worker: workflow.WorkerKey("n0", "i-n0", 1000)}}}},
	}, 1)
	return b
}

// runUntilRestart lets time pass, with reports of n1 and what agent does for n0 each
// agentReplyInterval, until the item starts again. It returns the time since the term's start, and
// false if the item has not started within limit.
func (b *silenceBench) runUntilRestart(limit time.Duration, agent func(sinceStart time.Duration)) (time.Duration, bool) {
	for since := time.Duration(0); since <= limit; since += 100 * time.Millisecond {
		b.now = b.termStart.Add(since)
		if since%agentReplyInterval == 0 {
			agent(since)
		}
		b.engine.HandleReport("n1", &workflow.SyncReply{
			Report:    &workflow.WorkerReport{Instance: "i-n1", StartedMS: 1000, ClockMS: 1 + b.now.UnixMilli()},
			Announced: &workflow.Announcement{Instance: "i-n1", StartedMS: 1000, Service: "s", Capacity: workflow.Resources{Accelerators: 1}, Seq: 1},
		}, b.now)
		b.engine.ExpireLeases(b.now)
		if starts, _ := b.engine.Decide(b.now); len(starts) > 0 {
			b.Expect(starts[0].Workers).To(Equal([]string{"n1"}))
			return since, true
		}
	}
	return 0, false
}

// replyWithoutReport passes a reply of n0's agent to the engine, to which the worker has not
// responded for the given time.
func (b *silenceBench) replyWithoutReport(silent time.Duration) {
	b.engine.HandleReport("n0", &workflow.SyncReply{SilentMS: silent.Milliseconds()}, b.now)
}

// Workers are lost and the planner is replaced before their leases have expired. Guards against
// items that wait for the longest outage of the store, although the agents of these workers
// answer and let no earlier planner extend the leases any more.
func TestRunsOfALostWorkerEndWithItsLeaseAfterATakeover(t *testing.T) {
	leaseEnd := withClockDrift(silenceLease) + expiryMargin
	outageEnd := silenceOutage + leaseEnd
	within := func(b *silenceBench, got time.Duration, earliest time.Duration) {
		b.Expect(got).To(And(BeNumerically(">", earliest), BeNumerically("<=", earliest+agentReplyInterval+200*time.Millisecond)))
	}
	t.Run("the worker is gone before the takeover", func(t *testing.T) {
		b := newSilenceBench(t)
		const gone = 1500 * time.Millisecond
		at, ok := b.runUntilRestart(outageEnd, func(since time.Duration) { b.replyWithoutReport(since + gone) })
		b.Expect(ok).To(BeTrue())
		within(b, at, leaseEnd-gone)
	})
	t.Run("the agent has started again", func(t *testing.T) {
		b := newSilenceBench(t)
		const restart = 3 * time.Second
		at, ok := b.runUntilRestart(outageEnd, func(since time.Duration) {
			if since >= restart {
				b.replyWithoutReport(since - restart)
			}
		})
		b.Expect(ok).To(BeTrue())
		within(b, at, restart+leaseEnd)
	})
	t.Run("the agent restarts after its first replies", func(t *testing.T) {
		// A planner that was replaced may reach the new process of the agent first.
		b := newSilenceBench(t)
		const restart = 4 * time.Second
		at, ok := b.runUntilRestart(outageEnd, func(since time.Duration) {
			if since < restart {
				b.replyWithoutReport(since)
			} else {
				b.replyWithoutReport(since - restart)
			}
		})
		b.Expect(ok).To(BeTrue())
		within(b, at, restart+leaseEnd)
	})
	t.Run("the agent does not answer", func(t *testing.T) {
		b := newSilenceBench(t)
		_, ok := b.runUntilRestart(outageEnd, func(time.Duration) {})
		b.Expect(ok).To(BeFalse(), "an earlier planner may extend the lease")
	})
	t.Run("the agent does not answer, and all earlier planners have ended", func(t *testing.T) {
		b := newSilenceBench(t)
		const ended = 4 * time.Second
		at, ok := b.runUntilRestart(outageEnd, func(since time.Duration) {
			if since == ended {
				b.engine.EndEarlierPlanners(b.now)
			}
		})
		b.Expect(ok).To(BeTrue())
		within(b, at, ended+leaseEnd)
	})
	t.Run("the agent stops answering", func(t *testing.T) {
		b := newSilenceBench(t)
		_, ok := b.runUntilRestart(outageEnd, func(since time.Duration) {
			if since < leaseEnd-agentReplyInterval {
				b.replyWithoutReport(since)
			}
		})
		b.Expect(ok).To(BeFalse(), "the agent may have restarted and have served an earlier planner")
	})
	t.Run("the agent does not tell the time", func(t *testing.T) {
		b := newSilenceBench(t)
		_, ok := b.runUntilRestart(outageEnd, func(time.Duration) { b.replyWithoutReport(0) })
		b.Expect(ok).To(BeFalse(), "the worker may hold a lease")
	})
}

// A worker's first report of the term is also its last one, because the planner stops or is cut off
// before its next call. Guards against runs that end while the lease of an earlier planner lasts.
func TestLeaseOfAnEarlierPlannerOutlastsTheFirstReport(t *testing.T) {
	b := newSilenceBench(t)
	leaseEnd := withClockDrift(silenceLease) + expiryMargin
	at, ok := b.runUntilRestart(2*leaseEnd, func(since time.Duration) {
		if since > 0 {
			return
		}
		b.engine.HandleReport("n0", &workflow.SyncReply{Report: &workflow.WorkerReport{
			Instance: "i-n0", StartedMS: 1000, ClockMS: 500_000, Running: []workflow.RunningItem{{Ref: workflow.ItemRef{Job: "j"}, Run: 1}},
		}}, b.now)
	})
	b.Expect(ok).To(BeTrue())
	b.Expect(at).To(BeNumerically(">", leaseEnd))
}

// A successor takes its predecessor for ended while that one still reaches a worker that the successor
// does not reach. Guards against a model in which such a recall goes unseen.
func TestModelDetectsPrematureRecall(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(19, 2, 0)
	w.noRandomFailures = true
	w.advance(2500 * time.Millisecond)
	id := w.addJob("small", "b", step(1, 8, 60_000))
	w.advance(time.Second)
	g.Expect(w.runs(id, 0)).To(HaveLen(1))
	m := w.runs(id, 0)[0].worker
	m.cutOffUntil = w.now.Add(9 * time.Second)
	earlier := w.planner
	w.takeover()
	w.partitions.former, w.partitions.formerUntil = earlier, w.now.Add(worldStoreOutage)
	w.planner.EndEarlierPlanners(w.now)
	w.advance(9 * time.Second)
	g.Expect(w.violations).To(ContainElement(ContainSubstring("TWICE")), strings.Join(w.violations, "\n"))
}

// The agent of an idle worker has gone, and the latest report is not old yet. Guards against items that are started
// there: nobody takes the order, and a successor would have to wait for the lease of runs that never were.
func TestNothingStartsWhereTheAgentDoesNotAnswer(t *testing.T) {
	b := newRestartBench(t)
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonBusy})
	b.engine.NoteUnanswered("n0")
	b.engine.NoteUnanswered("n1")
	b.Expect(b.decide()).To(BeNil())
	b.engine.HandleReport("n1", &workflow.SyncReply{}, b.now)
	order := b.decide()
	b.Expect(order).NotTo(BeNil())
	b.Expect(order.Node).To(Equal("n1"))
}
