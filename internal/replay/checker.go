package replay

import (
	"fmt"
	"sort"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

const (
	// maxFailedStarts bounds the failed starts on a faulty worker before it is
	// out of use; probeAllowance adds one for each such time of the fault, for
	// the probes of a quarantined worker.
	maxFailedStarts = 3
	probeAllowance  = 5 * time.Minute
	// returnLimit bounds the time from the repair of a worker to the end of its
	// quarantine.
	returnLimit = time.Hour
	// maxViolations bounds the list of violations.
	maxViolations = 1000
)

// checkedJob is the checker's record of a job, kept from the events alone.
type checkedJob struct {
	event      Event
	ranks      []int
	running    bool
	nonPreempt bool
	final      bool
	cancelled  bool
	// claim is the index of the guarantee that the job claims, or -1.
	claim int
	// since is the time from which the claim can be honoured.
	since time.Time
	late  bool
}

// checkedWorker is the checker's record of a worker.
type checkedWorker struct {
	faulty       bool
	faultySince  time.Time
	failedStarts int
	reported     bool
	quarantined  bool
	quarantineAt time.Time
	healthySince time.Time
}

// idleSince returns the time from which a worker in quarantine could have been
// used again: its repair, or its quarantine if that came later.
func (w *checkedWorker) idleSince() time.Time {
	if w.quarantineAt.After(w.healthySince) {
		return w.quarantineAt
	}
	return w.healthySince
}

// checker checks the stated outcomes at every instant.
type checker struct {
	pool       *pool
	guarantees []model.Guarantee // each with count 1
	owner      []string          // team of each guarantee
	taken      []string          // job that claims it
	jobs       map[string]*checkedJob
	claims     []string // guaranteed and urgent jobs that have not ended, in order
	workers    []checkedWorker
	dirty      bool    // claims or the pool have changed since the last instant
	held       bool    // the healthy pool held all claims at the last instant
	healthy    *pool   // empty pool of healthy workers, nil if out of date
	holdsAll   packing // whether healthy holds all guarantees

	violations    []string
	partial       int
	overcommits   int
	unpacked      int
	unknown       int
	guaranteeLate int
	urgentLate    int
}

func newChecker(t *Trace) *checker {
	c := &checker{
		pool:    newPool(t.Workers),
		jobs:    make(map[string]*checkedJob),
		workers: make([]checkedWorker, len(t.Workers)),
		dirty:   true,
	}
	for _, team := range t.Teams {
		for _, g := range team.Guarantees {
			for range g.Count {
				one := g
				one.Count = 1
				c.guarantees = append(c.guarantees, one)
				c.owner = append(c.owner, team.ID)
				c.taken = append(c.taken, "")
			}
		}
	}
	return c
}

func (c *checker) violation(now time.Time, job, text string) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("t=%d job=%s: %s", now.Sub(epoch).Milliseconds(), job, text))
	}
}

func (c *checker) submitted(ev Event, now time.Time) {
	c.jobs[ev.Job] = &checkedJob{event: ev, claim: -1, since: now}
	if ev.Class != model.ClassPreemptible {
		c.claims = append(c.claims, ev.Job)
		c.dirty = true
	}
}

func (c *checker) cancelled(id string) { c.jobs[id].cancelled = true }

func (c *checker) workerDown(w int) {
	c.pool.up[w] = false
	c.poolChanged()
}

func (c *checker) workerUp(w int) {
	c.pool.up[w] = true
	c.poolChanged()
}

func (c *checker) workerFaulty(w int, now time.Time) {
	c.workers[w] = checkedWorker{faulty: true, faultySince: now, quarantined: c.workers[w].quarantined, quarantineAt: c.workers[w].quarantineAt}
	c.poolChanged()
}

func (c *checker) workerHealthy(w int, now time.Time) {
	c.workers[w].faulty = false
	c.workers[w].healthySince = now
	c.poolChanged()
}

func (c *checker) quarantine(w int, on bool, now time.Time) {
	cw := &c.workers[w]
	if idle := now.Sub(cw.idleSince()); !on && cw.quarantined && !cw.faulty && idle > returnLimit {
		c.violation(now, "", fmt.Sprintf("worker %s came back %v after it was healthy", c.pool.workers[w].ID, idle))
	}
	if on && !cw.quarantined {
		cw.quarantineAt = now
	}
	cw.quarantined = on
}

// placed checks a placement: the whole gang, on workers that are up, within
// their resources, and adjacent.
func (c *checker) placed(id string, ranks []int, nonPreempt bool, now time.Time) {
	j := c.jobs[id]
	c.checkClaim(id, j, now)
	if len(ranks) != j.event.Tasks {
		c.partial++
		c.violation(now, id, fmt.Sprintf("%d of %d tasks placed", len(ranks), j.event.Tasks))
	}
	take(c.pool.free, j.event.PerTask(), ranks)
	for _, w := range ranks {
		f := c.pool.free[w]
		if !c.pool.up[w] || f.Accelerators < 0 || f.Cores < 0 || f.MemoryGB < 0 {
			c.overcommits++
			c.violation(now, id, "worker "+c.pool.workers[w].ID+" is overcommitted or down")
			break
		}
	}
	if !c.adjacent(j.event.Adjacent, ranks) {
		c.violation(now, id, "tasks are not adjacent: "+string(j.event.Adjacent))
	}
	j.ranks, j.running, j.nonPreempt = ranks, true, nonPreempt
	c.dirty = c.dirty || nonPreempt || j.event.Class != model.ClassPreemptible
}

func (c *checker) adjacent(a model.Adjacency, ranks []int) bool {
	for _, w := range ranks[min(1, len(ranks)):] {
		x, y := c.pool.workers[w], c.pool.workers[ranks[0]]
		switch a {
		case model.AdjacentHost:
			if x.ID != y.ID {
				return false
			}
		case model.AdjacentRack:
			if x.Rack != y.Rack {
				return false
			}
		case model.AdjacentFailureDomain:
			if x.FailureDomain != y.FailureDomain {
				return false
			}
		}
	}
	return true
}

func (c *checker) ended(id string, end framework.AttemptEnd, now time.Time) {
	j := c.jobs[id]
	give(c.pool.free, j.event.PerTask(), j.ranks)
	c.dirty = c.dirty || j.nonPreempt || j.event.Class != model.ClassPreemptible
	j.ranks, j.running, j.nonPreempt = nil, false, false
	j.since = now
	if end.Outcome == framework.OutcomeStartFailed && !j.event.NeverRuns {
		c.failedStart(c.pool.index[end.BlamedWorker], now)
	}
}

func (c *checker) failedStart(w int, now time.Time) {
	cw := &c.workers[w]
	cw.failedStarts++
	allowed := maxFailedStarts + int(now.Sub(cw.faultySince)/probeAllowance)
	if cw.faulty && cw.failedStarts > allowed && !cw.reported {
		cw.reported = true
		c.violation(now, "", fmt.Sprintf("faulty worker %s had %d failed starts", c.pool.workers[w].ID, cw.failedStarts))
	}
}

func (c *checker) finished(id string, state model.JobState) {
	j := c.jobs[id]
	j.final = true
	c.dirty = c.dirty || j.event.Class != model.ClassPreemptible
	switch {
	case state == model.JobFailed && !j.event.NeverRuns:
		c.violations = append(c.violations, "job="+id+": failed, but it can run")
	case state == model.JobRefused && c.pool.fitsEmpty(j.event.Shape):
		c.violations = append(c.violations, "job="+id+": refused, but it fits the whole pool")
	}
}

// instant checks guarantees and claims after all decisions of an instant.
func (c *checker) instant(now time.Time) {
	if c.dirty {
		c.assignClaims(now)
		c.checkPacking(now)
		c.updateHeld(now)
		c.dirty = false
	}
	c.checkLate(now)
}

// assignClaims gives each guarantee to the jobs that claim it: those that run
// first, then in order of submission.
func (c *checker) assignClaims(now time.Time) {
	for i, id := range c.taken {
		if id != "" && (c.jobs[id].final || c.jobs[id].cancelled) {
			c.taken[i] = ""
			c.jobs[id].claim = -1
		}
	}
	open := c.claims[:0]
	for _, id := range c.claims {
		if !c.jobs[id].final {
			open = append(open, id)
		}
	}
	c.claims = open
	for _, running := range []bool{true, false} {
		for _, id := range c.claims {
			j := c.jobs[id]
			if j.running == running && j.claim < 0 && !j.cancelled {
				c.assignClaim(id, j, now)
			}
		}
	}
}

func (c *checker) assignClaim(id string, j *checkedJob, now time.Time) {
	best := -1
	for i, g := range c.guarantees {
		if c.taken[i] != "" || c.owner[i] != j.event.Team || !within(j.event.Shape, g.Shape) {
			continue
		}
		if best < 0 || g.Accelerators() < c.guarantees[best].Accelerators() {
			best = i
		}
	}
	if best >= 0 {
		c.taken[best] = id
		j.claim = best
		j.since = now
	}
}

// within reports whether a job of shape s can use guarantee g.
func within(s, g model.Shape) bool {
	if s.Tasks > g.Tasks || !s.PerTask().Fits(g.PerTask()) {
		return false
	}
	return s.Tasks == 1 || tightness[s.Adjacent] >= tightness[g.Adjacent]
}

// checkPacking checks that unclaimed guarantees pack into the healthy pool
// less what runs non-preemptibly, if the empty healthy pool holds them all.
func (c *checker) checkPacking(now time.Time) {
	if c.healthy == nil {
		c.rebuildHealthy()
	}
	if c.holdsAll == packUnknown {
		c.unknown++
	}
	if c.holdsAll != packs {
		return
	}
	healthy := c.healthy
	free := append([]model.Resources(nil), healthy.free...)
	for _, j := range c.jobs {
		if j.running && j.nonPreempt {
			take(free, j.event.PerTask(), j.ranks)
		}
	}
	var unclaimed []model.Shape
	for i, g := range c.guarantees {
		if id := c.taken[i]; id == "" || !c.jobs[id].running || !c.jobs[id].nonPreempt {
			unclaimed = append(unclaimed, g.Shape)
		}
	}
	switch healthy.packAll(unclaimed, free) {
	case doesNotPack:
		c.unpacked++
		c.violation(now, "", "guarantees that are not claimed do not pack")
	case packUnknown:
		c.unknown++
	}
}

// rebuildHealthy makes the empty pool of the workers that are up and not
// faulty, and tells whether it holds all guarantees.
func (c *checker) rebuildHealthy() {
	c.healthy = newPool(c.pool.workers)
	for w := range c.workers {
		c.healthy.up[w] = c.pool.up[w] && !c.workers[w].faulty
	}
	all := make([]model.Shape, len(c.guarantees))
	for i, g := range c.guarantees {
		all[i] = g.Shape
	}
	c.holdsAll = c.healthy.packAll(all, c.healthy.free)
}

// poolChanged marks the healthy pool as out of date.
func (c *checker) poolChanged() {
	c.healthy = nil
	c.dirty = true
}

// updateHeld restarts the clocks of waiting claims when the healthy pool becomes
// able to hold all claims.
func (c *checker) updateHeld(now time.Time) {
	held := c.holdsClaims()
	if held && !c.held {
		for _, id := range c.claims {
			if j := c.jobs[id]; !j.running {
				j.since = now
			}
		}
	}
	c.held = held
}

// checkLate checks the claims that wait.
func (c *checker) checkLate(now time.Time) {
	for _, id := range c.claims {
		if j := c.jobs[id]; !j.running && !j.final {
			c.checkClaim(id, j, now)
		}
	}
}

func (c *checker) checkClaim(id string, j *checkedJob, now time.Time) {
	if c.held && j.claim >= 0 && !j.late && !j.cancelled && now.Sub(j.since) > model.UrgentStartDeadline {
		c.recordLate(id, j, now)
	}
}

func (c *checker) holdsClaims() bool {
	var shapes []model.Shape
	for _, id := range c.claims {
		if j := c.jobs[id]; j.claim >= 0 && !j.final {
			shapes = append(shapes, j.event.Shape)
		}
	}
	return c.healthy.packAll(shapes, c.healthy.free) == packs
}

func (c *checker) recordLate(id string, j *checkedJob, now time.Time) {
	j.late = true
	if j.event.Class == model.ClassUrgent {
		c.urgentLate++
	} else {
		c.guaranteeLate++
	}
	c.violation(now, id, fmt.Sprintf("claim of class %s has waited %v", j.event.Class, now.Sub(j.since)))
}

func (c *checker) openJobs() []string {
	var open []string
	for id, j := range c.jobs {
		if !j.final {
			open = append(open, id)
		}
	}
	sort.Strings(open)
	return open
}

// close checks the end of the replay.
func (c *checker) close(now time.Time) {
	for _, id := range c.openJobs() {
		c.violation(now, id, "the job has not ended")
	}
	for w, cw := range c.workers {
		if cw.quarantined && !cw.faulty && c.pool.up[w] && now.Sub(cw.idleSince()) > returnLimit {
			c.violation(now, "", "worker "+c.pool.workers[w].ID+" is still in quarantine")
		}
	}
}
