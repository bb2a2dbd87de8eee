package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// Guards against a change of a job whose end is stored that a later cancellation makes the store refuse, again in
// each term, or that turns a complete job into a cancelled one: an item of its gang may end after it.
func TestChangesAfterAStoredEndDoNotDependOnCancellations(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	rec := &workflow.JobRecord{
		Job:   workflow.Job{Steps: []workflow.Step{{Count: 2, Gang: true, Accelerators: 1, EstimateMS: 5000}}},
		Queue: "q", Service: "s", MaxAttempts: 3, AcceptedMS: now.UnixMilli(),
	}
	first := newTermAt(now)
	first.AddJob("j", rec, nil, 0)
	reportTo(first, "n0", now, false)
	reportTo(first, "n1", now, false)
	first.Decide(now)
	decided := takeOnly(g, first)
	g.Expect(decided.DependsOnCancel).To(BeTrue(), "the job is open")
	first.MarkStored(decided, 1, now)
	for _, o := range first.StartOrders(now) {
		first.HandleOrderReply(o, &workflow.OrderReply{Starts: []workflow.OrderOutcome{{Verdict: workflow.VerdictDone, ClockMS: 1}}}, now)
	}
	reportTo(first, "n0", now, true)
	ended := takeOnly(g, first)
	g.Expect(ended.Progress.State).To(Equal(workflow.StateComplete))
	g.Expect(ended.DependsOnCancel).To(BeTrue(), "the end is not stored")
	first.MarkStored(ended, 2, now)

	second := newTermAt(now)
	second.AddJob("j", rec, ended.Progress, 2)
	reportTo(second, "n0", now, false)
	for _, e := range []*Engine{first, second} {
		e.CancelJob("j", now)
		reportTo(e, "n1", now, true)
		c := takeOnly(g, e)
		g.Expect(c.DependsOnCancel).To(BeFalse())
		g.Expect(c.Progress.State).To(Equal(workflow.StateComplete))
	}
}

func newTermAt(now time.Time) *Engine {
	e := New(Settings{LeaseDuration: 5 * time.Second, MaxStoreOutage: time.Second}, 7, now)
	config := &workflow.Config{Version: 1, Queues: []workflow.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}}
	config.Provision()
	e.SetConfig(config)
	return e
}

// reportTo passes a report of the worker on node to e, without runs or with the end of the run that e has there.
func reportTo(e *Engine, node string, now time.Time, ended bool) {
	report := &workflow.WorkerReport{Instance: "i-" + node, StartedMS: 1, ClockMS: 1}
	m := e.workers[node]
	if m != nil {
		report.ClockMS += m.clockMS
	}
	if ended {
		report.Ended = []workflow.EndedItem{{Seq: 1, Ref: m.members[0].unit.itemRef(m.members[0].index), Run: 1, End: workflow.EndDone}}
	}
	e.HandleReport(node, &workflow.SyncReply{Report: report, Announced: &workflow.Announcement{
		Instance: "i-" + node, StartedMS: 1, Service: "s", Capacity: workflow.Resources{Accelerators: 1}, Seq: 1,
	}}, now)
}

// takeOnly returns the change of the only job with one.
func takeOnly(g *WithT, e *Engine) Change {
	changes := e.TakeChanges()
	g.ExpectWithOffset(1, changes).To(HaveLen(1))
	return changes[0]
}
