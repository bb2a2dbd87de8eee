package callercost

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"snipegw/internal/workflow/framework"
)

const (
	// minMeanShare is the least share of a new job in the mean work of its queue, so that
	// old jobs do not weigh for ever.
	minMeanShare = 0.02
	// servedHalfLife is the time after which what a team asked for and was given counts
	// half. It spans several jobs of a team, and a burst is forgotten within a few minutes.
	servedHalfLife = 20 * time.Second
	// maxTeams bounds the number of teams that are remembered.
	maxTeams = 1024
	// forgottenDemand is the demand below which a team is forgotten, in core-seconds.
	forgottenDemand = 0.1
	// minJobs is the number of jobs from which their mean work is known well enough.
	minJobs = 3
	// equalCosts is the factor within which costs count as equal, because expected run
	// times are not more exact.
	equalCosts = 1.5
)

// Model is the plug-in: a framework.CostModel that knows the mean work of jobs by queue
// and how teams were served lately.
type Model struct {
	settings   Settings
	jobs       int // number of observed jobs
	queues     map[string]*meanWork
	teams      map[string]*service
	equalShare float64 // mean of what the teams were given lately, in core-seconds
	observedAt time.Time
}

// meanWork is the moving mean of the work of the jobs of a queue.
type meanWork struct {
	mean float64 // core-seconds
	jobs float64
}

// service is what a team asked for and was given lately, in core-seconds.
type service struct{ asked, served float64 }

// New returns a Model that has learned nothing.
func New(s Settings) *Model {
	return &Model{settings: s, queues: make(map[string]*meanWork), teams: make(map[string]*service)}
}

// MaxStops implements framework.CostModel.
func (m *Model) MaxStops() int { return m.settings.MaxStops }

// ObserveJob implements framework.CostModel.
func (m *Model) ObserveJob(queue string, work float64) {
	if work <= 0 || math.IsNaN(work) || math.IsInf(work, 0) {
		return
	}
	q := m.queues[queue]
	if q == nil {
		q = new(meanWork)
		m.queues[queue] = q
	}
	m.jobs++
	q.jobs++
	q.mean += max(1/q.jobs, minMeanShare) * (work - q.mean)
}

// Ready implements framework.CostModel.
func (m *Model) Ready() bool { return m.jobs >= minJobs }

// ObserveTeams implements framework.CostModel.
func (m *Model) ObserveTeams(uses []framework.TeamUse, now time.Time) {
	elapsed := max(0, now.Sub(m.observedAt)) // a clock may jump
	keep := math.Exp2(-elapsed.Seconds() / servedHalfLife.Seconds())
	m.observedAt = now
	for _, u := range uses {
		if m.teams[u.Team] == nil && len(m.teams) < maxTeams {
			m.teams[u.Team] = new(service)
		}
	}
	for _, t := range m.teams {
		t.asked, t.served = t.asked*keep, t.served*keep
	}
	for _, u := range uses {
		if t := m.teams[u.Team]; t != nil {
			t.asked += max(0, u.Asked)
			t.served += max(0, u.Served)
		}
	}
	for name, t := range m.teams {
		if t.asked < forgottenDemand {
			delete(m.teams, name)
		}
	}
	m.equalShare = 0
	for _, name := range slices.Sorted(maps.Keys(m.teams)) { // sums depend on the order
		m.equalShare += m.teams[name].served / float64(len(m.teams))
	}
}

// share returns the share of what a team asked for lately that it was given. A team asks
// for no more than an equal share of the pool in this measure, so that one that floods
// does not count as badly served.
func (m *Model) share(team string) float64 {
	t := m.teams[team]
	if t == nil {
		return 1
	}
	if owed := min(t.asked, m.equalShare); owed > 0 {
		return min(1, t.served/owed)
	}
	return 1
}

// Worth implements framework.CostModel.
func (m *Model) Worth(j framework.Job) float64 {
	mean := 0.0
	if q := m.queues[j.Queue]; q != nil {
		mean = q.mean
	}
	return Worth(m.settings.Weight(j.Priority), j.Work, mean)
}

// Cost implements framework.CostModel.
func (m *Model) Cost(j framework.Job, horizon time.Duration, now time.Time) framework.Cost {
	c := CostOf(m.Worth(j), m.settings.LateShare, &j, horizon, now)
	c.Overdue = !j.FirstReady.IsZero() && now.Sub(j.FirstReady) > m.settings.MaxDelay()
	c.Served = m.share(j.Team)
	return c
}

// Value implements framework.CostModel.
func (m *Model) Value(j framework.Job, now time.Time, delay time.Duration) float64 {
	return Value(m.Worth(j), m.settings.LateShare, &j, now, delay)
}

// Compare implements framework.CostModel. The value at risk by room decides, in steps
// within which the team that was served least goes first.
func (m *Model) Compare(a, b framework.Cost) int {
	if m.settings.Order != OrderCost {
		return 0
	}
	return cmp.Or(
		cmp.Compare(step(b), step(a)),
		cmp.Compare(math.Round(servedSteps*a.Served), math.Round(servedSteps*b.Served)),
	)
}

// servedSteps is the number of steps in which the shares of teams are compared.
const servedSteps = 5

// step returns the power of equalCosts that is nearest to the value at risk by room.
func step(c framework.Cost) float64 {
	return math.Round(math.Log(max(c.Density(), minDensity)) / math.Log(equalCosts))
}

// minDensity is the value at risk by core-second below which costs count as nothing. A
// job of a hundred cores and a minute puts less than a hundredth at risk there.
const minDensity = 1e-6

// State implements framework.Plugin.
func (m *Model) State(time.Time) any {
	s := State{Settings: m.settings, MeanWork: make(map[string]float64), Served: make(map[string]float64)}
	for name, q := range m.queues {
		s.MeanWork[name] = q.mean
	}
	for name := range m.teams {
		s.Served[name] = m.share(name)
	}
	return s
}

// State describes the plug-in in the debug dump.
type State struct {
	Settings Settings `json:"settings"`
	// MeanWork is the mean work of jobs by queue, in core-seconds.
	MeanWork map[string]float64 `json:"mean_work"`
	// Served is the share of what a team asked for lately that it was given.
	Served map[string]float64 `json:"served"`
}
