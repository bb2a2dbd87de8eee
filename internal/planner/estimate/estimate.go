// Package estimate corrects declared run times.
//
// Declared run times are wrong by a factor of up to 5 or more either way. Part of
// the factor belongs to the caller, the rest is noise. The tracker therefore
// keeps a regression of log(actual) on log(declared) per team, for large and for
// small jobs: its offset is the habit of the team, and its slope, below 1 when
// the declarations are noisy, pulls extreme declarations towards the usual run
// time of the team. A correction by a factor alone was measured first and keeps
// the noise: a job declared at ten times its run time stayed at the end of the
// queue.
//
// A regression over all teams is the prior of each, and a slope of priorSlope
// without offset is the prior of that, each with the weight of priorWeight
// observations. Old observations fade by decay. Memory is bounded by maxTeams; the
// team that was not updated for the longest time is dropped first.
//
// No guarantee depends on an estimate: estimates only order the queue and choose
// victims.
package estimate

import (
	"math"
	"time"
)

const (
	maxTeams    = 64
	decay       = 0.99
	priorWeight = 5.0
	priorSlope  = 0.8
	// defaultRun stands for a job without a declaration in a team without
	// history.
	defaultRun = 10 * time.Minute
	// minRun avoids a logarithm of zero.
	minRun = time.Second
	// maxLog bounds estimates, in logarithms of seconds (about a year).
	maxLog = 17.0
)

// line is a regression of y on x with fading observations.
type line struct {
	n, x, y  float64 // weight and means
	sxx, sxy float64
}

func (l *line) add(x, y float64) {
	l.n = l.n*decay + 1
	dx, dy := x-l.x, y-l.y
	l.x += dx / l.n
	l.y += dy / l.n
	l.sxx = l.sxx*decay + dx*(x-l.x)
	l.sxy = l.sxy*decay + dx*(y-l.y)
}

// at returns the value at x, given the value and slope of the prior there.
func (l *line) at(x float64, prior func(float64) (float64, float64)) (value, slope float64) {
	value, slope = prior(x)
	if l.n == 0 {
		return value, slope
	}
	own := (l.sxy + priorWeight*slope) / (l.sxx + priorWeight)
	center, _ := prior(l.x)
	offset := (l.y - center) * l.n / (l.n + priorWeight)
	return center + offset + own*(x-l.x), own
}

type team struct {
	lines  [2]line // small and large jobs
	update uint64
}

// Tracker holds the corrections of all teams.
type Tracker struct {
	teams   map[string]*team
	all     [2]line
	updates uint64
}

// New returns a tracker without history.
func New() *Tracker { return &Tracker{teams: make(map[string]*team)} }

// Version changes with every observation.
func (t *Tracker) Version() uint64 { return t.updates }

// Teams returns how many teams are remembered.
func (t *Tracker) Teams() int { return len(t.teams) }

func index(large bool) int {
	if large {
		return 1
	}
	return 0
}

// Observe learns from a job that ended by itself.
func (t *Tracker) Observe(id string, large bool, declared, actual time.Duration) {
	if declared <= 0 {
		declared = t.usual(large)
	}
	x := math.Log(max(declared, minRun).Seconds())
	y := math.Log(max(actual, minRun).Seconds())
	t.team(id).lines[index(large)].add(x, y)
	t.all[index(large)].add(x, y)
}

// usual returns the mean run time over all teams.
func (t *Tracker) usual(large bool) time.Duration {
	if l := t.all[index(large)]; l.n > 0 {
		return time.Duration(math.Exp(l.y) * float64(time.Second))
	}
	return defaultRun
}

func (t *Tracker) team(id string) *team {
	t.updates++
	e := t.teams[id]
	if e == nil {
		if len(t.teams) >= maxTeams {
			t.dropOldest()
		}
		e = &team{}
		t.teams[id] = e
	}
	e.update = t.updates
	return e
}

func (t *Tracker) dropOldest() {
	oldest := ""
	for id, e := range t.teams {
		if oldest == "" || e.update < t.teams[oldest].update {
			oldest = id
		}
	}
	delete(t.teams, oldest)
}

// Total returns the expected run time of a whole job.
func (t *Tracker) Total(id string, large bool, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = t.usual(large)
	}
	x := math.Log(max(declared, minRun).Seconds())
	first := func(x float64) (float64, float64) { return x, priorSlope }
	prior := func(x float64) (float64, float64) { return t.all[index(large)].at(x, first) }
	y, _ := prior(x)
	if e := t.teams[id]; e != nil {
		y, _ = e.lines[index(large)].at(x, prior)
	}
	return time.Duration(math.Exp(min(max(y, 0), maxLog)) * float64(time.Second))
}

// Remaining returns the expected rest of a job that has run for done. A job
// that has outlived its expectation is expected to run for half as long again
// as it has run: the longer it ran, the longer it is likely to run.
func Remaining(total, done time.Duration) time.Duration {
	return max(total-done, done/2, minRun)
}
