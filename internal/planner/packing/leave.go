package packing

import (
	"slices"

	"snipegw/internal/model"
)

// HasUnplacedSlot reports whether an idle slot (see isIdle) has no place. With claimed
// set, only slots of waiting claims count.
func (p *Plan) HasUnplacedSlot(claimed bool) bool {
	return slices.ContainsFunc(p.Slots, func(s *Slot) bool {
		return s.Workers == nil && s.isIdle() && (!claimed || s.Job != "")
	})
}

// isIdle reports whether no running job uses the guarantee of a slot.
func (s *Slot) isIdle() bool { return s.Team != "" && !s.Pinned && s.Outside == nil }

// PacksAfter reports whether the idle slots, and those of the jobs for which leaves
// reports true, pack into the room that the other pinned slots leave on the workers
// that accept slots. With claimed set, only claimed slots count.
func (p *Plan) PacksAfter(claimed bool, leaves func(job string) bool) bool {
	rooms := p.roomWithout(leaves)
	var shapes []model.Shape
	for _, s := range p.Slots {
		if s.Team != "" && (s.isIdle() || leaves(s.Job)) && (!claimed || s.Job != "") {
			shapes = append(shapes, s.Shape)
		}
	}
	slices.SortStableFunc(shapes, packingOrders[0])
	search := &packSearch{pool: p.pool, rooms: rooms, stepsLeft: maxSearchSteps}
	return search.packAll(shapes)
}

// roomWithout returns, by worker index, the room that is not pinned by jobs that
// stay. Workers that do not accept slots have none.
func (p *Plan) roomWithout(leaves func(job string) bool) []model.Resources {
	rooms := make([]model.Resources, len(p.pool.Workers))
	for i, w := range p.pool.Workers {
		if w.AcceptsSlots() {
			rooms[i] = w.Capacity.Sub(w.Pinned)
		}
	}
	for _, s := range p.Slots {
		if !s.Pinned || !leaves(s.Job) {
			continue
		}
		for _, w := range s.Workers {
			if w.AcceptsSlots() {
				rooms[w.Index] = rooms[w.Index].Add(s.Shape.PerTask())
			}
		}
	}
	return rooms
}
