package gang

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipegw/internal/model"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

func specOf(id string) model.Job { return model.Job{ID: id} }

// Bounds on the time for which a part of a gang may run without the rest, plus one
// tick until the test observes the end. A planned restart adds HandoverWindow.
const (
	maxPartialRun           = 5*time.Second + TickInterval
	maxPartialRunInHandover = 20*time.Second + TickInterval
)

// TestGangLease injects crashes, restarts, partitions, unresponsive workers and
// failed tasks in random order. It guards against a part of a gang that runs longer
// than allowed without the rest, and against resources that are freed while a task
// runs.
func TestGangLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		c.reserve()
		if err := c.start(); err != nil {
			t.Fatal(err)
		}
		var partialSince, handoverAt time.Time
		check := func() {
			running, done := c.running(), 0
			for _, n := range c.nodes {
				for _, task := range n.worker.tasks {
					if task.State == workerapi.TaskDone {
						done++
					}
				}
				if n.agent != nil && n.worker.running() > 0 && n.arbiter.Free().Accelerators > 0 {
					t.Fatalf("the arbiter of %s has freed the resources of a running task", n.name)
				}
			}
			if running == 0 || running+done == 3 {
				partialSince = time.Time{}
				return
			}
			if partialSince.IsZero() {
				partialSince = c.now
			}
			bound := maxPartialRun
			if !handoverAt.IsZero() && partialSince.Sub(handoverAt) < HandoverWindow {
				bound = maxPartialRunInHandover
			}
			if c.now.Sub(partialSince) > bound {
				t.Fatalf("%d of 3 tasks have run without the rest for %v", running, c.now.Sub(partialSince))
			}
		}
		run := func(d time.Duration) {
			for range d / TickInterval {
				c.advance(TickInterval)
				check()
			}
		}
		pick := func(t *rapid.T) *node { return rapid.SampledFrom(c.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * TickInterval) },
			"crash": func(t *rapid.T) {
				if n := pick(t); n.agent != nil {
					c.crash(n)
				}
			},
			"boot": func(t *rapid.T) {
				if n := pick(t); n.agent == nil {
					c.boot(n)
				}
			},
			"handover": func(t *rapid.T) {
				if n := pick(t); n.agent != nil && n.agent.Settled() {
					n.agent.PrepareHandover(context.Background())
					c.crash(n)
					handoverAt = c.now
				}
			},
			"cut":    func(t *rapid.T) { pick(t).partitioned = true },
			"heal":   func(t *rapid.T) { pick(t).partitioned = false },
			"hang":   func(t *rapid.T) { pick(t).worker.unresponsive = true },
			"unhang": func(t *rapid.T) { pick(t).worker.unresponsive = false },
			"end": func(t *rapid.T) {
				n := pick(t)
				for id, task := range n.worker.tasks {
					if task.State == workerapi.TaskRunning {
						n.worker.endTask(id, rapid.SampledFrom([]workerapi.TaskState{workerapi.TaskDone, workerapi.TaskFailed}).Draw(t, "state"), "")
					}
				}
			},
			"stop": func(t *rapid.T) {
				if n := pick(t); n.agent != nil {
					_ = n.agent.StopGang(&wire.StopGang{Job: "job", Attempt: 1, GraceMS: 1000})
				}
			},
		})
		run(30 * time.Second)
	})
}

// FuzzLabels guards against panics in the adoption of tasks with malformed labels,
// and against accepted labels without a job, an attempt or members.
func FuzzLabels(f *testing.F) {
	f.Add("job", "1", "0", `[{"worker":"w0","address":"a","ranks":[0]}]`, `{"id":"job"}`, "0")
	f.Add("job", "1", "-1", `[]`, `{}`, "x")
	f.Add("", "", "", "null", "null", "")
	f.Fuzz(func(t *testing.T, job, attempt, rank, members, spec, resume string) {
		labels := map[string]string{labelJob: job, labelAttempt: attempt, labelRank: rank, labelMembers: members, labelSpec: spec, labelResume: resume}
		id, err := decodeLabels(labels)
		if err != nil {
			return
		}
		if id.spec.ID != job || len(id.members) == 0 || id.attempt == 0 {
			t.Fatalf("accepted %+v", id)
		}
		c := newCluster(1)
		c.nodes[0].agent.Adopt([]workerapi.Task{{ID: "t", Labels: labels, State: workerapi.TaskRunning}})
		c.nodes[0].agent.Tick()
	})
}
