package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"snipegw/internal/model"
)

// Sizes of a generated trace.
const (
	generatedJobs   = 330
	generatedSpanMS = 4 * 3600 * 1000
	// burstShare is the share of arrivals that come as a burst.
	burstShare = 0.04
	// claimShare is the share of guaranteed and urgent jobs.
	claimShare = 0.12
	// logRunMean and logRunSpread describe the run times: a log-normal
	// distribution with a median of 9 minutes.
	logRunMean   = 13.2
	logRunSpread = 1.0
	maxBurst     = 40
	minBurst     = 10
)

// arrivalShape is a shape of preemptible jobs with its share of the arrivals.
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
// large jobs, wrong declared run times, jobs that never run, single and bulk
// cancellations, and workers that fail or are faulty. At most one worker is
// down at a time if single is set. The same seed gives the same trace.
func Generate(base *Trace, seed uint64, single bool) *Trace {
	g := &generator{base: base, rnd: rand.New(rand.NewPCG(seed, 1))}
	g.jobs()
	g.cancellations()
	g.workers(single)
	sort.SliceStable(g.events, func(a, b int) bool { return g.events[a].T < g.events[b].T })
	return &Trace{Workers: base.Workers, Teams: base.Teams, Events: g.events}
}

type generator struct {
	base   *Trace
	rnd    *rand.Rand
	events []Event
}

func (g *generator) jobs() {
	var times []int64
	for len(times) < generatedJobs {
		t := g.rnd.Int64N(generatedSpanMS)
		times = append(times, t)
		if g.rnd.Float64() < burstShare {
			for range minBurst + g.rnd.IntN(maxBurst-minBurst) {
				times = append(times, t+g.rnd.Int64N(60_000))
			}
		}
	}
	for i, t := range times {
		g.events = append(g.events, g.job(fmt.Sprintf("j%05d", i), t))
	}
}

func (g *generator) job(id string, t int64) Event {
	team := g.base.Teams[g.rnd.IntN(len(g.base.Teams))]
	e := Event{T: t, Op: OpSubmit, Job: id, Team: team.ID, Class: model.ClassPreemptible, Shape: g.shape()}
	if g.rnd.Float64() < claimShare && len(team.Guarantees) > 0 {
		e.Class = model.ClassGuaranteed
		if g.rnd.IntN(2) == 0 {
			e.Class = model.ClassUrgent
		}
		e.Shape = team.Guarantees[g.rnd.IntN(len(team.Guarantees))].Shape
	}
	e.ActualMS = int64(math.Exp(logRunMean + logRunSpread*g.rnd.NormFloat64()))
	e.DeclaredMS = max(1000, int64(float64(e.ActualMS)*pick(g.rnd, []float64{0.2, 0.5, 1, 1, 2, 5})))
	e.CheckpointMS = pick(g.rnd, []int64{0, 60_000, 300_000})
	e.TrueMemoryGB = float64(e.MemoryGBPerTask) * pick(g.rnd, []float64{0.3, 0.9, 1, 1.5})
	e.NeverRuns = g.rnd.IntN(50) == 0
	return e
}

func pick[T any](rnd *rand.Rand, values []T) T { return values[rnd.IntN(len(values))] }

func (g *generator) shape() model.Shape {
	total := 0
	for _, s := range arrivalShapes {
		total += s.weight
	}
	n := g.rnd.IntN(total)
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

// cancellations cancels single jobs, and in half of the traces many at once.
func (g *generator) cancellations() {
	jobs := append([]Event(nil), g.events...)
	cancelled := map[string]bool{}
	cancel := func(e Event, t int64) {
		if !cancelled[e.Job] {
			cancelled[e.Job] = true
			g.events = append(g.events, Event{T: t, Op: OpCancel, Job: e.Job})
		}
	}
	for range g.rnd.IntN(40) {
		e := pick(g.rnd, jobs)
		cancel(e, e.T+1000+g.rnd.Int64N(900_000))
	}
	if g.rnd.IntN(2) == 0 {
		wave := g.rnd.Int64N(generatedSpanMS)
		for range maxBurst {
			if e := pick(g.rnd, jobs); e.T < wave {
				cancel(e, wave)
			}
		}
	}
}

// workers lets workers go down and be faulty. The spans of one worker do not
// overlap.
func (g *generator) workers(single bool) {
	free := int64(0) // earliest time of the next failure if single is set
	last := map[string]int64{}
	span := func(down, up Op, longest int64) {
		w := pick(g.rnd, g.base.Workers).ID
		begin := max(g.rnd.Int64N(generatedSpanMS), last[w])
		if single {
			begin = max(begin, free)
		}
		end := begin + 60_000 + g.rnd.Int64N(longest)
		last[w], free = end+1, max(free, end+1)
		g.events = append(g.events, Event{T: begin, Op: down, Worker: w}, Event{T: end, Op: up, Worker: w})
	}
	for range 1 + g.rnd.IntN(3) {
		span(OpWorkerDown, OpWorkerUp, 3_000_000)
	}
	if g.rnd.IntN(5) > 0 {
		span(OpWorkerFaulty, OpWorkerHealthy, 4_000_000)
	}
}
