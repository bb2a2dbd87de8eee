package replay

import (
	"fmt"
	"sort"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

const (
	// maxFaultyStarts bounds the failed starts on a faulty worker before the policy
	// has to quarantine it. Each probeInterval that the fault lasts allows one more,
	// since a worker in quarantine is probed.
	maxFaultyStarts = 3
	probeInterval   = 5 * time.Minute
	// maxReturnDelay bounds the time from the repair of a quarantined worker to the
	// end of its quarantine.
	maxReturnDelay = time.Hour
	// maxViolations bounds the list of recorded violations.
	maxViolations = 1000
)

// checkedJob is the checker's record of a job. It is built only from the events
// and decisions that the engine reports, not from the state of the engine or the
// policy.
type checkedJob struct {
	event          Event
	ranks          []int
	running        bool
	nonPreemptible bool
	final          bool
	cancelled      bool
	// guarantee is the index of the guarantee that the job claims, or -1.
	guarantee int
	// waitingSince is the time from which the start of a claim can be expected.
	waitingSince time.Time
	lateReported bool // a late start is already among the violations
}

// checkedWorker is the checker's record of a worker.
type checkedWorker struct {
	faulty         bool
	faultySince    time.Time
	failedStarts   int
	startsReported bool // too many failed starts are already among the violations
	quarantined    bool
	quarantinedAt  time.Time
	healthySince   time.Time
}

// usableSince returns the time from which a worker in quarantine could have been
// used again: the time of its repair or of its quarantine, whichever is later.
func (w *checkedWorker) usableSince() time.Time {
	if w.quarantinedAt.After(w.healthySince) {
		return w.quarantinedAt
	}
	return w.healthySince
}

// checker checks the scheduling requirements at every instant of a replay. A
// claim is a guaranteed or urgent job that has not ended; each one is matched with
// a guarantee of its team that covers its shape, if one is left.
type checker struct {
	pool           *pool
	guarantees     []model.Guarantee // each with count 1
	guaranteeTeams []string          // team of each guarantee
	claimants      []string          // job that claims each guarantee, or empty
	jobs           map[string]*checkedJob
	claimIDs       []string // jobs of the claims that have not ended, in order of submission
	workers        []checkedWorker
	dirty          bool       // claims or the pool have changed since the last instant
	claimsFit      bool       // the healthy pool held all claims at the last instant
	healthyPool    *pool      // healthy workers without any gang, nil if out of date
	guaranteesFit  packResult // whether healthyPool holds all guarantees

	violations         []string
	partialGangs       int // placements with fewer or more ranks than tasks
	overcommits        int
	unpackedGuarantees int
	unknownPackings    int // searches for a packing that ran out of their budget
	guaranteeLate      int
	urgentLate         int
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
				single := g
				single.Count = 1
				c.guarantees = append(c.guarantees, single)
				c.guaranteeTeams = append(c.guaranteeTeams, team.ID)
				c.claimants = append(c.claimants, "")
			}
		}
	}
	return c
}

func (c *checker) addViolation(now time.Time, job, text string) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("t=%d job=%s: %s", now.Sub(replayStart).Milliseconds(), job, text))
	}
}

func (c *checker) submitted(ev Event, now time.Time) {
	c.jobs[ev.Job] = &checkedJob{event: ev, guarantee: -1, waitingSince: now}
	if ev.Class != model.ClassPreemptible {
		c.claimIDs = append(c.claimIDs, ev.Job)
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
	c.workers[w] = checkedWorker{faulty: true, faultySince: now, quarantined: c.workers[w].quarantined, quarantinedAt: c.workers[w].quarantinedAt}
	c.poolChanged()
}

func (c *checker) workerHealthy(w int, now time.Time) {
	c.workers[w].faulty = false
	c.workers[w].healthySince = now
	c.poolChanged()
}

// setQuarantine records the start or, with on false, the end of the quarantine of
// a worker; a probe counts as the end. It is a violation if the quarantine ends
// more than maxReturnDelay after the worker could have been used again.
func (c *checker) setQuarantine(w int, on bool, now time.Time) {
	worker := &c.workers[w]
	if idle := now.Sub(worker.usableSince()); !on && worker.quarantined && !worker.faulty && idle > maxReturnDelay {
		c.addViolation(now, "", fmt.Sprintf("worker %s came back %v after it was healthy", c.pool.workers[w].ID, idle))
	}
	if on && !worker.quarantined {
		worker.quarantinedAt = now
	}
	worker.quarantined = on
}

// placed records a placement and checks it: all tasks of the gang must be placed,
// on workers that are up, within their free resources, and adjacent as the shape
// requires. The start of a claim must not be late.
func (c *checker) placed(id string, ranks []int, nonPreemptible bool, now time.Time) {
	j := c.jobs[id]
	c.checkClaimDelay(id, j, now)
	if len(ranks) != j.event.Tasks {
		c.partialGangs++
		c.addViolation(now, id, fmt.Sprintf("%d of %d tasks placed", len(ranks), j.event.Tasks))
	}
	allocate(c.pool.free, j.event.PerTask(), ranks)
	for _, w := range ranks {
		f := c.pool.free[w]
		if !c.pool.up[w] || f.Accelerators < 0 || f.Cores < 0 || f.MemoryGB < 0 {
			c.overcommits++
			c.addViolation(now, id, "worker "+c.pool.workers[w].ID+" is overcommitted or down")
			break
		}
	}
	if !c.isAdjacent(j.event.Adjacent, ranks) {
		c.addViolation(now, id, "tasks are not adjacent: "+string(j.event.Adjacent))
	}
	j.ranks, j.running, j.nonPreemptible = ranks, true, nonPreemptible
	c.dirty = c.dirty || nonPreemptible || j.event.Class != model.ClassPreemptible
}

// isAdjacent reports whether the workers of all ranks lie in one group of
// adjacency a.
func (c *checker) isAdjacent(a model.Adjacency, ranks []int) bool {
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
	release(c.pool.free, j.event.PerTask(), j.ranks)
	c.dirty = c.dirty || j.nonPreemptible || j.event.Class != model.ClassPreemptible
	j.ranks, j.running, j.nonPreemptible = nil, false, false
	j.waitingSince = now
	if end.Outcome == framework.OutcomeStartFailed && !j.event.NeverRuns {
		c.countFailedStart(c.pool.index[end.BlamedWorker], now)
	}
}

// countFailedStart records a violation, once for each fault, if a faulty worker
// has had too many failed starts.
func (c *checker) countFailedStart(w int, now time.Time) {
	worker := &c.workers[w]
	worker.failedStarts++
	allowed := maxFaultyStarts + int(now.Sub(worker.faultySince)/probeInterval)
	if worker.faulty && worker.failedStarts > allowed && !worker.startsReported {
		worker.startsReported = true
		c.addViolation(now, "", fmt.Sprintf("faulty worker %s had %d failed starts", c.pool.workers[w].ID, worker.failedStarts))
	}
}

func (c *checker) finished(id string, state model.JobState) {
	j := c.jobs[id]
	j.final = true
	c.dirty = c.dirty || j.event.Class != model.ClassPreemptible
	switch {
	case state == model.JobFailed && !j.event.NeverRuns:
		c.violations = append(c.violations, "job="+id+": failed, but it can run")
	case state == model.JobRefused && c.pool.fitsEmptyPool(j.event.Shape):
		c.violations = append(c.violations, "job="+id+": refused, but it fits the whole pool")
	}
}

// checkInstant checks guarantees and claims after all decisions of one instant.
func (c *checker) checkInstant(now time.Time) {
	if c.dirty {
		c.assignClaims(now)
		c.checkPacking(now)
		c.updateClaimsFit(now)
		c.dirty = false
	}
	c.checkWaitingClaims(now)
}

// assignClaims assigns free guarantees to claims without one: to running jobs
// first, then to waiting jobs, each in order of submission.
func (c *checker) assignClaims(now time.Time) {
	for i, id := range c.claimants {
		if id != "" && (c.jobs[id].final || c.jobs[id].cancelled) {
			c.claimants[i] = ""
			c.jobs[id].guarantee = -1
		}
	}
	open := c.claimIDs[:0]
	for _, id := range c.claimIDs {
		if !c.jobs[id].final {
			open = append(open, id)
		}
	}
	c.claimIDs = open
	for _, running := range []bool{true, false} {
		for _, id := range c.claimIDs {
			j := c.jobs[id]
			if j.running == running && j.guarantee < 0 && !j.cancelled {
				c.assignClaim(id, j, now)
			}
		}
	}
}

// assignClaim assigns the smallest free guarantee of the team that covers the
// shape of the job, if there is one.
func (c *checker) assignClaim(id string, j *checkedJob, now time.Time) {
	best := -1
	for i, g := range c.guarantees {
		if c.claimants[i] != "" || c.guaranteeTeams[i] != j.event.Team || !canClaim(j.event.Shape, g.Shape) {
			continue
		}
		if best < 0 || g.Accelerators() < c.guarantees[best].Accelerators() {
			best = i
		}
	}
	if best >= 0 {
		c.claimants[best] = id
		j.guarantee = best
		j.waitingSince = now
	}
}

// canClaim reports whether a job of shape s can use guarantee g.
func canClaim(s, g model.Shape) bool {
	if s.Tasks > g.Tasks || !s.PerTask().Fits(g.PerTask()) {
		return false
	}
	return s.Tasks == 1 || adjacencyScope[s.Adjacent] >= adjacencyScope[g.Adjacent]
}

// checkPacking checks that the guarantees that no non-preemptible job uses pack
// into what the non-preemptible jobs leave free of the healthy pool. It checks
// nothing while even the empty healthy pool can't hold all guarantees.
func (c *checker) checkPacking(now time.Time) {
	if c.healthyPool == nil {
		c.rebuildHealthyPool()
	}
	if c.guaranteesFit == packUnknown {
		c.unknownPackings++
	}
	if c.guaranteesFit != packs {
		return
	}
	healthyPool := c.healthyPool
	free := append([]model.Resources(nil), healthyPool.free...)
	for _, j := range c.jobs {
		if j.running && j.nonPreemptible {
			allocate(free, j.event.PerTask(), j.ranks)
		}
	}
	var unclaimed []model.Shape
	for i, g := range c.guarantees {
		if id := c.claimants[i]; id == "" || !c.jobs[id].running || !c.jobs[id].nonPreemptible {
			unclaimed = append(unclaimed, g.Shape)
		}
	}
	switch healthyPool.packAll(unclaimed, free) {
	case doesNotPack:
		c.unpackedGuarantees++
		c.addViolation(now, "", "guarantees that are not claimed do not pack")
	case packUnknown:
		c.unknownPackings++
	}
}

// rebuildHealthyPool makes an empty pool in which only workers that are up and
// not faulty can be used, and determines whether it holds all guarantees.
func (c *checker) rebuildHealthyPool() {
	c.healthyPool = newPool(c.pool.workers)
	for w := range c.workers {
		c.healthyPool.up[w] = c.pool.up[w] && !c.workers[w].faulty
	}
	all := make([]model.Shape, len(c.guarantees))
	for i, g := range c.guarantees {
		all[i] = g.Shape
	}
	c.guaranteesFit = c.healthyPool.packAll(all, c.healthyPool.free)
}

// poolChanged marks the healthy pool as out of date.
func (c *checker) poolChanged() {
	c.healthyPool = nil
	c.dirty = true
}

// updateClaimsFit determines whether the healthy pool holds all claims. When it
// becomes able to, the waiting time of all waiting claims starts anew.
func (c *checker) updateClaimsFit(now time.Time) {
	claimsFit := c.packsClaims()
	if claimsFit && !c.claimsFit {
		for _, id := range c.claimIDs {
			if j := c.jobs[id]; !j.running {
				j.waitingSince = now
			}
		}
	}
	c.claimsFit = claimsFit
}

// checkWaitingClaims checks how long each waiting claim has waited.
func (c *checker) checkWaitingClaims(now time.Time) {
	for _, id := range c.claimIDs {
		if j := c.jobs[id]; !j.running && !j.final {
			c.checkClaimDelay(id, j, now)
		}
	}
}

// checkClaimDelay records a violation, once for each job, if a claim with a
// guarantee waits longer than model.UrgentStartDeadline while all claims fit.
func (c *checker) checkClaimDelay(id string, j *checkedJob, now time.Time) {
	if c.claimsFit && j.guarantee >= 0 && !j.lateReported && !j.cancelled && now.Sub(j.waitingSince) > model.UrgentStartDeadline {
		c.recordLate(id, j, now)
	}
}

// packsClaims reports whether all claims with a guarantee fit the empty healthy
// pool.
func (c *checker) packsClaims() bool {
	var shapes []model.Shape
	for _, id := range c.claimIDs {
		if j := c.jobs[id]; j.guarantee >= 0 && !j.final {
			shapes = append(shapes, j.event.Shape)
		}
	}
	return c.healthyPool.packAll(shapes, c.healthyPool.free) == packs
}

func (c *checker) recordLate(id string, j *checkedJob, now time.Time) {
	j.lateReported = true
	if j.event.Class == model.ClassUrgent {
		c.urgentLate++
	} else {
		c.guaranteeLate++
	}
	c.addViolation(now, id, fmt.Sprintf("claim of class %s has waited %v", j.event.Class, now.Sub(j.waitingSince)))
}

func (c *checker) unfinishedJobs() []string {
	var open []string
	for id, j := range c.jobs {
		if !j.final {
			open = append(open, id)
		}
	}
	sort.Strings(open)
	return open
}

// checkEnd checks after the replay that every job has ended and that no healthy
// worker is still in quarantine.
func (c *checker) checkEnd(now time.Time) {
	for _, id := range c.unfinishedJobs() {
		c.addViolation(now, id, "the job has not ended")
	}
	for w, worker := range c.workers {
		if worker.quarantined && !worker.faulty && c.pool.up[w] && now.Sub(worker.usableSince()) > maxReturnDelay {
			c.addViolation(now, "", "worker "+c.pool.workers[w].ID+" is still in quarantine")
		}
	}
}
