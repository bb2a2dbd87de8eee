// Package estimate corrects declared run times.
//
// Declared run times are wrong by a factor, and the factor belongs to the
// caller more than to the job. The tracker therefore keeps, per team, an
// exponentially weighted mean of log(actual/declared) and, for jobs that
// declare nothing, of log(actual). The mean starts from a prior of no error
// with the weight of priorWeight observations, so that one odd job does not turn
// the correction. Memory is bounded by maxTeams; the team that was not updated
// for the longest time is dropped first.
//
// No guarantee depends on an estimate: estimates only order the queue and choose
// victims.
package estimate

import (
	"math"
	"time"
)

const (
	maxTeams = 64
	// decay is the weight of the newest observation once the prior has faded.
	decay       = 0.1
	priorWeight = 2.0
	// defaultRun stands for a job without a declaration in a team without
	// history.
	defaultRun = 10 * time.Minute
	// minRun avoids a logarithm of zero.
	minRun = time.Second
)

type team struct {
	ratio  average
	run    average
	update uint64
}

type average struct {
	n    float64
	mean float64
}

func (a *average) add(x float64) {
	a.n++
	a.mean += (x - a.mean) * max(decay, 1/(a.n+priorWeight))
}

// Tracker holds the corrections of all teams.
type Tracker struct {
	teams   map[string]*team
	updates uint64
}

// New returns a tracker without history.
func New() *Tracker { return &Tracker{teams: make(map[string]*team)} }

// Observe learns from a job that ended by itself.
func (t *Tracker) Observe(id string, declared, actual time.Duration) {
	e := t.team(id)
	actual = max(actual, minRun)
	if e.run.n == 0 {
		e.run.mean = math.Log(actual.Seconds())
	}
	e.run.add(math.Log(actual.Seconds()))
	if declared > 0 {
		declared = max(declared, minRun)
		e.ratio.add(math.Log(actual.Seconds() / declared.Seconds()))
	}
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
func (t *Tracker) Total(id string, declared time.Duration) time.Duration {
	e := t.teams[id]
	if declared <= 0 {
		if e == nil || e.run.n == 0 {
			return defaultRun
		}
		return time.Duration(math.Exp(e.run.mean) * float64(time.Second))
	}
	declared = max(declared, minRun)
	if e == nil {
		return declared
	}
	return time.Duration(float64(declared) * math.Exp(e.ratio.mean))
}

// Remaining returns the expected rest of a job that has run for done. A job
// that has outlived its expectation is expected to run for half as long again
// as it has run: the longer it ran, the longer it is likely to run.
func Remaining(total, done time.Duration) time.Duration {
	return max(total-done, done/2, minRun)
}
