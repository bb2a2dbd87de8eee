package engine

import "time"

const (
	// headroomShare of the usable accelerators and processors is kept free for
	// jobs of priority 0, which arrive at any time and must start at once. Without
	// it each of them stops others, and the work of those is lost.
	headroomShare = 0.12
	// headroomSlack is the time before its latest start from which a job may use
	// the headroom.
	headroomSlack = 2 * time.Second
)

// keepsHeadroom reports whether a unit that could start has to wait, because it
// is not urgent and would leave too little for jobs of priority 0.
func (e *Engine) keepsHeadroom(u *unit, c *candidate, r *room, now time.Time) bool {
	if c.class != classOther || u.spec().LongRunning || c.tier == 0 && now.Add(headroomSlack).After(c.urgency) {
		return false
	}
	var free, total [2]int64
	for _, w := range r.workers {
		f, t := r.free[w], w.announced.Capacity
		free[0], total[0] = free[0]+max(f.Accelerators, 0), total[0]+t.Accelerators
		free[1], total[1] = free[1]+max(f.MilliCPU, 0), total[1]+t.MilliCPU
	}
	needs := u.spec().Needs()
	left := [2]int64{free[0] - int64(u.count)*needs.Accelerators, free[1] - int64(u.count)*needs.MilliCPU}
	for i := range left {
		if float64(left[i]) < headroomShare*float64(total[i]) && total[i] > 0 {
			return true
		}
	}
	return false
}
