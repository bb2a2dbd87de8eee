package engine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"snipegw/internal/workflow/framework"
)

const (
	// maxDemandInterval bounds the time since the latest decision for which demand is
	// counted, because clocks may jump.
	maxDemandInterval = time.Second
	// maxCostHorizon bounds the time in which room is expected to fall free. A pool of
	// long runs still frees some of its room every minute.
	maxCostHorizon = time.Minute
)

// decisionCosts holds what the cost model needs during one decision.
type decisionCosts struct {
	model framework.CostModel
	// horizon is the mean time until the room in use falls free, weighted by room.
	horizon time.Duration
	// roomPrice is the value of a core-second of the pool: what the open jobs that are
	// not of priority 0 are worth by their work.
	roomPrice float64
	jobs      map[*job]framework.Job // cache of describeJob
}

// updateCosts prepares the costs for a decision at now. It sets e.costs to nil if there
// is no model or it knows too little.
func (e *Engine) updateCosts(now time.Time) {
	e.costs = nil
	model := e.plugins.cost
	if model == nil {
		return
	}
	for _, j := range e.openJobs {
		if !j.costObserved && !j.rec.LongRunning() {
			j.costObserved = true
			model.ObserveJob(j.rec.Queue, e.jobWork(j))
		}
	}
	e.observeTeams(model, now)
	if !model.Ready() {
		return
	}
	e.costs = &decisionCosts{model: model, horizon: e.costHorizon(now), jobs: make(map[*job]framework.Job)}
	worth, work := 0.0, 0.0
	for _, j := range e.openJobs {
		if e.config.PriorityOf(j.rec) != 0 && !j.cancelled && !j.rec.LongRunning() {
			d := e.describeJob(j, 0)
			worth, work = worth+model.Worth(d), work+d.Work
		}
	}
	if work > 0 {
		e.costs.roomPrice = worth / work
	}
}

// observeTeams passes to the model what the teams have asked for, and what they were
// given, since the latest decision.
func (e *Engine) observeTeams(model framework.CostModel, now time.Time) {
	elapsed := min(max(now.Sub(e.demandAt), 0), maxDemandInterval).Seconds()
	e.demandAt = now
	uses := make(map[string]framework.TeamUse)
	for _, j := range e.openJobs {
		if j.cancelled {
			continue
		}
		use := uses[j.rec.Team]
		for _, u := range j.units {
			if u.done {
				continue
			}
			cores := float64(u.milliCores()) / 1000 * elapsed
			switch {
			case u.isActive():
				use.Asked, use.Served = use.Asked+cores, use.Served+cores
			case now.UnixMilli() >= j.dueMS(u.occurrence) && j.dependenciesDone(u.occurrence, u.step):
				use.Asked += cores
			}
		}
		use.Team = j.rec.Team
		uses[j.rec.Team] = use
	}
	sorted := make([]framework.TeamUse, 0, len(uses))
	for _, team := range slices.Sorted(maps.Keys(uses)) {
		sorted = append(sorted, uses[team])
	}
	model.ObserveTeams(sorted, now)
}

// costHorizon returns the mean time until the room in use falls free, weighted by room.
func (e *Engine) costHorizon(now time.Time) time.Duration {
	sum, weight := 0.0, 0.0
	for _, j := range e.openJobs {
		for _, u := range j.units {
			if u.isActive() && !u.spec().LongRunning {
				room := float64(u.milliCores())
				sum, weight = sum+room*e.remaining(u, now).Seconds(), weight+room
			}
		}
	}
	if weight == 0 {
		return 0
	}
	return min(time.Duration(sum/weight*float64(time.Second)), maxCostHorizon)
}

// jobWork returns the expected work of all items of an occurrence of j, in core-seconds.
func (e *Engine) jobWork(j *job) float64 {
	work := 0.0
	for s := range j.rec.Steps {
		step := &j.rec.Steps[s]
		work += float64(step.Count) * float64(weightedMilliCores(step.Needs())) / 1000 * e.estimates.stepDuration(j.rec.Queue, step).Seconds()
	}
	return work
}

// describeJob returns an occurrence of j as the cost model sees it.
func (e *Engine) describeJob(j *job, occurrence int) framework.Job {
	if d, ok := e.costs.jobs[j]; ok && j.rec.Occurrences == 0 {
		return d
	}
	begin := j.begin(occurrence)
	d := framework.Job{
		ID: j.id, Queue: j.rec.Queue, Team: j.rec.Team, Priority: e.config.PriorityOf(j.rec), Begin: begin, FirstReady: begin,
		Objective: e.objective(j, occurrence), Remaining: e.criticalPath(j, occurrence, false), Spread: e.estimates.spread(j.rec.Queue),
		Work: e.jobWork(j), LongRunning: j.rec.LongRunning(),
	}
	for s := range j.stages[occurrence] {
		for _, u := range j.stages[occurrence][s].units {
			if !u.done && !u.isActive() {
				d.WorkLeft += float64(u.milliCores()) / 1000 * e.estimates.duration(u).Seconds()
			}
		}
	}
	if d.LongRunning {
		d.Work, d.WorkLeft = 0, 0
		for _, u := range j.units {
			if !u.isActive() {
				d.WorkLeft += float64(u.milliCores()) / 1000 * e.costs.horizon.Seconds()
			}
		}
	}
	e.costs.jobs[j] = d
	return d
}

// setCost sets the cost of a candidate, by the occurrence of its first unit.
func (e *Engine) setCost(c *candidate, now time.Time) {
	if e.costs != nil {
		c.cost = e.costs.model.Cost(e.describeJob(c.job, c.units[0].occurrence), e.costs.horizon, now)
	}
}

// compareOverdue puts jobs that have waited too long before the others of their class, in
// the order of their acceptance. Jobs within guarantees keep their order: the time in
// which they must start is a rule.
func (e *Engine) compareOverdue(a, b *candidate) int {
	switch {
	case e.costs == nil || a.class == classGuaranteed || !a.cost.Overdue && !b.cost.Overdue:
		return 0
	case a.cost.Overdue && b.cost.Overdue:
		return cmp.Compare(a.job.rec.AcceptedMS, b.job.rec.AcceptedMS)
	case a.cost.Overdue:
		return -1
	}
	return 1
}

// compareByCost orders two candidates of one class by what their delay costs, 0 if costs
// do not tell.
func (e *Engine) compareByCost(a, b *candidate) int {
	if e.costs == nil || a.class == classGuaranteed {
		return 0
	}
	return e.costs.model.Compare(a.cost, b.cost)
}

// waitingCost returns what a further delay of j costs, nil if none of its units waits or
// there is no cost model. It uses the costs of the latest decision.
func (e *Engine) waitingCost(j *job, now time.Time) *framework.Cost {
	if e.costs == nil || j.cancelled {
		return nil
	}
	units := e.readyUnits(j, now)
	if len(units) == 0 {
		return nil
	}
	c := e.costs.model.Cost(e.describeJob(j, units[0].occurrence), e.costs.horizon, now)
	return &c
}

// costReason says what a delay of j costs and what it is weighed against: the jobs of its
// class that hold room or wait, in the same measure. It is empty without a cost model.
func (e *Engine) costReason(j *job, now time.Time) string {
	own := e.waitingCost(j, now)
	if own == nil {
		return ""
	}
	text := fmt.Sprintf("; a second of delay costs %.3f of its value of %.2f, for %.0f core-seconds of room", own.PerSecond, own.Value, own.Room)
	var rival *job
	var most *framework.Cost
	for _, o := range e.openJobs {
		if o == j || e.classOf(o) != e.classOf(j) {
			continue
		}
		if c := e.waitingCost(o, now); c != nil && (most == nil || c.Density() > most.Density()) {
			rival, most = o, c
		}
	}
	if rival == nil {
		return text
	}
	return text + fmt.Sprintf("; of the jobs of its class that wait, %s has most at risk by room: %.3f of %.2f a second, for %.0f core-seconds",
		rival.id, most.PerSecond, most.Value, most.Room)
}
