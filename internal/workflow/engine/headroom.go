package engine

import "time"

const (
	// headroomShare is the share of the usable accelerators and processors that is
	// kept free for jobs of priority 0. These arrive at any time and must start at
	// once; without headroom each of them preempts others, whose work is lost.
	headroomShare = 0.12
	// headroomMinUsage is the share in use from which headroom is kept. Below it no
	// job has to wait.
	headroomMinUsage = 0.5
	// headroomMinLead is the least time before its latest start from which a unit
	// may use the headroom.
	headroomMinLead = 2 * time.Second
	// headroomDurationDivisor divides a unit's expected run time; the quotient is
	// how long before its latest start the unit may use the headroom, if that is
	// more than headroomMinLead. Large units get longer, because it takes time
	// until enough resources are free for them.
	headroomDurationDivisor = 2
)

// mustLeaveHeadroom reports whether a unit that could start has to wait, because it
// can wait and its start would leave too little free for jobs of priority 0.
func (e *Engine) mustLeaveHeadroom(u *unit, c *candidate, r *freeResources, now time.Time) bool {
	if e.policy.noHeadroom || c.class != classOther || u.spec().LongRunning || !e.canWait(u, c, now) {
		return false
	}
	freeSum, totalSum := r.totals()
	free, total := [2]int64{freeSum.Accelerators, freeSum.MilliCPU}, [2]int64{totalSum.Accelerators, totalSum.MilliCPU}
	needs := u.spec().Needs()
	requested := [2]int64{int64(u.count) * needs.Accelerators, int64(u.count) * needs.MilliCPU}
	for i := range requested {
		used := float64(total[i] - free[i])
		if used >= headroomMinUsage*float64(total[i]) && float64(free[i]-requested[i]) < headroomShare*float64(total[i]) {
			return true
		}
	}
	return false
}

// canUnitWait is canWait for a unit whose job is not at hand as a candidate.
func (e *Engine) canUnitWait(u *unit, now time.Time) bool {
	c := &candidate{job: u.job, units: []*unit{u}, class: e.classOf(u.job)}
	if c.class != classOther {
		return false
	}
	e.computeUrgency(c, now)
	return e.canWait(u, c, now)
}

// canWait reports whether a unit has time to wait without missing its objective,
// or is so late that its completion is of no more use.
func (e *Engine) canWait(u *unit, c *candidate, now time.Time) bool {
	switch c.lateness {
	case 0: // can still meet its objective
		return now.Add(max(headroomMinLead, e.estimates.duration(u)/headroomDurationDivisor)).Before(c.startBy)
	case 1: // late, but its completion is still of use
		return false
	}
	return true
}
