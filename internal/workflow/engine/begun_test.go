package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// recorded runs a pass and returns the job's record if the pass stores one, nil if it does not.
func (b *restartBench) recorded() *workflow.Progress {
	b.engine.Decide(b.now)
	for _, c := range b.engine.TakeChanges() {
		return c.Progress
	}
	return nil
}

// Guards against a job that counts as begun although all its starts were refused, or although
// nothing is known of them: callers would see no queued jobs while all wait.
func TestRefusedStartDoesNotBeginAJob(t *testing.T) {
	b := newRestartBench(t)
	job := b.engine.jobs["j"]
	b.Expect(job.progressRecord().State).To(Equal(workflow.StateActive))
	b.Expect(job.progressRecord().Begun).To(BeFalse(), "a start has been decided")
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonBusy})
	b.Expect(b.recorded().Begun).To(BeFalse(), "the start was refused")
	b.order = b.decide()
	b.Expect(b.order).NotTo(BeNil())
	b.reply(workflow.OrderOutcome{})
	b.Expect(job.progressRecord().Begun).To(BeFalse(), "the start had no answer")
	b.engine.AddWorker(b.order.Node)
	b.report(b.order.Node, bornBefore, 500_100, 2)
	b.Expect(job.progressRecord().Begun).To(BeTrue(), "the worker has listed the run")
}

// Guards against a transaction for each start: that a job has begun is stored with the next change,
// or after begunRecordDelay.
func TestBeginIsStoredWithAnotherChange(t *testing.T) {
	b := newRestartBench(t)
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: 500_100})
	b.Expect(b.recorded()).To(BeNil())
	b.now = b.now.Add(begunRecordDelay)
	b.Expect(b.recorded().Begun).To(BeTrue())
	b.now = b.now.Add(begunRecordDelay)
	b.Expect(b.recorded()).To(BeNil(), "it is stored once")

	b = newRestartBench(t)
	b.reply(workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: 500_100})
	b.engine.AddJob("i", &workflow.JobRecord{Job: workflow.Job{Steps: []workflow.Step{{Count: 1, Accelerators: 1}}}, Queue: "q", Service: "s", AcceptedMS: b.now.UnixMilli()}, nil, 0)
	b.engine.Decide(b.now)
	changes := b.engine.TakeChanges()
	b.Expect(changes).To(HaveLen(2))
	b.Expect(changes[0].Progress.Begun).To(BeFalse())
	b.Expect(changes[1].ID).To(Equal("j"))
	b.Expect(changes[1].Progress.Begun).To(BeTrue())
}

// Guards against a new planner that takes the runs of an earlier one for begun without a worker's
// word, or forgets that a job has begun.
func TestBeginOutlivesATakeover(t *testing.T) {
	b := newRestartBench(t)
	record := func() *job { return b.engine.jobs["j"] }
	takeover := func() {
		j := record()
		p, rec := j.progressRecord(), j.rec
		b.engine = New(Settings{LeaseDuration: 5 * time.Second, MaxStoreOutage: time.Second}, 8, b.now)
		b.engine.AddJob("j", rec, p, 1)
		b.generation = make(map[string]uint64)
	}
	takeover()
	b.Expect(record().progressRecord().Begun).To(BeFalse())
	b.report("n0", bornBefore, 501_000, 1)
	b.Expect(record().progressRecord().Begun).To(BeTrue())
	takeover()
	b.Expect(record().progressRecord().Begun).To(BeTrue())
	b.report("n0", bornBefore, 502_000)
	b.Expect(record().progressRecord().Begun).To(BeTrue(), "the run was lost after it had begun")
}
