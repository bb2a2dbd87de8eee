package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// jobWaitReason returns a sentence that says why the first unit of j without a run
// waits, or else which run may be lost, empty if neither holds. The parameter r holds the
// free resources at now.
func (e *Engine) jobWaitReason(j *job, r *freeResources, now time.Time) string {
	if j.cancelled {
		return "the job is cancelled; its runs are being stopped"
	}
	if j.givenUp {
		return "workers have crashed under an item, which is given up; the other runs are being stopped"
	}
	if e.attemptsExhausted(j) {
		return "an item has used all its attempts; the other runs are being stopped"
	}
	for _, u := range j.units {
		if !u.done && !u.isActive() {
			return fmt.Sprintf("item %s %s", u.itemRef(u.first), e.unitWaitReason(u, r, now)) + e.costReason(j, now)
		}
	}
	return e.silenceReason(j, now)
}

// unitWaitReason says what a unit without a run waits for. The text continues a
// sentence that begins with the name of the item.
func (e *Engine) unitWaitReason(u *unit, r *freeResources, now time.Time) string {
	j := u.job
	if due := j.dueMS(u.occurrence); now.UnixMilli() < due {
		return fmt.Sprintf("is due in %v", (time.Duration(due-now.UnixMilli()) * time.Millisecond).Round(100*time.Millisecond))
	}
	for _, dep := range u.spec().After {
		if unitsLeft := j.stages[u.occurrence][dep].unitsLeft; unitsLeft > 0 {
			return fmt.Sprintf("waits for step %d, of which %d units are left", dep, unitsLeft)
		}
	}
	if now.Before(u.notBefore) {
		text := fmt.Sprintf("backs off for %v after its last run", u.notBefore.Sub(now).Round(10*time.Millisecond))
		if crashes := u.crashTotal(); crashes > 0 {
			text += fmt.Sprintf(", as workers have crashed under it (%d so far)", crashes)
		}
		return text
	}
	c := &candidate{job: j, units: []*unit{u}, class: e.classOf(j)}
	e.computeUrgency(c, now)
	if placement := e.place(u, r); placement != nil {
		if fast, some := e.avoidSlow(u, c, r, now); some && e.place(u, fast) == nil {
			return "fits, but only on workers that are too slow for its objective"
		}
		if e.mustLeaveHeadroom(u, c, placement, r, now) {
			return fmt.Sprintf("fits, but can wait for %v and would use the headroom that is kept for jobs of priority 0 (%v)",
				e.headroomWaitEnd(u, c).Sub(now).Round(100*time.Millisecond), e.keptHeadroom(e.config.ServiceOf(j.rec), r, now))
		}
		return "fits, but the resources are reserved for units before it, or it starts with the next decision"
	}
	return "finds no room: " + e.describeShortage(u, r)
}

// describeShortage compares the needs of u with the free resources of the usable
// workers.
func (e *Engine) describeShortage(u *unit, r *freeResources) string {
	needs := u.spec().Needs()
	var suitable, withSpace, excluding, evacuated int
	var totalFree, mostFree int64
	for _, w := range r.workers {
		if !e.isEligible(u, w) {
			continue
		}
		suitable++
		totalFree += max(r.free[w.index].Accelerators, 0)
		mostFree = max(mostFree, r.free[w.index].Accelerators)
		switch {
		case !r.mayShare(u, w):
			excluding++
		case itemsThatFit(u, w, r.free[w.index]) > 0:
			withSpace++
		}
	}
	for _, w := range e.sortedWorkers {
		if w.announcement != nil && e.isEvacuated(w) && e.isEligible(u, w) {
			evacuated++
		}
	}
	var limits []string
	if s := u.spec(); s.Label != "" {
		limits = append(limits, "label "+s.Label)
	}
	if e.awaitsRack(u, r) {
		limits = append(limits, "one rack")
	}
	text := fmt.Sprintf("needs %d x (%d accelerators, %d millicores, %d MB)", u.count, needs.Accelerators, needs.MilliCPU, needs.MemoryMB)
	if len(limits) > 0 {
		text += " with " + strings.Join(limits, " and ")
	}
	text += fmt.Sprintf("; of %d workers %d are usable and suit it, with %d accelerators free, at most %d on one, and %d have room for an item",
		len(e.workers), suitable, totalFree, mostFree, withSpace)
	if excluding > 0 {
		text += fmt.Sprintf("; %d hold items beside which it must not run, because filling items disturb serving ones", excluding)
	}
	if e.awaitsRack(u, r) && !u.rackWaitSince.IsZero() {
		text += fmt.Sprintf("; it starts on several racks, which takes %d times as long, in %v at the latest",
			remoteFactor, (e.maxRackWait(u, r) - r.now.Sub(u.rackWaitSince)).Round(100*time.Millisecond))
	}
	if evacuated > 0 {
		text += fmt.Sprintf("; %d that suit it are in evacuated failure domains (%s)", evacuated, strings.Join(sortedKeys(e.evacuations), ", "))
	}
	return text
}

// activeNodes returns the sorted nodes on which items of j may be running.
func (j *job) activeNodes() []string {
	var nodes []string
	for _, u := range j.units {
		for _, m := range u.members {
			if m.end == "" && !slices.Contains(nodes, m.worker.node) {
				nodes = append(nodes, m.worker.node)
			}
		}
	}
	slices.Sort(nodes)
	return nodes
}
