package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// waiting says why the first unit of j that does not run waits, in one sentence;
// empty if none waits. R is the free room at now.
func (e *Engine) waiting(j *job, r *room, now time.Time) string {
	if j.cancelled {
		return "the job is cancelled; its runs are being stopped"
	}
	if e.exhausted(j) {
		return "an item has used all its attempts; the other runs are being stopped"
	}
	for _, u := range j.units {
		if !u.done && !u.active() {
			return fmt.Sprintf("item %s %s", u.ref(u.first), e.waitsFor(u, r, now))
		}
	}
	return ""
}

// waitsFor says what a unit that does not run waits for.
func (e *Engine) waitsFor(u *unit, r *room, now time.Time) string {
	j := u.job
	if due := j.dueMS(u.occurrence); now.UnixMilli() < due {
		return fmt.Sprintf("is due in %v", (time.Duration(due-now.UnixMilli()) * time.Millisecond).Round(100*time.Millisecond))
	}
	for _, dep := range u.spec().After {
		if left := j.stages[u.occurrence][dep].left; left > 0 {
			return fmt.Sprintf("waits for step %d, of which %d units are left", dep, left)
		}
	}
	if now.Before(u.notBefore) {
		return fmt.Sprintf("pauses for %v after its last run", u.notBefore.Sub(now).Round(10*time.Millisecond))
	}
	c := &candidate{job: j, units: []*unit{u}, class: e.classOf(j)}
	e.rate(c, now)
	if e.place(u, r) != nil {
		if e.keepsHeadroom(u, c, r, now) {
			return "fits, but has time and would use the room that is kept free for jobs of priority 0"
		}
		return "fits into free room that is kept for units before it, or starts with the next decision"
	}
	return "finds no room: " + e.shortage(u, r)
}

// shortage describes the need of u and what the usable workers have.
func (e *Engine) shortage(u *unit, r *room) string {
	needs := u.spec().Needs()
	var suitable, holding int
	var free, most int64
	for _, w := range r.workers {
		if !e.suits(u, w) {
			continue
		}
		suitable++
		free += max(r.free[w.index].Accelerators, 0)
		most = max(most, r.free[w.index].Accelerators)
		if holds(u, w, r.free[w.index]) > 0 {
			holding++
		}
	}
	var limits []string
	if s := u.spec(); s.Label != "" {
		limits = append(limits, "label "+s.Label)
	}
	if u.count > 1 && u.spec().SameRack && e.rackCouldHold(u) {
		limits = append(limits, "one rack")
	}
	text := fmt.Sprintf("needs %d x (%d accelerators, %d millicores, %d MB)", u.count, needs.Accelerators, needs.MilliCPU, needs.MemoryMB)
	if len(limits) > 0 {
		text += " with " + strings.Join(limits, " and ")
	}
	return text + fmt.Sprintf("; of %d workers %d are usable and suit it, with %d accelerators free, at most %d on one, and %d have room for an item",
		len(e.workers), suitable, free, most, holding)
}

// runsOn returns the nodes on which items of j may be running.
func (j *job) runsOn() []string {
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
