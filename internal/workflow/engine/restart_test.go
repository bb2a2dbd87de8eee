package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// restartBench is an engine with two workers of one accelerator and a job of one item that
// needs it. The item has been ordered to start on worker n0.
type restartBench struct {
	*GomegaWithT
	engine *Engine
	now    time.Time
	ref    workflow.ItemRef
	// generation is that of the latest request to each node, under which its next report is made.
	generation map[string]uint64
	order      *Order
}

const (
	bornBefore = 1_000 // start time of the incarnation for which the item was ordered
	bornAfter  = 2_000
)

func newRestartBench(t *testing.T) *restartBench {
	b := &restartBench{GomegaWithT: NewWithT(t), now: time.UnixMilli(1_800_000_000_000), ref: workflow.ItemRef{Job: "j"}, generation: make(map[string]uint64)}
	b.engine = New(Settings{LeaseDuration: 5 * time.Second, MaxStoreOutage: time.Second}, 7, b.now)
	config := &workflow.Config{Version: 1, Queues: []workflow.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}}
	config.Provision()
	b.engine.SetConfig(config)
	b.report("n0", bornBefore, 500_000)
	b.engine.AddJob("j", &workflow.JobRecord{
		Job:   workflow.Job{Steps: []workflow.Step{{Count: 1, Accelerators: 1, EstimateMS: 5000}}},
		Queue: "q", Service: "s", MaxAttempts: 3, AcceptedMS: b.now.UnixMilli(),
	}, nil, 0)
	b.order = b.decide()
	b.Expect(b.order.Node).To(Equal("n0"))
	b.report("n1", bornBefore, 500_000)
	return b
}

// report passes a report of the worker on node to the engine. The worker keeps its id over
// restarts; clockMS is the clock of the incarnation.
func (b *restartBench) report(node string, startedMS, clockMS int64, running ...int) {
	reply := &workflow.SyncReply{
		Generation: b.generation[node],
		Report:     &workflow.WorkerReport{Instance: "i-" + node, StartedMS: startedMS, ClockMS: clockMS},
		Announced: &workflow.Announcement{
			Instance: "i-" + node, StartedMS: startedMS, Service: "s", Capacity: workflow.Resources{Accelerators: 1}, Seq: clockMS,
		},
	}
	for _, run := range running {
		reply.Report.Running = append(reply.Report.Running, workflow.RunningItem{Ref: b.ref, Run: run})
	}
	b.engine.HandleReport(node, reply, b.now)
	b.generation[node] = b.engine.NextSyncRequest(node, 0).Generation
}

// decide runs a pass and returns the order with its starts, nil if there is none.
func (b *restartBench) decide() *Order {
	b.now = b.now.Add(300 * time.Millisecond)
	b.engine.ExpireLeases(b.now)
	b.engine.Decide(b.now)
	b.engine.TakeChanges()
	orders := b.engine.StartOrders(b.now)
	if len(orders) == 0 {
		return nil
	}
	b.Expect(orders).To(HaveLen(1))
	return orders[0]
}

// reply passes the outcome of the first order to the engine.
func (b *restartBench) reply(outcome workflow.OrderOutcome) {
	b.engine.HandleOrderReply(b.order, &workflow.OrderReply{Starts: []workflow.OrderOutcome{outcome}}, b.now)
}

// confirmStops confirms the stops that are due and returns their number.
func (b *restartBench) confirmStops(clockMS int64) int {
	n := 0
	for _, o := range b.engine.StopOrders(b.now) {
		reply := &workflow.OrderReply{}
		for range o.Request.Stops {
			n++
			reply.Stops = append(reply.Stops, workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: clockMS})
		}
		b.engine.HandleOrderReply(o, reply, b.now)
	}
	return n
}

// A worker crashes and starts again under its id before a start order arrives, so that the next
// incarnation carries the order out. Guards against a second run of the item: the planner must
// not count the run as lost with the incarnation that it had in mind.
func TestRunOnTheNextIncarnationIsNotStartedAgain(t *testing.T) {
	confirmed := workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: 1_200}
	t.Run("listed by its first report", func(t *testing.T) {
		b := newRestartBench(t)
		b.reply(confirmed)
		b.report("n0", bornAfter, 1_300, 1)
		b.Expect(b.decide()).To(BeNil())
		b.report("n0", bornAfter, 1_600, 1)
		b.Expect(b.decide()).To(BeNil())
		b.Expect(b.engine.workers["n0"].members).To(HaveLen(1))
		b.Expect(b.engine.workers["n0"].free().Accelerators).To(BeZero())
	})
	t.Run("its end listed by the first report", func(t *testing.T) {
		b := newRestartBench(t)
		b.reply(confirmed)
		b.engine.HandleReport("n0", &workflow.SyncReply{Report: &workflow.WorkerReport{
			Instance: "i-n0", StartedMS: bornAfter, ClockMS: 9_000, Ended: []workflow.EndedItem{{Seq: 1, Ref: b.ref, Run: 1, End: workflow.EndDone}},
		}}, b.now)
		b.Expect(b.decide()).To(BeNil())
		b.Expect(b.engine.jobs["j"].state).To(Equal(workflow.StateComplete))
	})
	for name, outcome := range map[string]workflow.OrderOutcome{"confirmed": confirmed, "unanswered": {}} {
		t.Run(name+", and the first report was made before it began", func(t *testing.T) {
			b := newRestartBench(t)
			b.reply(outcome)
			b.report("n0", bornAfter, 1_100)
			b.Expect(b.decide()).To(BeNil(), "the run may still begin there")
			b.report("n0", bornAfter, 1_150)
			order := b.decide()
			b.Expect(order).NotTo(BeNil(), "the worker refuses the former order from this report on")
			b.Expect(b.generation["n0"]).To(BeEquivalentTo(1))
		})
	}
	t.Run("refused", func(t *testing.T) {
		b := newRestartBench(t)
		b.report("n0", bornAfter, 1_100)
		b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance})
		b.Expect(b.decide()).NotTo(BeNil(), "the order has no effect")
	})
	t.Run("started and listed before the restart", func(t *testing.T) {
		b := newRestartBench(t)
		b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: 500_400})
		b.report("n0", bornBefore, 500_500, 1)
		b.report("n0", bornAfter, 1_100)
		b.Expect(b.decide()).To(BeNil(), "an attempt without a response may still be carried out")
		b.report("n0", bornAfter, 1_150)
		b.Expect(b.decide()).NotTo(BeNil(), "the run ended with its incarnation")
	})
	t.Run("listed and then no longer", func(t *testing.T) {
		b := newRestartBench(t)
		b.reply(confirmed)
		b.report("n0", bornAfter, 1_300, 1)
		b.report("n0", bornAfter, 1_600, 1)
		b.report("n0", bornAfter, 1_900)
		b.Expect(b.decide()).NotTo(BeNil())
	})
	t.Run("another id", func(t *testing.T) {
		b := newRestartBench(t)
		b.engine.HandleReport("n0", &workflow.SyncReply{Report: &workflow.WorkerReport{Instance: "other", StartedMS: bornAfter, ClockMS: 900}}, b.now)
		b.Expect(b.decide()).NotTo(BeNil(), "a worker with another id refuses the order")
	})
}

// A gang is done, and the worker of one member has restarted under its id. Guards against capacity that
// stays taken by that member.
func TestMemberOfADoneGangEndsAfterARestart(t *testing.T) {
	b := newRestartBench(t)
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonNoCapacity})
	b.engine.CancelJob("j", b.now)
	b.ref = workflow.ItemRef{Job: "g"}
	b.engine.AddJob("g", &workflow.JobRecord{
		Job:   workflow.Job{Steps: []workflow.Step{{Count: 2, Gang: true, Accelerators: 1, EstimateMS: 500}}},
		Queue: "q", Service: "s", MaxAttempts: 3, AcceptedMS: b.now.UnixMilli(),
	}, nil, 0)
	b.engine.Decide(b.now)
	b.engine.TakeChanges()
	orders := b.engine.StartOrders(b.now)
	b.Expect(orders).To(HaveLen(2))
	for _, o := range orders {
		b.engine.HandleOrderReply(o, &workflow.OrderReply{Starts: []workflow.OrderOutcome{{Verdict: workflow.VerdictDone, ClockMS: 500_010}}}, b.now)
	}
	b.report("n0", bornAfter, 300)
	b.engine.HandleReport("n1", &workflow.SyncReply{Report: &workflow.WorkerReport{
		Instance: "i-n1", StartedMS: bornBefore, ClockMS: 502_000,
		Ended: []workflow.EndedItem{{Seq: 1, Ref: workflow.ItemRef{Job: "g", Index: 1}, Run: 1, End: workflow.EndDone}},
	}}, b.now)
	b.report("n0", bornAfter, 600)
	b.Expect(b.engine.workers["n0"].members).To(BeEmpty())
	b.Expect(b.engine.jobs["g"].state).To(Equal(workflow.StateComplete))
}

// An agent repeats its last report while the worker does not answer it. Guards against a worker
// that is taken for alive for as long as its agent is: nothing may start on it, its runs are over
// when the lease has expired, and a run that the repeated report does not list may have begun.
func TestRepeatedReportSaysNothingNew(t *testing.T) {
	t.Run("the run begins on the next incarnation", func(t *testing.T) {
		b := newRestartBench(t)
		b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: 1_200})
		b.report("n0", bornBefore, 500_000)
		b.Expect(b.decide()).To(BeNil())
	})
	t.Run("the worker is gone", func(t *testing.T) {
		b := newRestartBench(t)
		b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: 500_100})
		b.report("n0", bornBefore, 500_200, 1)
		b.engine.NextSyncRequest("n0", 0)
		leaseEnd := b.now.Add(withClockDrift(5*time.Second) + expiryMargin)
		for b.now.Before(leaseEnd) {
			b.report("n0", bornBefore, 500_200, 1)
			b.engine.NextSyncRequest("n0", 0)
			b.Expect(b.decide()).To(BeNil())
		}
		b.report("n1", bornBefore, 510_000)
		order := b.decide()
		b.Expect(order).NotTo(BeNil(), "the lease has expired")
		b.Expect(order.Node).To(Equal("n1"))
	})
}

// An agent refuses a start because its worker does not answer or has restarted. Guards against
// repeated starts in vain on that worker while another one is free.
func TestNothingStartsOnAnUnconfirmedWorker(t *testing.T) {
	b := newRestartBench(t)
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance})
	order := b.decide()
	b.Expect(order).NotTo(BeNil())
	b.Expect(order.Node).To(Equal("n1"))
	b.order = order
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance})
	b.report("n0", bornBefore, 500_000)
	b.Expect(b.decide()).To(BeNil())
	b.report("n0", bornAfter, 1_000)
	order = b.decide()
	b.Expect(order).NotTo(BeNil())
	b.Expect(order.Node).To(Equal("n0"))
}

// A start has no response and its job is cancelled; the reports that follow the stop are older than
// its repetitions. Guards against an item that is held open, because each repeated stop moves the time
// of the confirmation.
func TestRepeatedStopsDoNotDelayTheEnd(t *testing.T) {
	b := newRestartBench(t)
	b.reply(workflow.OrderOutcome{})
	b.engine.CancelJob("j", b.now)
	clock := int64(500_200)
	for range 3 {
		b.Expect(b.confirmStops(clock)).To(Equal(1))
		b.now = b.now.Add(stopRetryInterval)
		clock += stopRetryInterval.Milliseconds()
	}
	b.report("n0", bornBefore, clock-500)
	b.Expect(b.engine.jobs["j"].state).To(Equal(workflow.StateCanceled))
}
