package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"snipegw/internal/model"
)

// Parameters of a generated trace.
const (
	generatedJobs   = 330 // at least; the last burst may add more
	generatedSpanMS = 4 * 3600 * 1000
	// burstShare is the probability that a burst follows an arrival.
	burstShare = 0.04
	// claimShare is the share of jobs that claim a guarantee of their team, half of
	// them of class guaranteed and half of class urgent.
	claimShare = 0.12
	// Run times in milliseconds are log-normal: their logarithm has this mean and
	// standard deviation. The median is 9 minutes.
	logRunTimeMean   = 13.2
	logRunTimeStdDev = 1.0
	maxBurst         = 40
	minBurst         = 10
)

// arrivalShape is a shape of preemptible jobs with its weight among the arrivals.
type arrivalShape struct {
	tasks, accelerators int
	adjacent            model.Adjacency
	weight              int
}

var arrivalShapes = []arrivalShape{
	{1, 1, model.AdjacentHost, 30}, {1, 2, model.AdjacentHost, 22}, {1, 4, model.AdjacentHost, 12},
	{2, 8, model.AdjacentRack, 9}, {4, 4, model.AdjacentAny, 5}, {1, 8, model.AdjacentHost, 6},
	{8, 1, model.AdjacentRack, 5}, {2, 4, model.AdjacentRack, 5}, {3, 8, model.AdjacentRack, 2},
	{16, 1, model.AdjacentAny, 2}, {2, 2, model.AdjacentRack, 3}, {1, 0, model.AdjacentAny, 2},
}

// Generate makes a trace on the workers and teams of base: bursts of small and
// large jobs, wrong declared run times, jobs that can't run, single and bulk
// cancellations, and workers that go down or become faulty. With singleFailures
// at most one worker is down or faulty at a time. The same seed gives the same
// trace.
func Generate(base *Trace, seed uint64, singleFailures bool) *Trace {
	g := &generator{base: base, random: rand.New(rand.NewPCG(seed, 1))}
	g.addJobs()
	g.addCancellations()
	g.addWorkerFaults(singleFailures)
	sort.SliceStable(g.events, func(a, b int) bool { return g.events[a].TimeMS < g.events[b].TimeMS })
	return &Trace{Workers: base.Workers, Teams: base.Teams, Events: g.events}
}

// generator makes the events of a generated trace from one sequence of random
// numbers. A change in the order of the draws changes the trace of every seed.
type generator struct {
	base   *Trace
	random *rand.Rand
	events []Event
}

func (g *generator) addJobs() {
	var times []int64
	for len(times) < generatedJobs {
		t := g.random.Int64N(generatedSpanMS)
		times = append(times, t)
		if g.random.Float64() < burstShare {
			for range minBurst + g.random.IntN(maxBurst-minBurst) {
				times = append(times, t+g.random.Int64N(60_000))
			}
		}
	}
	for i, t := range times {
		g.events = append(g.events, g.newJob(fmt.Sprintf("j%05d", i), t))
	}
}

func (g *generator) newJob(id string, t int64) Event {
	team := g.base.Teams[g.random.IntN(len(g.base.Teams))]
	e := Event{TimeMS: t, Op: OpSubmit, Job: id, Team: team.ID, Class: model.ClassPreemptible, Shape: g.randomShape()}
	if g.random.Float64() < claimShare && len(team.Guarantees) > 0 {
		e.Class = model.ClassGuaranteed
		if g.random.IntN(2) == 0 {
			e.Class = model.ClassUrgent
		}
		e.Shape = team.Guarantees[g.random.IntN(len(team.Guarantees))].Shape
	}
	e.ActualMS = int64(math.Exp(logRunTimeMean + logRunTimeStdDev*g.random.NormFloat64()))
	e.DeclaredMS = max(1000, int64(float64(e.ActualMS)*pick(g.random, []float64{0.2, 0.5, 1, 1, 2, 5})))
	e.CheckpointMS = pick(g.random, []int64{0, 60_000, 300_000})
	e.TrueMemoryGBPerTask = float64(e.MemoryGBPerTask) * pick(g.random, []float64{0.3, 0.9, 1, 1.5})
	e.NeverRuns = g.random.IntN(50) == 0
	return e
}

// pick returns a random element of values.
func pick[T any](rnd *rand.Rand, values []T) T { return values[rnd.IntN(len(values))] }

func (g *generator) randomShape() model.Shape {
	total := 0
	for _, s := range arrivalShapes {
		total += s.weight
	}
	n := g.random.IntN(total)
	for _, s := range arrivalShapes {
		if n -= s.weight; n < 0 {
			return model.Shape{
				Tasks: s.tasks, AcceleratorsPerTask: s.accelerators, Adjacent: s.adjacent,
				CoresPerTask: max(1, 3*s.accelerators), MemoryGBPerTask: max(2, 10*s.accelerators),
			}
		}
	}
	return model.Shape{Tasks: 1, Adjacent: model.AdjacentAny}
}

// addCancellations cancels single jobs, and in half of the traces many jobs at
// one instant.
func (g *generator) addCancellations() {
	jobs := append([]Event(nil), g.events...)
	cancelled := map[string]bool{}
	cancel := func(e Event, t int64) {
		if !cancelled[e.Job] {
			cancelled[e.Job] = true
			g.events = append(g.events, Event{TimeMS: t, Op: OpCancel, Job: e.Job})
		}
	}
	for range g.random.IntN(40) {
		e := pick(g.random, jobs)
		cancel(e, e.TimeMS+1000+g.random.Int64N(900_000))
	}
	if g.random.IntN(2) == 0 {
		bulkTime := g.random.Int64N(generatedSpanMS)
		for range maxBurst {
			if e := pick(g.random, jobs); e.TimeMS < bulkTime {
				cancel(e, bulkTime)
			}
		}
	}
}

// addWorkerFaults lets workers go down or become faulty for a while. The faults
// of one worker do not overlap.
func (g *generator) addWorkerFaults(singleFailures bool) {
	earliestBegin := int64(0) // of the next fault, with singleFailures
	workerFreeAt := map[string]int64{}
	addFault := func(down, up Op, longest int64) {
		w := pick(g.random, g.base.Workers).ID
		begin := max(g.random.Int64N(generatedSpanMS), workerFreeAt[w])
		if singleFailures {
			begin = max(begin, earliestBegin)
		}
		end := begin + 60_000 + g.random.Int64N(longest)
		workerFreeAt[w], earliestBegin = end+1, max(earliestBegin, end+1)
		g.events = append(g.events, Event{TimeMS: begin, Op: down, Worker: w}, Event{TimeMS: end, Op: up, Worker: w})
	}
	for range 1 + g.random.IntN(3) {
		addFault(OpWorkerDown, OpWorkerUp, 3_000_000)
	}
	if g.random.IntN(5) > 0 {
		addFault(OpWorkerFaulty, OpWorkerHealthy, 4_000_000)
	}
}
