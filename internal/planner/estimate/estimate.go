// Package estimate corrects declared run times.
//
// Declared run times are wrong by a factor of up to 5 or more in either direction.
// Part of the error is systematic for a team, the rest is noise. The tracker therefore
// keeps a regression of log(actual) on log(declared) per team, separately for large
// and small jobs. Its offset is the systematic error of the team. Its slope, below 1
// when the declarations are noisy, pulls extreme declarations towards the usual run
// time of the team. A correction by a factor alone keeps the noise: with it, a job
// declared at ten times its run time stayed at the end of the queue.
//
// A regression over all teams is the prior of each team. The prior of that regression
// has the slope priorSlope and no offset, so that the first estimate is the declared run
// time. Each prior has the weight of priorWeight observations.
// The weight of old observations decays by observationDecay with each new one. Memory
// is bounded by maxTeams: the least recently updated team is dropped first.
//
// No guarantee depends on an estimate. Estimates only order the queue and affect the
// choice of preemption victims.
package estimate

import (
	"math"
	"time"
)

const (
	maxTeams         = 64
	observationDecay = 0.99
	priorWeight      = 5.0
	priorSlope       = 0.8
	// defaultRunTime is assumed for a job without a declaration while no job of its
	// size class has ended.
	defaultRunTime = 10 * time.Minute
	// minRunTime is the shortest run time considered; it avoids a logarithm of zero.
	minRunTime = time.Second
	// maxLogSeconds is the upper bound of estimates as the natural logarithm of
	// seconds, about a year. It keeps them in the range of time.Duration.
	maxLogSeconds = 17.0
)

// fadingRegression is a linear regression of y on x in which the weight of older
// observations decays.
type fadingRegression struct {
	weight, meanX, meanY float64 // weight and means
	sxx, sxy             float64 // weighted sums of squares and products of deviations
}

// add adds an observation.
func (l *fadingRegression) add(x, y float64) {
	l.weight = l.weight*observationDecay + 1
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += dx / l.weight
	l.meanY += dy / l.weight
	l.sxx = l.sxx*observationDecay + dx*(x-l.meanX)
	l.sxy = l.sxy*observationDecay + dx*(y-l.meanY)
}

// predict returns the value and slope at x. prior returns the value and slope of the
// prior at a given point.
func (l *fadingRegression) predict(x float64, prior func(float64) (float64, float64)) (value, slope float64) {
	value, slope = prior(x)
	if l.weight == 0 {
		return value, slope
	}
	own := (l.sxy + priorWeight*slope) / (l.sxx + priorWeight)
	center, _ := prior(l.meanX)
	offset := (l.meanY - center) * l.weight / (l.weight + priorWeight)
	return center + offset + own*(x-l.meanX), own
}

// team holds the regressions of one team.
type team struct {
	regressions [2]fadingRegression // by sizeIndex
	lastUpdate  uint64              // value of Tracker.updates
}

// Tracker learns the corrections of all teams.
type Tracker struct {
	teams    map[string]*team
	allTeams [2]fadingRegression
	updates  uint64
}

// New returns a tracker without history.
func New() *Tracker { return &Tracker{teams: make(map[string]*team)} }

// Version returns a number that changes with every observation.
func (t *Tracker) Version() uint64 { return t.updates }

// TeamCount returns the number of teams with recorded observations.
func (t *Tracker) TeamCount() int { return len(t.teams) }

// sizeIndex returns the index of the regression for small or large jobs.
func sizeIndex(large bool) int {
	if large {
		return 1
	}
	return 0
}

// Observe records the run time of a job that ran to its end. A declared run time of 0
// means that none was declared.
func (t *Tracker) Observe(id string, large bool, declared, actual time.Duration) {
	if declared <= 0 {
		declared = t.meanRunTime(large)
	}
	x := math.Log(max(declared, minRunTime).Seconds())
	y := math.Log(max(actual, minRunTime).Seconds())
	t.teamToUpdate(id).regressions[sizeIndex(large)].add(x, y)
	t.allTeams[sizeIndex(large)].add(x, y)
}

// meanRunTime returns the geometric mean of the run times of all teams, and
// defaultRunTime without observations.
func (t *Tracker) meanRunTime(large bool) time.Duration {
	if l := t.allTeams[sizeIndex(large)]; l.weight > 0 {
		return time.Duration(math.Exp(l.meanY) * float64(time.Second))
	}
	return defaultRunTime
}

// teamToUpdate returns the record of a team for an update and counts the update. It
// creates the record if there is none.
func (t *Tracker) teamToUpdate(id string) *team {
	t.updates++
	e := t.teams[id]
	if e == nil {
		if len(t.teams) >= maxTeams {
			t.dropLeastRecentlyUpdated()
		}
		e = &team{}
		t.teams[id] = e
	}
	e.lastUpdate = t.updates
	return e
}

func (t *Tracker) dropLeastRecentlyUpdated() {
	oldest := ""
	for id, e := range t.teams {
		if oldest == "" || e.lastUpdate < t.teams[oldest].lastUpdate {
			oldest = id
		}
	}
	delete(t.teams, oldest)
}

// TotalRunTime returns the expected run time of a whole job. A declared run time of 0
// means that none was declared.
func (t *Tracker) TotalRunTime(id string, large bool, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = t.meanRunTime(large)
	}
	x := math.Log(max(declared, minRunTime).Seconds())
	first := func(x float64) (float64, float64) { return x, priorSlope }
	prior := func(x float64) (float64, float64) { return t.allTeams[sizeIndex(large)].predict(x, first) }
	y, _ := prior(x)
	if e := t.teams[id]; e != nil {
		y, _ = e.regressions[sizeIndex(large)].predict(x, prior)
	}
	return time.Duration(math.Exp(min(max(y, 0), maxLogSeconds)) * float64(time.Second))
}

// RemainingRunTime returns the expected remaining run time of a job that has run for
// done. Near and beyond its expected end, a job is expected to run for at least half
// as long again as it has run: the longer it ran, the longer it is likely to run.
func RemainingRunTime(total, done time.Duration) time.Duration {
	return max(total-done, done/2, minRunTime)
}
