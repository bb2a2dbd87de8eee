package gang

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

func TestGang(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gang")
}

// partialRunBound is the time for which a part of a gang may run without the
// rest, outside of a planned restart.
const partialRunBound = 5 * time.Second

var _ = Describe("gang", func() {
	var c *cluster

	BeforeEach(func() { c = newCluster(3) })
	AfterEach(func() { Expect(c.violation).To(BeEmpty()) })

	startRunning := func() {
		GinkgoHelper()
		c.reserve()
		Expect(c.start()).To(Succeed())
		c.advance(10 * time.Second)
		Expect(c.running()).To(Equal(3))
		Expect(c.outcomes()).To(Equal([]string{"running"}))
	}
	expectFreed := func() {
		GinkgoHelper()
		for _, n := range c.nodes {
			if n.agent != nil {
				Expect(n.arbiter.Free().Accelerators).To(Equal(8), n.name)
			}
		}
	}

	It("runs all tasks to their end and reports the end and the peak memory once", func() {
		for _, n := range c.nodes {
			n.worker.peakGB = 7
		}
		startRunning()
		for i, n := range c.nodes {
			n.worker.endTask(taskID("job", 1, i), workerapi.TaskDone, "")
			c.advance(90 * time.Second) // the other tasks continue
		}
		Expect(c.outcomes()).To(Equal([]string{"running", "done"}))
		Expect(c.lastEvent().PeakMemoryGB).To(Equal(7.0))
		expectFreed()
	})

	DescribeTable("stops the rest within the bound when a part of the gang ends", func(fail func(), outcome, blamed string) {
		startRunning()
		fail()
		c.advance(partialRunBound)
		Expect(c.running()).To(BeZero())
		c.advance(partialRunBound)
		Expect(c.outcomes()).To(Equal([]string{"running", outcome}))
		Expect(c.lastEvent().BlamedWorker).To(Equal(blamed))
		expectFreed()
	},
		Entry("a member's agent crashes", func() { c.crash(c.nodes[1]) }, "lost", ""),
		Entry("a member is partitioned from the network", func() { c.nodes[2].partitioned = true }, "lost", ""),
		Entry("a member's worker interface does not answer", func() { c.nodes[2].worker.unresponsive = true }, "lost", ""),
		Entry("a task fails long after its start", func() { c.nodes[1].worker.endTask("job/1/1", workerapi.TaskFailed, "exit 1") }, "task_failed", "w1"),
		Entry("a task runs out of memory", func() { c.nodes[1].worker.endTask("job/1/1", workerapi.TaskOutOfMemory, "") }, "out_of_memory", ""),
		Entry("a task is stopped by the platform", func() { c.nodes[1].worker.endTask("job/1/1", workerapi.TaskStopped, "") }, "lost", ""),
		Entry("the planner stops the gang", func() {
			Expect(c.nodes[0].agent.StopGang(&wire.StopGang{Job: "job", Attempt: 1, GraceMS: 1000})).To(Succeed())
		}, "stopped", ""),
	)

	It("stops all members when the supervisor's agent crashes", func() {
		startRunning()
		c.crash(c.nodes[0])
		c.advance(partialRunBound)
		Expect(c.running()).To(BeZero())
		expectFreed()
	})

	It("checkpoints the tasks before it stops them and reports the work kept", func() {
		startRunning()
		Expect(c.nodes[0].agent.StopGang(&wire.StopGang{Job: "job", Attempt: 1, GraceMS: 1000})).To(Succeed())
		c.advance(time.Second)
		Expect(c.lastEvent().Outcome).To(Equal("stopped"))
		Expect(c.lastEvent().CheckpointedMS).To(BeNumerically("~", 10_000, 100))
	})

	DescribeTable("leaves no task running when the gang cannot start as a whole", func(fault func(), outcome, blamed string) {
		c.reserve()
		fault()
		Expect(c.start()).To(Succeed())
		c.advance(12 * time.Second)
		Expect(c.running()).To(BeZero())
		Expect(c.outcomes()).To(Equal([]string{outcome}))
		Expect(c.lastEvent().BlamedWorker).To(Equal(blamed))
		expectFreed()
	},
		Entry("a member's reservation was released", func() {
			Expect(c.nodes[2].arbiter.Release(&wire.Release{Order: wire.Order{Epoch: 1, Incarnation: "inc"}, Job: "job", Attempt: 1})).To(Succeed())
		}, "not_started", ""),
		Entry("a member cannot be reached", func() { c.nodes[1].partitioned = true }, "not_started", ""),
		Entry("a worker fails to start the task", func() { c.nodes[1].worker.failRun = true }, "start_failed", "w1"),
		Entry("a worker's answer to the start is lost", func() { c.nodes[1].worker.loseRunReply = true }, "start_failed", "w1"),
	)

	It("blames the worker whose task fails soon after its start", func() {
		c.reserve()
		Expect(c.start()).To(Succeed())
		c.nodes[2].worker.endTask("job/1/2", workerapi.TaskFailed, "bad driver")
		c.advance(6 * time.Second)
		Expect(c.lastEvent().Outcome).To(Equal("start_failed"))
		Expect(c.lastEvent().BlamedWorker).To(Equal("w2"))
		Expect(c.running()).To(BeZero())
	})

	It("refuses a gang whose reservation has expired", func() {
		c.reserve()
		c.advance(3 * time.Second)
		Expect(result.CodeOf(c.start())).To(Equal(result.ReservationExpired))
	})

	It("does not start tasks again when the start is repeated", func() {
		startRunning()
		started := c.nodes[1].worker.tasks["job/1/1"].StartedMS
		Expect(c.start()).To(Succeed())
		_, err := c.nodes[1].agent.Start(context.Background(), &wire.GangOrder{Job: "job", Attempt: 1, Term: 1 << 62})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.nodes[1].worker.tasks["job/1/1"].StartedMS).To(Equal(started))
	})

	It("refuses a supervisor with a lower term", func() {
		startRunning()
		_, err := c.nodes[1].agent.Abort(&wire.GangOrder{Job: "job", Attempt: 1, Term: 1})
		Expect(result.CodeOf(err)).To(Equal(result.Fenced))
		Expect(c.running()).To(Equal(3))
	})

	DescribeTable("keeps the gang running during a planned restart", func(restarted ...int) {
		startRunning()
		for _, i := range restarted {
			c.nodes[i].agent.PrepareHandover(context.Background())
			c.crash(c.nodes[i])
			c.advance(time.Second)
		}
		c.advance(7 * time.Second)
		Expect(c.running()).To(Equal(3))
		for _, i := range restarted {
			c.boot(c.nodes[i])
			c.advance(3 * time.Second)
		}
		c.advance(30 * time.Second)
		Expect(c.running()).To(Equal(3))
		Expect(c.lastEvent().Outcome).To(Equal("running"))
		for i, n := range c.nodes {
			Expect(n.arbiter.Free().Accelerators).To(BeZero(), n.name)
			n.worker.endTask(taskID("job", 1, i), workerapi.TaskDone, "")
		}
		c.advance(2 * time.Second)
		Expect(c.lastEvent().Outcome).To(Equal("done"))
	},
		Entry("of a member", 1),
		Entry("of the supervisor", 0),
		Entry("of two members", 1, 2),
		Entry("of the supervisor and then of a member", 0, 1),
		Entry("of a member and then of the supervisor", 2, 0),
	)

	It("ends the gang when no successor process starts after a planned restart", func() {
		startRunning()
		c.nodes[1].agent.PrepareHandover(context.Background())
		c.crash(c.nodes[1])
		c.advance(20 * time.Second)
		Expect(c.running()).To(BeZero())
		c.advance(time.Second)
		Expect(c.lastEvent().Outcome).To(Equal("lost"))
	})

	It("resumes supervision when the supervisor's agent restarts before the leases expire", func() {
		startRunning()
		c.crash(c.nodes[0])
		c.advance(time.Second)
		c.boot(c.nodes[0])
		c.advance(10 * time.Second)
		Expect(c.running()).To(Equal(3))
	})

	It("stops tasks without usable labels and keeps their resources reserved until then", func() {
		n := c.nodes[0]
		n.worker.tasks["x"] = &workerapi.Task{ID: "x", State: workerapi.TaskRunning}
		n.worker.tasks["x"].Resources.Accelerators = 3
		n.worker.leaseUntil["x"] = c.now.Add(time.Hour)
		c.boot(n)
		Expect(n.arbiter.Free().Accelerators).To(Equal(5))
		c.advance(2 * time.Second)
		Expect(c.running()).To(BeZero())
		Expect(n.arbiter.Free().Accelerators).To(Equal(8))
	})

	It("repeats events until they are acknowledged", func() {
		c.reserve()
		Expect(c.nodes[0].agent.StartGang(&wire.StartGang{Job: specOf("job"), Attempt: 1, Members: c.members()})).To(Succeed())
		events := c.nodes[0].agent.Events()
		Expect(events).To(HaveLen(1))
		Expect(c.nodes[0].agent.Events()).To(Equal(events))
		c.nodes[0].agent.Acknowledge(events[0].Seq)
		Expect(c.nodes[0].agent.Events()).To(BeEmpty())
	})
})
