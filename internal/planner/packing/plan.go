// Package packing keeps a place for every guarantee.
//
// A slot is one guaranteed shape of a team with the workers that are planned for it.
// The plan places all slots, claimed or not, in the healthy pool at the same time,
// which proves that the guarantees can be packed. A job that claims a guarantee runs
// inside its slot, so that the other places remain valid without a search when the job
// starts or ends. A slot may move until its job starts; it is then pinned until the job
// stops or ends.
//
// A job that is smaller than its slot keeps the whole slot. Otherwise another claim
// could take the rest, and the guarantee would no longer pack when the job ends.
package packing

import (
	"slices"
	"sort"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/score"
)

// Slot is the place of one guaranteed shape of a team, or of a job that runs outside
// its slot; the latter has no team.
type Slot struct {
	Team  string
	Shape model.Shape
	// Workers is the place by rank, nil if the slot has none at present.
	Workers []*pool.Worker
	// Job is the id of the job that claims the slot, empty if none does.
	Job string
	// Pinned is set while the job runs inside the slot.
	Pinned bool
	// Outside is the place of the job while it runs outside the slot, else nil.
	Outside *Slot
}

// Plan holds all slots.
type Plan struct {
	Slots       []*Slot
	pool        *pool.Pool
	finder      score.Finder
	needsRepack bool
	// idlePacksWithout caches, by worker, whether all slots would pack into the rest of
	// the pool if no slot were pinned.
	idlePacksWithout map[*pool.Worker]bool
}

// New returns a plan without slots for the pool p.
func New(p *pool.Pool) *Plan { return &Plan{pool: p} }

// SetTeams replaces the guarantees. It returns the ids of the jobs that lost their
// slot.
func (p *Plan) SetTeams(teams []model.Team) (lost []string) {
	old := slices.DeleteFunc(slices.Clone(p.Slots), func(s *Slot) bool { return s.Team == "" })
	p.Slots = slices.DeleteFunc(p.Slots, func(s *Slot) bool { return s.Team != "" })
	for _, t := range teams {
		for _, g := range t.Guarantees {
			for range g.Count {
				s := &Slot{Team: t.ID, Shape: g.Shape}
				if i := findReusable(old, s); i >= 0 {
					s = old[i]
					old = slices.Delete(slices.Clone(old), i, i+1)
				}
				p.Slots = append(p.Slots, s)
			}
		}
	}
	for _, s := range old {
		p.unplace(s)
		p.EndRun(s)
		if s.Job != "" {
			lost = append(lost, s.Job)
		}
	}
	p.needsRepack = true
	p.idlePacksWithout = nil
	return lost
}

// findReusable returns the index of a slot with the team and shape of s, a claimed
// one first.
func findReusable(slots []*Slot, s *Slot) int {
	found := -1
	for i, o := range slots {
		if o.Team != s.Team || o.Shape != s.Shape {
			continue
		}
		if o.Job != "" {
			return i
		}
		found = max(found, i)
	}
	return found
}

// Invalidate makes the next Repack check all places. It is called when the set of
// usable workers has changed.
func (p *Plan) Invalidate() {
	p.needsRepack = true
	p.idlePacksWithout = nil
}

// Repack finds places for the slots that lost theirs or have none, after workers or
// guarantees changed. It reports whether any slot moved.
func (p *Plan) Repack() bool {
	if !p.needsRepack {
		return false
	}
	p.needsRepack = false
	moved, missing := false, []*Slot{}
	for _, s := range p.Slots {
		if s.Workers != nil && !s.Pinned && !allAcceptSlots(s.Workers) {
			p.unplace(s)
			moved = true
		}
		if s.Workers == nil {
			missing = append(missing, s)
		}
	}
	if len(missing) == 0 {
		return moved
	}
	if p.placeAll(missing) {
		return true
	}
	return p.rearrange() || moved
}

// rearrange packs all unpinned slots again. It prefers, in this order, places for all of
// them, for all idle slots, for all slots of waiting claims, and for as many slots as one
// of packingOrders places. It keeps the former places if the last would not place more
// slots than before. It reports whether any slot moved.
func (p *Plan) rearrange() bool {
	var unpinned []*Slot
	former := make(map[*Slot][]*pool.Worker)
	for _, s := range p.Slots {
		if !s.Pinned {
			unpinned = append(unpinned, s)
			former[s] = s.Workers
		}
	}
	if p.searchPlaces(unpinned) || p.searchNeededFirst(unpinned, (*Slot).isIdle) {
		return true
	}
	if p.searchNeededFirst(unpinned, func(s *Slot) bool { return s.isIdle() && s.Job != "" }) {
		return true
	}
	before, best := countPlaced(unpinned), -1
	for i := range packingOrders {
		for _, s := range unpinned {
			p.unplace(s)
		}
		p.packInOrder(unpinned, packingOrders[i])
		if n := countPlaced(unpinned); n > before {
			best, before = i, n
		}
	}
	for _, s := range unpinned {
		p.unplace(s)
	}
	if best >= 0 {
		p.packInOrder(unpinned, packingOrders[best])
		return true
	}
	for _, s := range unpinned {
		p.setPlace(s, former[s])
	}
	return false
}

// searchNeededFirst packs the needed slots and then the others into the room that is
// left. It reports false, and changes nothing, if no slot is needed or the needed
// ones do not pack.
func (p *Plan) searchNeededFirst(slots []*Slot, needed func(*Slot) bool) bool {
	var first, rest []*Slot
	for _, s := range slots {
		if needed(s) {
			first = append(first, s)
		} else {
			rest = append(rest, s)
		}
	}
	if len(first) == 0 || !p.searchPlaces(first) {
		return false
	}
	for _, s := range rest {
		p.unplace(s)
	}
	p.placeAll(rest)
	return true
}

func countPlaced(slots []*Slot) int {
	n := 0
	for _, s := range slots {
		if s.Workers != nil {
			n++
		}
	}
	return n
}

func allAcceptSlots(workers []*pool.Worker) bool {
	for _, w := range workers {
		if !w.AcceptsSlots() {
			return false
		}
	}
	return true
}

// placeAll places the slots one by one, larger tasks first, and reports whether all
// found a place. If not, those that found one keep it.
func (p *Plan) placeAll(slots []*Slot) bool {
	return p.packInOrder(slots, packingOrders[0])
}

// packInOrder places the slots one by one in the given order of their shapes and
// reports whether all found a place.
func (p *Plan) packInOrder(slots []*Slot, order func(a, b model.Shape) int) bool {
	sorted := slices.Clone(slots)
	slices.SortStableFunc(sorted, func(a, b *Slot) int { return order(a.Shape, b.Shape) })
	all := true
	for _, s := range sorted {
		p.setPlace(s, p.findPlace(s.Shape))
		all = all && s.Workers != nil
	}
	return all
}

func (p *Plan) findPlace(shape model.Shape) []*pool.Worker {
	return p.finder.Find(p.pool, score.Request{
		Shape:   shape,
		Room:    func(w *pool.Worker) model.Resources { return w.Capacity.Sub(w.Planned) },
		Exclude: func(w *pool.Worker) bool { return !w.AcceptsSlots() },
	})
}

// setPlace places an unplaced slot on workers.
func (p *Plan) setPlace(s *Slot, workers []*pool.Worker) {
	s.Workers = workers
	for _, w := range workers {
		w.Planned = w.Planned.Add(s.Shape.PerTask())
	}
}

// unplace removes a slot from its workers, and unpins it.
func (p *Plan) unplace(s *Slot) {
	for _, w := range s.Workers {
		w.Planned = w.Planned.Sub(s.Shape.PerTask())
		if s.Pinned {
			w.Pinned = w.Pinned.Sub(s.Shape.PerTask())
		}
	}
	s.Workers = nil
	s.Pinned = false
}

// Move moves a slot that is not pinned to workers and finds new places for the
// unpinned slots that no longer fit there. If one finds none, nothing changes and
// Move reports false.
func (p *Plan) Move(s *Slot, workers []*pool.Worker) bool {
	if slices.Equal(s.Workers, workers) {
		return true
	}
	type move struct {
		s    *Slot
		from []*pool.Worker
	}
	undo := []move{{s, s.Workers}}
	p.unplace(s)
	p.setPlace(s, workers)
	var evicted []*Slot
	for _, o := range p.Slots {
		if o != s && !o.Pinned && isOvercommitted(o.Workers) {
			undo = append(undo, move{o, o.Workers})
			p.unplace(o)
			evicted = append(evicted, o)
		}
	}
	if !isOvercommitted(workers) && p.placeAll(evicted) {
		return true
	}
	if !isOvercommitted(workers) && p.searchAround(s) {
		return true
	}
	for _, m := range undo {
		p.unplace(m.s)
	}
	for _, m := range undo {
		p.setPlace(m.s, m.from)
	}
	return false
}

// isOvercommitted reports whether a worker has more planned on it than its capacity.
func isOvercommitted(workers []*pool.Worker) bool {
	for _, w := range workers {
		if !w.Planned.Fits(w.Capacity) {
			return true
		}
	}
	return false
}

// searchAround packs all other unpinned slots again, with s kept in place. It reports
// whether all found a place; if not, no slot moves.
func (p *Plan) searchAround(s *Slot) bool {
	var unpinned []*Slot
	for _, o := range p.Slots {
		if o != s && !o.Pinned {
			unpinned = append(unpinned, o)
		}
	}
	p.Pin(s)
	ok := p.searchPlaces(unpinned)
	p.Unpin(s)
	return ok
}

// Save returns a function that restores the present claims and places. It skips the
// places of slots that are pinned when it is called. It expects the plan to hold the same
// slots in the same order then.
func (p *Plan) Save() (restore func()) {
	type place struct {
		workers []*pool.Worker
		job     string
	}
	saved := make([]place, len(p.Slots))
	for i, s := range p.Slots {
		saved[i] = place{s.Workers, s.Job}
	}
	return func() {
		for i, s := range p.Slots {
			if !s.Pinned && !slices.Equal(s.Workers, saved[i].workers) {
				p.unplace(s)
				p.setPlace(s, saved[i].workers)
			}
			s.Job = saved[i].job
		}
	}
}

// Pin keeps a slot at its place while its job runs there.
func (p *Plan) Pin(s *Slot) {
	s.Pinned = true
	for _, w := range s.Workers {
		w.Pinned = w.Pinned.Add(s.Shape.PerTask())
	}
}

// PinOutside pins the job of slot s, which has a smaller shape, on workers outside
// the slot. The slot keeps a place that may move, so that the guarantee still packs
// when the job ends. While the job runs, only its own shape is pinned. PinOutside
// reports false, and changes nothing, if the other slots would lose their places.
func (p *Plan) PinOutside(s *Slot, shape model.Shape, workers []*pool.Worker) bool {
	outside := &Slot{Job: s.Job, Shape: shape}
	p.Slots = append(p.Slots, outside)
	if !p.Move(outside, workers) {
		p.Slots = p.Slots[:len(p.Slots)-1]
		return false
	}
	p.Pin(outside)
	s.Outside = outside
	return true
}

// EndRun releases the pinned place of the job of a slot, inside or outside it.
func (p *Plan) EndRun(s *Slot) {
	p.Unpin(s)
	if s.Outside == nil {
		return
	}
	p.unplace(s.Outside)
	p.Slots = slices.DeleteFunc(p.Slots, func(o *Slot) bool { return o == s.Outside })
	s.Outside = nil
	p.needsRepack = true
}

// Unpin allows a pinned slot to move again.
func (p *Plan) Unpin(s *Slot) {
	if !s.Pinned {
		return
	}
	s.Pinned = false
	for _, w := range s.Workers {
		w.Pinned = w.Pinned.Sub(s.Shape.PerTask())
	}
	p.needsRepack = true
}

// Assign assigns to a job the unclaimed slot of its team with the fewest accelerators
// into which its shape fits, and returns nil if there is none. The job keeps the
// slot until it ends, also while it waits or runs elsewhere.
func (p *Plan) Assign(team, job string, shape model.Shape) *Slot {
	var best *Slot
	for _, s := range p.Slots {
		if s.Team != team || s.Job != "" || !FitsInSlot(shape, s.Shape) {
			continue
		}
		if best == nil || s.Shape.Accelerators() < best.Shape.Accelerators() {
			best = s
		}
	}
	if best != nil {
		best.Job = job
	}
	return best
}

// FitsInSlot reports whether a job of shape s can run inside a slot of shape g.
func FitsInSlot(s, g model.Shape) bool {
	if s.Tasks > g.Tasks || !s.PerTask().Fits(g.PerTask()) {
		return false
	}
	return s.Tasks == 1 || adjacencyWidth(s.Adjacent) >= adjacencyWidth(g.Adjacent)
}

// adjacencyWidth ranks adjacencies from the closest to the widest.
func adjacencyWidth(a model.Adjacency) int {
	switch a {
	case model.AdjacentHost:
		return 0
	case model.AdjacentRack:
		return 1
	case model.AdjacentFailureDomain:
		return 2
	}
	return 3
}

// Unpacked returns the sorted ids of the teams with an idle slot that has no place.
func (p *Plan) Unpacked() []string {
	var teams []string
	for _, s := range p.Slots {
		if s.Workers == nil && s.isIdle() && !slices.Contains(teams, s.Team) {
			teams = append(teams, s.Team)
		}
	}
	sort.Strings(teams)
	return teams
}

// PlaceCovering returns a place for slot s that includes the given workers, on which a
// job already runs. It returns nil if there is none.
func (p *Plan) PlaceCovering(s *Slot, workers []*pool.Worker) []*pool.Worker {
	if len(workers) == s.Shape.Tasks {
		return workers
	}
	taken := make(map[*pool.Worker]int)
	for _, w := range workers {
		taken[w]++
	}
	rest := s.Shape
	rest.Tasks -= len(workers)
	first := workers[0]
	more := p.finder.Find(p.pool, score.Request{
		Shape: rest,
		Room: func(w *pool.Worker) model.Resources {
			room := w.Capacity.Sub(w.Pinned)
			for range taken[w] {
				room = room.Sub(s.Shape.PerTask())
			}
			return room
		},
		Exclude: func(w *pool.Worker) bool {
			switch s.Shape.Adjacent {
			case model.AdjacentHost:
				return w != first
			case model.AdjacentRack:
				return w.Rack != first.Rack || w.FailureDomain != first.FailureDomain
			case model.AdjacentFailureDomain:
				return w.FailureDomain != first.FailureDomain
			}
			return false
		},
	})
	if more == nil {
		return nil
	}
	return append(slices.Clone(workers), more...)
}
