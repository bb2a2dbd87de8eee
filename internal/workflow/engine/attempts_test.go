package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// changeQueue puts a configuration in force in which a queue is changed by f, or missing if f is nil.
func (w *world) changeQueue(name string, f func(*workflow.Queue)) {
	next := *w.config
	next.Version++
	next.Queues = slices.Clone(next.Queues)
	at := slices.IndexFunc(next.Queues, func(q workflow.Queue) bool { return q.Name == name })
	if f == nil {
		next.Queues = slices.Delete(next.Queues, at, at+1)
	} else {
		f(&next.Queues[at])
	}
	next.Provision()
	w.formerConfig, w.configuredAt = w.config, w.now
	w.config = &next
	w.planner.SetConfig(w.config)
}

func allowAttempts(n int) func(*workflow.Queue) {
	return func(q *workflow.Queue) { q.MaxAttempts = n }
}

// newFailedItemWorld returns a world with one worker, the id of a job of queue small whose item has failed
// once and waits, and that of a job that holds the worker until its item is ended.
func newFailedItemWorld(g *WithT) (w *world, failed, holder string) {
	w = newWorld(1, 1, 0)
	w.noRandomFailures = true
	w.advance(2500 * time.Millisecond)
	failed = w.addJob("small", "a", step(1, 8, 1000))
	w.jobs[failed].Payload = "poison"
	w.advance(100 * time.Millisecond)
	holder = w.addJob("large", "a", step(1, 8, 60_000))
	w.advance(time.Second)
	g.Expect(w.runs(failed, 0)).To(HaveLen(1))
	g.Expect(w.runs(failed, 0)[0].how).To(Equal(workflow.EndFailed))
	g.Expect(w.runs(holder, 0)).To(HaveLen(1))
	return w, failed, holder
}

// Guards against a waiting job that is neither run again nor shown as failed, once something other than
// the end of one of its runs has used up its attempts.
func TestWaitingJobFailsWithoutAnEndOfItsRuns(t *testing.T) {
	cases := map[string]func(w *world, failed string){
		"a configuration lowers the attempts": func(w *world, _ string) { w.changeQueue("small", allowAttempts(1)) },
		"a configuration removes a queue with more of them": func(w *world, failed string) {
			w.jobs[failed].MaxAttempts = 1
			w.changeQueue("small", nil)
		},
		"a planner takes over under the new configuration": func(w *world, _ string) {
			w.changeQueue("small", allowAttempts(1))
			w.takeover()
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w, failed, holder := newFailedItemWorld(g)
			change(w, failed)
			w.tick()
			g.Expect(w.planner.jobs[failed].state).To(Equal(workflow.StateFailed))
			g.Expect(w.progress[failed].State).To(Equal(workflow.StateFailed), "the end is stored")
			g.Expect(w.planner.jobs[holder].state).NotTo(Equal(workflow.StateFailed))
			w.advance(5 * time.Second)
			g.Expect(w.runs(failed, 0)).To(HaveLen(1))
		})
	}
}

// Guards against runs that go on for a job that has failed under a new configuration.
func TestRunsOfAJobThatFailsByAConfigurationAreStopped(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2, 0)
	w.noRandomFailures = true
	w.advance(2500 * time.Millisecond)
	id := w.addLateJob("small", "a", step(2, 8, 60_000))
	w.advance(200 * time.Millisecond)
	w.workers[0].running[0].willFail, w.workers[0].running[0].doneAt = true, w.now
	w.advance(500 * time.Millisecond)
	g.Expect(w.starts(id)).To(Equal(3), "the failed item runs again")

	w.changeQueue("small", allowAttempts(1))
	w.advance(500 * time.Millisecond)
	g.Expect(w.stoppedRuns(id)).To(Equal(2))
	g.Expect(w.planner.jobs[id].state).To(Equal(workflow.StateFailed))
}

// Guards against a job that a new term fails by the attempts at its acceptance, before it knows the
// configuration, which allows more.
func TestNoJobFailsBeforeTheFirstConfiguration(t *testing.T) {
	g := NewWithT(t)
	w, failed, _ := newFailedItemWorld(g)
	w.jobs[failed].MaxAttempts = 1
	term := New(w.planner.settings, w.epoch+1, w.now)
	term.AddJob(failed, w.jobs[failed], w.progress[failed], w.revision[failed])
	term.Decide(w.now)
	g.Expect(term.jobs[failed].state).To(Equal(workflow.StateActive))

	term.SetConfig(w.config)
	term.Decide(w.now)
	g.Expect(term.jobs[failed].state).To(Equal(workflow.StateActive))
	term.SetConfig(&workflow.Config{Version: 2})
	term.Decide(w.now)
	g.Expect(term.jobs[failed].state).To(Equal(workflow.StateFailed), "the queue is gone")
}

// Guards against a job that fails, or goes on after a change of the planner only, because of failures of
// an item that is done since.
func TestFailuresOfADoneItemDoNotFailItsJob(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeover), func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(1, 1, 0)
			w.noRandomFailures = true
			w.advance(2500 * time.Millisecond)
			id := w.addJob("small", "a", step(2, 8, 1000))
			for n := range 2 {
				w.advanceUntilRuns(id, n+1, 5*time.Second)
				w.runs(id, 0)[n].willFail = true
			}
			for end := w.now.Add(10 * time.Second); w.now.Before(end) && len(w.runs(id, 1)) == 0; {
				w.tick()
			}
			g.Expect(w.runs(id, 0)).To(HaveLen(3))
			g.Expect(w.runs(id, 0)[2].how).To(Equal(workflow.EndDone))

			w.changeQueue("small", allowAttempts(2))
			if takeover {
				w.takeover()
			}
			w.advanceUntilIdle(10 * time.Second)
			g.Expect(w.planner.jobs[id].state).To(Equal(workflow.StateComplete))
			g.Expect(w.runs(id, 1)).To(HaveLen(1))
		})
	}
}
