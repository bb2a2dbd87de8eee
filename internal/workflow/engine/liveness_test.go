package engine

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

var (
	mixes    = flag.Int("mixes", 30, "number of random mixes of jobs that TestEveryWaitBesideRoomEnds plays")
	firstMix = flag.Uint64("mix", 1, "seed of the first of them")
)

const (
	// standstill is the time without a start after which nothing starts any more on a calm pool. It is longer than the
	// exclusion of a worker.
	standstill = 12 * time.Second
	// maxBacklog is the longest time that the jobs of one mix take.
	maxBacklog = 5 * time.Minute
)

// lastingMS is the run time of long-running items in milliseconds, longer than the test.
const lastingMS = 3_600_000

// newMixedWorld returns a world with two services of random sizes, with labels on some workers, and
// queues of all priorities on both.
func newMixedWorld(seed uint64) *world {
	w := newWorld(seed, 3+int(seed%9), 0)
	for _, m := range w.workers[:w.rng.IntN(len(w.workers)-1)+1] {
		m.service = "t"
	}
	for _, m := range w.workers {
		if w.chance(0.3) {
			m.labels = []string{"b"}
		}
	}
	for i := range 3 {
		w.config.Queues = append(w.config.Queues, workflow.Queue{Name: fmt.Sprintf("other %d", i), Service: "t", Priority: i, MaxAttempts: 3, SlackFactor: 1.5, TargetMS: 250})
	}
	w.config.Provision()
	w.planner.SetConfig(w.config)
	w.advance(2500 * time.Millisecond)
	return w
}

// submitMixedJob submits a job of one or two steps, some of them with a label, gangs or long-running.
func (w *world) submitMixedJob() {
	q := w.config.Queues[w.rng.IntN(len(w.config.Queues))]
	s := step(1+w.rng.IntN(6), 1<<w.rng.IntN(4), 500+w.rng.Int64N(2500))
	if w.chance(0.3) {
		s.Label = "b"
	}
	s.Gang = w.chance(0.2)
	if w.chance(0.1) {
		s.LongRunning, s.EstimateMS = true, lastingMS
	}
	steps := []workflow.Step{s}
	if w.chance(0.2) && !s.LongRunning {
		next := s
		next.After = []int{0}
		steps = append(steps, next)
	}
	id := w.addJob(q.Name, []string{"a", "b"}[w.rng.IntN(2)], steps...)
	if w.chance(0.15) && !s.LongRunning {
		w.jobs[id].Payload = "poison"
	}
}

// holdMostOfAPool submits long-running items that take most of a service.
func (w *world) holdMostOfAPool() {
	queue, service := "large", "s"
	if w.chance(0.5) {
		queue, service = "other 1", "t"
	}
	n := 0
	for _, m := range w.workers {
		if m.service == service {
			n++
		}
	}
	if n = n - w.rng.IntN(2); n > 0 {
		s := step(n, 8, lastingMS)
		s.LongRunning = true
		w.addJob(queue, "b", s)
	}
}

// changeConfigAtRandom puts a configuration with other attempts and another priority of a queue in force.
func (w *world) changeConfigAtRandom() {
	q := w.config.Queues[w.rng.IntN(len(w.config.Queues))]
	attempts, priority := 1+w.rng.IntN(4), w.rng.IntN(3)
	w.changeQueue(q.Name, func(q *workflow.Queue) { q.MaxAttempts, q.Priority = attempts, priority })
}

// unitsBesideRoom returns the units of open jobs that could run now, have no run, and for all items of which
// their service has room, by the state of the workers.
func (w *world) unitsBesideRoom() []*unit {
	var out []*unit
	for _, j := range w.planner.openJobs {
		for _, u := range j.units {
			if u.done || u.isActive() || !j.dependenciesDone(u.occurrence, u.step) {
				continue
			}
			n := 0
			for _, m := range w.workers {
				if m.service != w.config.ServiceOf(j.rec) || u.spec().Label != "" && !slices.Contains(m.labels, u.spec().Label) {
					continue
				}
				free := m.capacity
				for _, r := range m.running {
					free = free.Add(r.needs, -1)
				}
				n += free.Count(u.spec().Needs(), u.count)
			}
			if n >= u.count {
				out = append(out, u)
			}
		}
	}
	return out
}

// endedButOpen returns the ids of open jobs without a run that are complete or have failed, by their stored progress.
func (w *world) endedButOpen() []string {
	var out []string
	for _, j := range w.planner.openJobs {
		p := w.progress[j.id]
		if p == nil || j.isActive() {
			continue
		}
		done, failed := 0, false
		for _, u := range p.Units {
			if u.Done {
				done++
			} else if !j.rec.Steps[u.Step].LongRunning && u.Failed >= w.config.MaxAttemptsOf(j.rec) {
				failed = true
			}
		}
		if failed || done == len(j.units) {
			out = append(out, j.id)
		}
	}
	return out
}

// Random jobs of two services, among them long-running ones that hold most of a pool for good and some whose
// items fail, with changes of the configuration, and crashes of workers and the planner. Guards against
// a job that could end and does not, and against a unit that waits beside room for it without an end.
func TestEveryWaitBesideRoomEnds(t *testing.T) {
	t.Parallel()
	for seed := *firstMix; seed < *firstMix+uint64(*mixes); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newMixedWorld(seed)
			w.holdMostOfAPool()
			for range 40 {
				w.submitMixedJob()
				switch {
				case w.chance(0.1):
					w.changeConfigAtRandom()
				case w.chance(0.05):
					w.workers[w.rng.IntN(len(w.workers))].crash()
				case w.chance(0.05):
					w.takeover()
				}
				w.advance(w.randomDuration(500 * time.Millisecond))
			}
			w.changeConfigAtRandom()
			starts := -1
			for end := w.now.Add(maxBacklog); w.now.Before(end) && starts != w.startedRuns; {
				starts = w.startedRuns
				w.advance(standstill)
			}
			g := NewWithT(t)
			g.Expect(w.violations).To(BeEmpty())
			g.Expect(w.startedRuns).To(Equal(starts), "runs still start")
			g.Expect(w.endedButOpen()).To(BeEmpty())
			for _, u := range w.unitsBesideRoom() {
				t.Errorf("item %v of queue %s waits beside room: %s", u.itemRef(u.first), u.job.rec.Queue,
					w.planner.jobWaitReason(u.job, w.planner.freeResources(w.now), w.now))
			}
		})
	}
}
