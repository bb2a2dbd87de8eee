package proof

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/standin/worker"
	"snipegw/internal/workerapi"
)

func TestProof(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proof")
}

func newTaskRun(rank int, worker string, startMS, endMS int64, state string) *taskRun {
	return &taskRun{job: "j", attempt: 1, rank: rank, worker: worker, startMS: startMS, endMS: endMS, state: state}
}

// Guards against an analysis that passes a gang that ran in part for too long, or fails a gang
// that did not. Each entry is a history of task runs with its expected result.
var _ = DescribeTable("time in which a part of a gang runs without the rest",
	func(partialMS int, duplicate bool, runs ...*taskRun) {
		a := analyzeAttempt("j", 1, runs, 2, 10_000)
		Expect(a.PartialMS).To(Equal(int64(partialMS)))
		Expect(a.DuplicateRank).To(Equal(duplicate))
	},
	Entry("a gang that ends as done", 10, false, newTaskRun(0, "a", 100, 1100, "done"), newTaskRun(1, "b", 110, 1110, "done")),
	Entry("a task that ends later than the other as done", 0, false, newTaskRun(0, "a", 100, 1100, "done"), newTaskRun(1, "b", 100, 5000, "done")),
	Entry("a task that runs on after the other was lost", 3000, false, newTaskRun(0, "a", 100, 1000, "lapsed"), newTaskRun(1, "b", 100, 4000, "stopped")),
	Entry("a start that is never completed", 3000, false, newTaskRun(0, "a", 100, 3100, "stopped")),
	Entry("a task that still runs alone", 9000, false, newTaskRun(0, "a", 100, 1000, "lapsed"), newTaskRun(1, "b", 100, 0, "running")),
	Entry("a task that runs on after the other failed", 500, false, newTaskRun(0, "a", 0, 500, "failed"), newTaskRun(1, "b", 0, 1000, "stopped")),
	Entry("one rank on two workers at the same time, which are not the whole gang", 500, true, newTaskRun(0, "a", 0, 500, "lapsed"), newTaskRun(0, "b", 400, 500, "stopped")),
	Entry("one rank on two workers one after the other", 0, false,
		newTaskRun(0, "a", 0, 500, "stopped"), newTaskRun(1, "b", 0, 500, "stopped"), newTaskRun(0, "c", 500, 900, "stopped"), newTaskRun(1, "b", 500, 900, "stopped")),
)

var _ = Describe("observer", func() {
	// Guards against a start and an end of a task that are not joined into one run, and against
	// log lines that are read twice or skipped, since lastSeq is wrong.
	It("joins the events of the workers into runs", func() {
		o := &Observer{lastSeq: make(map[string]uint64), runs: make(map[string]*taskRun)}
		o.add("w1", []worker.Event{
			{Seq: 1, AtMS: 100, Event: "start", Task: "j/2/0"},
			{Seq: 2, AtMS: 400, Event: "end", Task: "j/2/0", State: workerapi.TaskLeaseExpired},
		})
		o.add("w2", []worker.Event{{Seq: 1, AtMS: 100, Event: "start", Task: "j/2/1"}})
		Expect(o.lastSeq).To(Equal(map[string]uint64{"w1": 2, "w2": 1}))
		last, running := o.Running("j")
		Expect([]int64{last, int64(running)}).To(Equal([]int64{100, 1}))
		Expect(o.Attempts("j", 2)).To(ConsistOf(And(HaveField("Number", uint64(2)), HaveField("Started", 2))))
	})
})

var _ = Describe("patch history", func() {
	final := model.Config{Patches: []model.PatchRecord{{ID: "a", Version: 2}, {ID: "b", Version: 3}}}

	// Guards against a check of P8 that passes a history which lacks an accepted patch, or two
	// patches that were accepted with the same version.
	It("finds a lost and a doubled patch", func() {
		l := &patchLoad{accepted: []acceptedPatch{{id: "a", version: 2}, {id: "c", version: 3}, {id: "b", version: 3}}}
		lost, doubled := l.compareHistory(final)
		Expect([]int{lost, doubled}).To(Equal([]int{1, 1}))
	})

	// Guards against a check of P8 that passes a patch which was refused but is in the history.
	It("finds a refused patch that took effect", func() {
		l := &patchLoad{accepted: []acceptedPatch{{id: "a", version: 2}}, refused: []string{"b"}}
		lost, doubled := l.compareHistory(final)
		Expect([]int{lost, doubled}).To(Equal([]int{0, 1}))
	})
})
