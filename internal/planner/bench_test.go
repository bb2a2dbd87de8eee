package planner_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner"
	"snipegw/internal/planner/framework"
)

// scaledPool returns n workers in racks of 20, a fifth of them with 8 accelerators,
// and teams with guarantees, 24 at 1,400 workers.
func scaledPool(n int) ([]model.Worker, []model.Team) {
	var workers []model.Worker
	domains := 5
	accelerated := n * 275 / 1400
	for i := range n {
		rack := i / 20
		w := worker(rack%domains, rack, i%20, 0)
		w.ID = fmt.Sprintf("w%04d", i)
		if i*accelerated/n != (i+1)*accelerated/n {
			w.Capacity.Accelerators = 8
		}
		workers = append(workers, w)
	}
	var teams []model.Team
	for i := range max(24*n/1400, 1) { // as many teams as the pool can hold guarantees for
		count := max(accelerated*8*6/10/24/16, 1)
		teams = append(teams, model.Team{ID: fmt.Sprintf("t%d", i), Guarantees: []model.Guarantee{
			{Count: count, Shape: shape(4, 2, model.AdjacentFailureDomain)},
			{Count: max(count/2, 1), Shape: shape(2, 8, model.AdjacentAny)},
		}})
	}
	return workers, teams
}

// scaleBench runs a planner under a steady load of random jobs and records how long
// its decisions take.
type scaleBench struct {
	r         *rand.Rand
	p         framework.Scheduler
	now       time.Time
	running   map[string]uint64
	shapes    map[string]model.Shape
	order     []string
	tasks     int
	jobs      int
	latencies []time.Duration
}

func newScaleBench(n int) *scaleBench {
	s := &scaleBench{r: rand.New(rand.NewSource(1)), p: planner.New(model.Weights{CompletionTime: 1, Fragmentation: 0.3}),
		now: epoch, running: map[string]uint64{}, shapes: map[string]model.Shape{}}
	workers, teams := scaledPool(n)
	for _, w := range workers {
		s.p.AddWorker(s.now, w)
	}
	s.p.SetTeams(s.now, teams)
	s.decide()
	for goal := n * 8200 / 1400; s.tasks < goal; {
		s.submit()
	}
	s.latencies = s.latencies[:0]
	return s
}

func (s *scaleBench) submit() {
	s.jobs++
	id := fmt.Sprintf("j%d", s.jobs)
	j := newJob(id, fmt.Sprintf("t%d", s.r.Intn(24)), model.ClassPreemptible, shape(1+s.r.Intn(12), 0, model.AdjacentAny))
	switch k := s.r.Intn(100); {
	case k < 1:
		j.Shape = shape(128, 0, model.AdjacentAny)
	case k < 3:
		j.Shape = shape(4, 8, model.AdjacentAny)
	case k < 12:
		j.Shape = shape(4, 2, model.AdjacentFailureDomain)
		j.Class = []model.Class{model.ClassGuaranteed, model.ClassUrgent, model.ClassPreemptible}[k%3]
	case k < 30:
		j.Shape = shape(1, 1+k%4, model.AdjacentHost)
	}
	s.shapes[id] = j.Shape
	s.timed(func() { s.p.Submit(s.now, j) })
}

func (s *scaleBench) finish() {
	i := s.r.Intn(len(s.order))
	s.end(s.order[i], framework.OutcomeDone)
}

func (s *scaleBench) end(id string, o framework.Outcome) {
	attempt := s.running[id]
	delete(s.running, id)
	i := slices.Index(s.order, id)
	s.order[i] = s.order[len(s.order)-1]
	s.order = s.order[:len(s.order)-1]
	s.tasks -= s.shapes[id].Tasks
	s.timed(func() { s.p.GangEnded(s.now, id, framework.AttemptEnd{Attempt: attempt, Outcome: o}) })
}

// timed measures an event together with the first call of Decide after it.
func (s *scaleBench) timed(event func()) {
	start := time.Now()
	event()
	ds := s.p.Decide(s.now)
	s.latencies = append(s.latencies, time.Since(start))
	s.apply(ds)
	s.decide()
}

func (s *scaleBench) decide() {
	for {
		start := time.Now()
		ds := s.p.Decide(s.now)
		if len(ds) == 0 {
			return
		}
		s.latencies = append(s.latencies, time.Since(start))
		s.apply(ds)
	}
}

func (s *scaleBench) apply(ds []framework.Decision) {
	var stops []string
	for _, d := range ds {
		switch d.Kind {
		case framework.Place:
			s.running[d.Job] = d.Attempt
			s.order = append(s.order, d.Job)
			s.tasks += len(d.Workers)
			s.p.GangStarted(s.now, d.Job, d.Attempt)
		case framework.Stop:
			stops = append(stops, d.Job)
		}
	}
	for _, id := range stops {
		s.end(id, framework.OutcomeStopped)
	}
}

// BenchmarkDecision reports the latency of an event with its decisions for pools of
// different sizes.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{175, 350, 700, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScaleBench(n)
			goal := n * 8200 / 1400
			b.ResetTimer()
			for range b.N {
				s.now = s.now.Add(time.Second)
				if s.tasks >= goal {
					s.finish()
				} else {
					s.submit()
				}
			}
			b.StopTimer()
			slices.Sort(s.latencies)
			b.ReportMetric(float64(s.latencies[len(s.latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(s.latencies[len(s.latencies)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(s.latencies[len(s.latencies)-1].Microseconds()), "max-us")
		})
	}
}

// BenchmarkState reports the heap size of the planner with 1,400 workers and 8,200
// running tasks.
func BenchmarkState(b *testing.B) {
	var before, with runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newScaleBench(1400)
	s.order, s.running, s.shapes, s.latencies = nil, nil, nil, nil
	runtime.GC()
	runtime.ReadMemStats(&with)
	for range b.N { // the size is the same in each iteration
		b.ReportMetric(float64(with.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	}
	runtime.KeepAlive(s.p)
}
