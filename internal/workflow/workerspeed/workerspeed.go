// Package workerspeed learns how fast workers are from the progress of their runs. It
// is the scheduling plug-in "worker_speed". See docs/design/worker-speed.md.
package workerspeed

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

func init() {
	framework.Plugins.Register("worker_speed", func(data json.RawMessage, path string, faults *kernel.ValidationErrors) func() framework.Plugin {
		s := new(Settings)
		kernel.DecodeSection(data, path, s, faults)
		return func() framework.Plugin { return New(*s) }
	})
}

// Settings are the settings of the plug-in.
type Settings struct {
	// MaxSlowness bounds the factor by which a worker counts as slower than a typical one.
	MaxSlowness float64 `json:"max_slowness"`
	// IdleHalfLifeMS is the time in which half of a slowdown is forgotten on a worker
	// whose runs tell nothing new.
	IdleHalfLifeMS int64 `json:"idle_half_life_ms"`
}

const (
	defaultMaxSlowness    = 8
	defaultIdleHalfLifeMS = 8000
)

// Provision sets defaults.
func (s *Settings) Provision() {
	if s.MaxSlowness == 0 {
		s.MaxSlowness = defaultMaxSlowness
	}
	if s.IdleHalfLifeMS == 0 {
		s.IdleHalfLifeMS = defaultIdleHalfLifeMS
	}
}

// Validate appends the faults of s to faults.
func (s *Settings) Validate(faults *kernel.ValidationErrors) {
	if s.MaxSlowness < 1 {
		faults.Add("max_slowness", "must be at least 1")
	}
	if s.IdleHalfLifeMS < 1 {
		faults.Add("idle_half_life_ms", "must be positive")
	}
}

// Limits of what counts as evidence. Logarithms are natural.
const (
	// minWindowPercent is the progress from which the speed of a run is computed. With
	// whole percents it is exact to one fifth.
	minWindowPercent = 5
	// slowWindow and minSlowWindowPercent close a window of a run too slow to make
	// minWindowPercent between two reports.
	slowWindow           = 2 * time.Second
	minSlowWindowPercent = 3
	// maxClockDifference is the largest difference between the time that passes on a
	// worker's clock and between the arrivals of its reports.
	maxClockDifference = 4 * time.Second
	// freshWindow is the age up to which the latest window of a run tells the present
	// speed of its worker. Reports arrive every 1 to 2 s.
	freshWindow = 4 * time.Second
	// maxGroups limits the steps that are remembered, and maxGroupSize the items of each.
	maxGroups    = 512
	maxGroupSize = 32
	// minSlowness bounds how much faster than a typical worker one may count.
	minSlowness = 0.25
)

// Model is the plug-in. Its state is empty at the start of a term.
type Model struct {
	settings Settings
	workers  map[string]*worker
	groups   map[groupID]*group
	order    []groupID // of the groups, by their first item
}

// New returns a Model that knows nothing.
func New(s Settings) *Model {
	s.Provision()
	return &Model{settings: s, workers: make(map[string]*worker), groups: make(map[groupID]*group)}
}

// groupID names the items that do the same work: those of one step of an occurrence.
type groupID struct {
	job              string
	occurrence, step int
	away             bool
}

// group holds the logarithms of the run times of a step's items on a typical worker.
type group struct {
	times  []float64
	levels map[*worker]int // evidence of the level of each worker that was taken
}

// run is a run that goes on.
type run struct {
	group *group
	// The current window began at clock and at, with percent.
	clock   time.Duration
	at      time.Time
	percent float64
	began   bool
	// times holds the logarithms of the run time of the whole item, in milliseconds, by the
	// latest two windows; windows counts all.
	times   [2]float64
	windows int
	lastAt  time.Time // of the latest window
	// typical is the logarithm of the run time on a typical worker.
	typical float64
	changed bool // the worker's speed has changed during the run
	changes int  // of the worker's speed before the run
}

// ObserveProgress implements framework.SpeedModel.
func (m *Model) ObserveProgress(p framework.Progress) {
	w := m.workers[p.Worker]
	if w == nil {
		w = newWorker()
		m.workers[p.Worker] = w
	}
	r := w.runs[p.Run]
	if r == nil {
		r = &run{group: m.groupOf(p.Run.Item, p.Away)}
		w.runs[p.Run] = r
	}
	if !r.addReport(p) {
		return
	}
	switch {
	case r.windows == 1:
		w.fadeShift(p.At, m.halfLife())
		r.typical, r.changes = r.times[0]-w.total(p.At), w.changes
		r.group.add(r.typical)
		return
	case r.windows == 2:
		m.learnLevel(w, r, p)
	}
	w.updateShift(p.At, m.halfLife())
}

// ObserveEnd implements framework.SpeedModel.
func (m *Model) ObserveEnd(worker string, id framework.Run) {
	if w := m.workers[worker]; w != nil {
		delete(w.runs, id)
	}
}

// addReport adds a report to the current window of r and returns whether it completes
// the window. Reports that contradict those before them begin a new one. The time up to
// the first progress does not count: the item starts up, or its gang is not complete.
func (r *run) addReport(p framework.Progress) bool {
	restart := func() bool {
		r.clock, r.at, r.percent, r.began = p.Clock, p.At, p.Percent, true
		return false
	}
	valid := p.Percent > 0 && p.Percent < 100 // at 100 a member of a gang waits for the others
	if !valid {
		r.began = false
		return false
	}
	elapsed, gained := p.Clock-r.clock, p.Percent-r.percent
	difference := elapsed - p.At.Sub(r.at)
	if !r.began || gained < 0 || elapsed <= 0 || difference.Abs() > maxClockDifference {
		return restart()
	}
	if gained < minWindowPercent && (elapsed < slowWindow || gained < minSlowWindowPercent) {
		return false
	}
	whole := math.Log(float64(elapsed.Milliseconds()+1) * 100 / gained)
	r.times = [2]float64{whole, r.times[0]}
	r.windows++
	r.lastAt = p.At
	restart()
	return true
}

// groupOf returns the group of an item. It drops the oldest group if there are too many.
func (m *Model) groupOf(item workflow.ItemRef, away bool) *group {
	id := groupID{item.Job, item.Occurrence, item.Step, away}
	g := m.groups[id]
	if g == nil {
		if len(m.order) >= maxGroups {
			delete(m.groups, m.order[0])
			m.order = m.order[1:]
		}
		g = &group{levels: make(map[*worker]int)}
		m.groups[id] = g
		m.order = append(m.order, id)
	}
	return g
}

// add adds the run time of an item and drops the oldest one if there are too many.
func (g *group) add(time float64) {
	if len(g.times) >= maxGroupSize {
		g.times = slices.Delete(g.times, 0, 1)
	}
	g.times = append(g.times, time)
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func (m *Model) halfLife() time.Duration {
	return time.Duration(m.settings.IdleHalfLifeMS) * time.Millisecond
}

// Slowness implements framework.SpeedModel. Its values are powers of slownessStep, so that
// small differences do not change the order of workers.
func (m *Model) Slowness(worker string, now time.Time) float64 {
	w := m.workers[worker]
	if w == nil {
		return 1
	}
	log := w.known(now, m.halfLife())
	log = math.Round(log/math.Log(slownessStep)) * math.Log(slownessStep)
	return max(minSlowness, min(math.Exp(log), m.settings.MaxSlowness))
}

// RunTime implements framework.SpeedModel.
func (m *Model) RunTime(worker string, id framework.Run) (time.Duration, bool) {
	w := m.workers[worker]
	if w == nil || w.runs[id] == nil || !w.runs[id].changed {
		return 0, false
	}
	r := w.runs[id]
	return time.Duration(math.Exp(r.times[0]) * float64(time.Millisecond)), true
}

// WorkerState is the state of a worker in the debug dump.
type WorkerState struct {
	Slowness float64 `json:"slowness"`
	// Level and Shift are the learned level and the present slowdown as factors, before
	// they are rounded.
	Level float64 `json:"level"`
	Shift float64 `json:"shift"`
	Runs  int     `json:"runs"`
}

// State implements framework.Plugin. It lists the workers that are not typical.
func (m *Model) State(now time.Time) any {
	workers := make(map[string]WorkerState)
	for node, w := range m.workers {
		if s := m.Slowness(node, now); s != 1 {
			round := func(log float64) float64 { return math.Round(100*math.Exp(log)) / 100 }
			workers[node] = WorkerState{Slowness: math.Round(100*s) / 100, Level: round(w.level), Shift: round(w.shiftAt(now, m.halfLife())), Runs: len(w.runs)}
		}
	}
	return map[string]any{"known": len(m.workers), "workers": workers}
}
