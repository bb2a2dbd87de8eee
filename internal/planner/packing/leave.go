package packing

import (
	"slices"

	"snipegw/internal/model"
)

// Missing reports whether a slot that no running job claims has no place. With
// claimed set, only slots of waiting claims count.
func (p *Plan) Missing(claimed bool) bool {
	return slices.ContainsFunc(p.Slots, func(s *Slot) bool {
		return s.Workers == nil && s.open() && (!claimed || s.Job != "")
	})
}

// open reports whether the guarantee of a slot is not in use by a running job.
func (s *Slot) open() bool { return s.Team != "" && !s.Pinned && s.Beside == nil }

// PacksAfter reports whether the open slots and those of the jobs for which
// leaves reports true pack into the sound workers beside the other pinned slots.
// With claimed set, only claimed slots count.
func (p *Plan) PacksAfter(claimed bool, leaves func(job string) bool) bool {
	rooms := p.rooms(leaves)
	var shapes []model.Shape
	for _, s := range p.Slots {
		if s.Team != "" && (s.open() || leaves(s.Job)) && (!claimed || s.Job != "") {
			shapes = append(shapes, s.Shape)
		}
	}
	slices.SortStableFunc(shapes, orders[0])
	run := &search{pool: p.pool, rooms: rooms, budget: searchBudget}
	return run.run(shapes)
}

// rooms returns what the sound workers have beside the pinned slots of the jobs
// that do not leave.
func (p *Plan) rooms(leaves func(job string) bool) []model.Resources {
	rooms := make([]model.Resources, len(p.pool.Workers))
	for i, w := range p.pool.Workers {
		if w.Sound() {
			rooms[i] = w.Capacity.Sub(w.Pinned)
		}
	}
	for _, s := range p.Slots {
		if !s.Pinned || !leaves(s.Job) {
			continue
		}
		for _, w := range s.Workers {
			if w.Sound() {
				rooms[w.Index] = rooms[w.Index].Add(s.Shape.PerTask())
			}
		}
	}
	return rooms
}
