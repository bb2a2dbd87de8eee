// Package packing keeps a place for every guarantee.
//
// A slot is one guaranteed shape of a team with the workers on which it lies.
// All slots lie side by side in the healthy pool at all times, claimed or not;
// this plan is the proof that the guarantees can be packed. A job that claims a
// guarantee runs inside its slot, so the invariant needs no search when the job
// starts or ends. A slot that is not claimed may move; one that is claimed is
// pinned until its job ends.
//
// A smaller job keeps the whole slot: otherwise the rest could be taken by
// another claim, and the guarantee would no longer pack when the job ends.
package packing

import (
	"slices"
	"sort"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/score"
)

// Slot is one guaranteed shape.
type Slot struct {
	Team  string
	Shape model.Shape
	// Workers is the place, nil if the slot does not pack at present.
	Workers []*pool.Worker
	// Job is the job that claims the slot.
	Job string
	// Pinned is set while the job runs inside the slot.
	Pinned bool
	// Beside is set while the job runs outside the slot on a place of its own.
	Beside *Slot
}

// Plan holds all slots.
type Plan struct {
	Slots  []*Slot
	pool   *pool.Pool
	finder score.Finder
	dirty  bool
	// spare remembers without which workers the idle pool holds all slots.
	spare map[*pool.Worker]bool
}

// New returns an empty plan over p.
func New(p *pool.Pool) *Plan { return &Plan{pool: p} }

// SetTeams replaces the guarantees. Claims that no longer have a slot are
// returned as job ids.
func (p *Plan) SetTeams(teams []model.Team) (lost []string) {
	old := slices.DeleteFunc(slices.Clone(p.Slots), func(s *Slot) bool { return s.Team == "" })
	p.Slots = slices.DeleteFunc(p.Slots, func(s *Slot) bool { return s.Team != "" })
	for _, t := range teams {
		for _, g := range t.Guarantees {
			for range g.Count {
				s := &Slot{Team: t.ID, Shape: g.Shape}
				if i := reusable(old, s); i >= 0 {
					s = old[i]
					old = slices.Delete(slices.Clone(old), i, i+1)
				}
				p.Slots = append(p.Slots, s)
			}
		}
	}
	for _, s := range old {
		p.lift(s)
		p.Clear(s)
		if s.Job != "" {
			lost = append(lost, s.Job)
		}
	}
	p.dirty = true
	p.spare = nil
	return lost
}

// reusable returns the index of a slot with the team and shape of s, a claimed
// one first.
func reusable(slots []*Slot, s *Slot) int {
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

// Invalidate asks for a check of all places at the next Repack.
func (p *Plan) Invalidate() {
	p.dirty = true
	p.spare = nil
}

// Repack gives every slot a place again after workers were lost or gained or
// guarantees changed. It reports whether anything moved.
func (p *Plan) Repack() bool {
	if !p.dirty {
		return false
	}
	p.dirty = false
	moved, missing := false, []*Slot{}
	for _, s := range p.Slots {
		if s.Workers != nil && !s.Pinned && !sound(s.Workers) {
			p.lift(s)
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

// rearrange lifts every slot that is not claimed and packs again, keeping the
// former places if no more slots find one.
func (p *Plan) rearrange() bool {
	var free []*Slot
	former := make(map[*Slot][]*pool.Worker)
	for _, s := range p.Slots {
		if !s.Pinned {
			free = append(free, s)
			former[s] = s.Workers
		}
	}
	if p.solve(free) || p.solveFirst(free, (*Slot).open) {
		return true
	}
	if p.solveFirst(free, func(s *Slot) bool { return s.open() && s.Job != "" }) {
		return true
	}
	before, best := placed(free), -1
	for i := range orders {
		for _, s := range free {
			p.lift(s)
		}
		p.pack(free, orders[i])
		if n := placed(free); n > before {
			best, before = i, n
		}
	}
	for _, s := range free {
		p.lift(s)
	}
	if best >= 0 {
		p.pack(free, orders[best])
		return true
	}
	for _, s := range free {
		p.put(s, former[s])
	}
	return false
}

// solveFirst packs the slots that are needed first and the others into what is
// left. It reports false, and changes nothing, if none is needed or the needed
// ones do not pack.
func (p *Plan) solveFirst(slots []*Slot, needed func(*Slot) bool) bool {
	var first, rest []*Slot
	for _, s := range slots {
		if needed(s) {
			first = append(first, s)
		} else {
			rest = append(rest, s)
		}
	}
	if len(first) == 0 || !p.solve(first) {
		return false
	}
	for _, s := range rest {
		p.lift(s)
	}
	p.placeAll(rest)
	return true
}

func placed(slots []*Slot) int {
	n := 0
	for _, s := range slots {
		if s.Workers != nil {
			n++
		}
	}
	return n
}

func sound(workers []*pool.Worker) bool {
	for _, w := range workers {
		if !w.Sound() {
			return false
		}
	}
	return true
}

// placeAll places the slots one by one, larger tasks first, and reports whether
// all found a place. Those that did keep it.
func (p *Plan) placeAll(slots []*Slot) bool {
	return p.pack(slots, orders[0])
}

func (p *Plan) pack(slots []*Slot, order func(a, b model.Shape) int) bool {
	sorted := slices.Clone(slots)
	slices.SortStableFunc(sorted, func(a, b *Slot) int { return order(a.Shape, b.Shape) })
	all := true
	for _, s := range sorted {
		p.put(s, p.findPlace(s.Shape))
		all = all && s.Workers != nil
	}
	return all
}

func (p *Plan) findPlace(shape model.Shape) []*pool.Worker {
	return p.finder.Find(p.pool, score.Request{
		Shape:   shape,
		Room:    func(w *pool.Worker) model.Resources { return w.Capacity.Sub(w.Planned) },
		Exclude: func(w *pool.Worker) bool { return !w.Sound() },
	})
}

func (p *Plan) put(s *Slot, workers []*pool.Worker) {
	s.Workers = workers
	for _, w := range workers {
		w.Planned = w.Planned.Add(s.Shape.PerTask())
	}
}

func (p *Plan) lift(s *Slot) {
	for _, w := range s.Workers {
		w.Planned = w.Planned.Sub(s.Shape.PerTask())
		if s.Pinned {
			w.Pinned = w.Pinned.Sub(s.Shape.PerTask())
		}
	}
	s.Workers = nil
	s.Pinned = false
}

// Move lays an unclaimed slot at workers and finds new places for the unclaimed
// slots that lie in the way. If one finds none, nothing changes and Move
// reports false.
func (p *Plan) Move(s *Slot, workers []*pool.Worker) bool {
	if slices.Equal(s.Workers, workers) {
		return true
	}
	type move struct {
		s    *Slot
		from []*pool.Worker
	}
	undo := []move{{s, s.Workers}}
	p.lift(s)
	p.put(s, workers)
	var evicted []*Slot
	for _, o := range p.Slots {
		if o != s && !o.Pinned && overbooked(o.Workers) {
			undo = append(undo, move{o, o.Workers})
			p.lift(o)
			evicted = append(evicted, o)
		}
	}
	if !overbooked(workers) && p.placeAll(evicted) {
		return true
	}
	if !overbooked(workers) && p.solveBeside(s) {
		return true
	}
	for _, m := range undo {
		p.lift(m.s)
	}
	for _, m := range undo {
		p.put(m.s, m.from)
	}
	return false
}

func overbooked(workers []*pool.Worker) bool {
	for _, w := range workers {
		if !w.Planned.Fits(w.Capacity) {
			return true
		}
	}
	return false
}

// solveBeside packs all slots that are not pinned anew beside s.
func (p *Plan) solveBeside(s *Slot) bool {
	var free []*Slot
	for _, o := range p.Slots {
		if o != s && !o.Pinned {
			free = append(free, o)
		}
	}
	p.Pin(s)
	ok := p.solve(free)
	p.Unpin(s)
	return ok
}

// Save returns a function that restores all places and claims.
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
				p.lift(s)
				p.put(s, saved[i].workers)
			}
			s.Job = saved[i].job
		}
	}
}

// Pin fixes a slot at its place while its job runs there.
func (p *Plan) Pin(s *Slot) {
	s.Pinned = true
	for _, w := range s.Workers {
		w.Pinned = w.Pinned.Add(s.Shape.PerTask())
	}
}

// Aside lets the job of a slot that is larger than the job run at workers outside
// the slot. The slot keeps a place of its own, which may move, so that the
// guarantee packs when the job ends; while the job runs it holds only its own
// size. It reports whether all other slots still have a place.
func (p *Plan) Aside(s *Slot, shape model.Shape, workers []*pool.Worker) bool {
	aside := &Slot{Job: s.Job, Shape: shape}
	p.Slots = append(p.Slots, aside)
	if !p.Move(aside, workers) {
		p.Slots = p.Slots[:len(p.Slots)-1]
		return false
	}
	p.Pin(aside)
	s.Beside = aside
	return true
}

// Clear ends the run of a job inside or beside its slot.
func (p *Plan) Clear(s *Slot) {
	p.Unpin(s)
	if s.Beside == nil {
		return
	}
	p.lift(s.Beside)
	p.Slots = slices.DeleteFunc(p.Slots, func(o *Slot) bool { return o == s.Beside })
	s.Beside = nil
	p.dirty = true
}

// Unpin lets a slot move again.
func (p *Plan) Unpin(s *Slot) {
	if !s.Pinned {
		return
	}
	s.Pinned = false
	for _, w := range s.Workers {
		w.Pinned = w.Pinned.Sub(s.Shape.PerTask())
	}
	p.dirty = true
}

// Assign gives a job the smallest unclaimed slot of its team into which its
// shape fits, nil if there is none. The claim holds until the job ends, also
// while it waits or runs elsewhere.
func (p *Plan) Assign(team, job string, shape model.Shape) *Slot {
	var best *Slot
	for _, s := range p.Slots {
		if s.Team != team || s.Job != "" || !Within(shape, s.Shape) {
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

// Within reports whether a job of shape s can run inside a slot of shape g.
func Within(s, g model.Shape) bool {
	if s.Tasks > g.Tasks || !s.PerTask().Fits(g.PerTask()) {
		return false
	}
	return s.Tasks == 1 || width(s.Adjacent) >= width(g.Adjacent)
}

func width(a model.Adjacency) int {
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

// Unpacked returns the teams with an open slot that has no place, in order.
func (p *Plan) Unpacked() []string {
	var teams []string
	for _, s := range p.Slots {
		if s.Workers == nil && s.open() && !slices.Contains(teams, s.Team) {
			teams = append(teams, s.Team)
		}
	}
	sort.Strings(teams)
	return teams
}

// Around returns a place for slot s that covers the workers on which a job
// already runs, nil if there is none.
func (p *Plan) Around(s *Slot, workers []*pool.Worker) []*pool.Worker {
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
