package httpworker

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/standin/worker"
	"snipegw/internal/workerapi"
)

func TestHTTPWorker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpworker")
}

// harness is a client connected to a simulated worker.
type harness struct {
	ctx    context.Context
	server *worker.Server
	api    workerapi.WorkerAPI
}

const lease = 5 * time.Second

func newHarness() *harness {
	server, err := worker.Start(worker.Settings{
		Address:    "127.0.0.1:0",
		UsageLagMS: 100,
		Worker:     model.Worker{ID: "w1", Rack: "r1", Capacity: model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	api, err := workerapi.Open(workerapi.Settings{Type: "httpworker", Address: server.URL(), TimeoutMS: 300})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	DeferCleanup(cancel)
	return &harness{ctx: ctx, server: server, api: api}
}

// newTask returns a task that takes half of the accelerators of the worker.
func newTask(id string, command ...string) workerapi.Task {
	return workerapi.Task{ID: id, Command: command, Resources: model.Resources{Accelerators: 4, Cores: 4, MemoryGB: 16}}
}

func (h *harness) run(t workerapi.Task, lease time.Duration) workerapi.Task {
	GinkgoHelper()
	state, err := h.api.Run(h.ctx, t, lease)
	Expect(err).NotTo(HaveOccurred())
	return state
}

// listedTask returns the task from the task list, the zero value if it is not
// listed.
func (h *harness) listedTask(id string) workerapi.Task {
	GinkgoHelper()
	tasks, err := h.api.Tasks(h.ctx)
	Expect(err).NotTo(HaveOccurred())
	for _, t := range tasks {
		if t.ID == id {
			return t
		}
	}
	return workerapi.Task{}
}

// waitForState waits until the task is in the given state and returns it.
func (h *harness) waitForState(id string, want workerapi.TaskState) workerapi.Task {
	GinkgoHelper()
	Eventually(func() workerapi.TaskState { return h.listedTask(id).State }, "3s", "10ms").Should(Equal(want))
	return h.listedTask(id)
}

// Guards against a client that breaks the contract of workerapi.WorkerAPI, on which
// agents rely: for example, a task that is started twice, or a lost response that is
// reported as a call without effect.
var _ = DescribeTable("worker interface contract",
	func(run func(h *harness)) { run(newHarness()) },

	Entry("describes the worker", func(h *harness) {
		w, err := h.api.Worker(h.ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Capacity.Accelerators).To(Equal(8))
	}),
	Entry("runs a task to completion and reports its labels", func(h *harness) {
		t := newTask("job 1/2/0", "sleep", "150")
		t.Labels = map[string]string{"rank": "0"}
		Expect(h.run(t, lease).State).To(Equal(workerapi.TaskRunning))
		end := h.waitForState(t.ID, workerapi.TaskDone)
		Expect(end.EndedMS - end.StartedMS).To(BeNumerically("~", 150, 5))
		Expect(end.Labels).To(HaveKeyWithValue("rank", "0"))
	}),
	Entry("running the same id again does not start it twice", func(h *harness) {
		t := newTask("j/1/0", "sleep", "5000")
		h.run(t, lease)
		h.run(t, lease)
		Expect(h.server.Log(0)).To(HaveLen(1))
	}),
	Entry("running the id of an ended task does not start it again", func(h *harness) {
		t := newTask("j/1/0", "sleep", "1")
		h.run(t, lease)
		h.waitForState(t.ID, workerapi.TaskDone)
		Expect(h.run(t, lease).State).To(Equal(workerapi.TaskDone))
	}),
	Entry("a task ends as lapsed as soon as its lease expires, and cannot be renewed", func(h *harness) {
		h.run(newTask("j/1/0", "sleep", "5000"), 200*time.Millisecond)
		end := h.waitForState("j/1/0", workerapi.TaskLeaseExpired)
		Expect(end.EndedMS - end.StartedMS).To(BeNumerically("~", 200, 2))
		renewed, err := h.api.Renew(h.ctx, "j/1/0", lease)
		Expect(err).NotTo(HaveOccurred())
		Expect(renewed.State).To(Equal(workerapi.TaskLeaseExpired))
	}),
	Entry("a renewal extends the lease", func(h *harness) {
		h.run(newTask("j/1/0", "sleep", "5000"), 300*time.Millisecond)
		t, err := h.api.Renew(h.ctx, "j/1/0", lease)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.LeaseMS).To(BeNumerically("~", lease.Milliseconds(), 50))
		Consistently(func() workerapi.TaskState { return h.listedTask("j/1/0").State }, "500ms").Should(Equal(workerapi.TaskRunning))
	}),
	Entry("a failing command ends as failed with a reason", func(h *harness) {
		h.run(newTask("j/1/0", "fail", "100"), lease)
		Expect(h.waitForState("j/1/0", workerapi.TaskFailed).Reason).NotTo(BeEmpty())
	}),
	Entry("a task that exceeds its memory ends as out of memory", func(h *harness) {
		h.run(newTask("j/1/0", "memory", "40", "60000"), lease)
		h.waitForState("j/1/0", workerapi.TaskOutOfMemory)
	}),
	Entry("usage reports lag behind actual usage", func(h *harness) {
		h.run(newTask("j/1/0", "memory", "10", "60000"), lease)
		usage, err := h.api.Usage(h.ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(usage).To(BeEmpty(), "no sample is 100 ms old yet")
		Eventually(func() float64 {
			u, err := h.api.Usage(h.ctx)
			if err != nil || len(u) == 0 {
				return 0
			}
			return u[0].PeakMemoryGB
		}, "3s").Should(BeNumerically("==", 10))
	}),
	Entry("a checkpoint preserves work and a later attempt resumes from it", func(h *harness) {
		h.run(newTask("j/1/0", "sleep", "60000"), lease)
		time.Sleep(150 * time.Millisecond) // run time for the checkpoint to preserve
		t, err := h.api.Checkpoint(h.ctx, "j/1/0")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.CheckpointedMS).To(BeNumerically(">=", 150))
		t, err = h.api.Stop(h.ctx, "j/1/0")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.State).To(Equal(workerapi.TaskStopped))
		again := newTask("j/2/0", "sleep", "60000")
		again.ResumeMS = 59_950
		h.run(again, lease)
		end := h.waitForState("j/2/0", workerapi.TaskDone)
		Expect(end.EndedMS - end.StartedMS).To(BeNumerically("~", 50, 5))
	}),
	Entry("a throttled task runs more slowly", func(h *harness) {
		h.run(newTask("j/1/0", "sleep", "200"), lease)
		Expect(h.api.Throttle(h.ctx, "j/1/0", 0.25)).To(Succeed())
		end := h.waitForState("j/1/0", workerapi.TaskDone)
		Expect(end.EndedMS - end.StartedMS).To(BeNumerically(">", 600))
	}),
	Entry("a task that exceeds the free capacity is refused", func(h *harness) {
		h.run(newTask("j/1/0", "sleep", "5000"), lease)
		h.run(newTask("j/1/1", "sleep", "5000"), lease)
		_, err := h.api.Run(h.ctx, newTask("j/1/2", "sleep", "5000"), lease)
		Expect(result.CodeOf(err)).To(Equal(result.ReservationConflict))
		_, err = h.api.Stop(h.ctx, "j/1/0")
		Expect(err).NotTo(HaveOccurred())
		h.run(newTask("j/1/2", "sleep", "5000"), lease)
	}),
	Entry("an unknown task and a malformed command get different codes", func(h *harness) {
		_, err := h.api.Stop(h.ctx, "none")
		Expect(result.CodeOf(err)).To(Equal(result.NotFound))
		_, err = h.api.Run(h.ctx, newTask("j/1/0", "dance"), lease)
		Expect(result.CodeOf(err)).To(Equal(result.BadRequest))
	}),
	Entry("tasks on a faulty worker end as failed", func(h *harness) {
		h.server.SetFaults(worker.Faults{FailTasks: true})
		h.run(newTask("j/1/0", "sleep", "5000"), lease)
		h.waitForState("j/1/0", workerapi.TaskFailed)
	}),
	Entry("a lost response is reported as ambiguous when the call took effect", func(h *harness) {
		h.server.SetFaults(worker.Faults{LoseNext: 1})
		_, err := h.api.Run(h.ctx, newTask("j/1/0", "sleep", "5000"), lease)
		Expect(result.CodeOf(err)).To(Equal(result.OutcomeUnknown))
		Expect(h.listedTask("j/1/0").State).To(Equal(workerapi.TaskRunning))
	}),
	Entry("calls to a down or slow worker fail at the timeout", func(h *harness) {
		for _, f := range []worker.Faults{{Down: true}, {SlowMS: 5000}} {
			h.server.SetFaults(f)
			_, err := h.api.Run(h.ctx, newTask("j/1/0", "sleep", "5000"), lease)
			Expect(result.CodeOf(err)).To(Equal(result.OutcomeUnknown))
			_, err = h.api.Tasks(h.ctx)
			Expect(result.CodeOf(err)).To(Equal(result.BackendUnavailable))
		}
	}),
)
