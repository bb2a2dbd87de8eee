// Package pool is the planner's resource accounting: workers in racks and failure
// domains, and the gangs that hold room on them. The time of each method is
// proportional to the tasks or workers involved, never to the history.
package pool

import (
	"sort"
	"time"

	"snipegw/internal/model"
)

// Worker is a worker with its health and the resources that are held on it.
type Worker struct {
	model.Worker
	// Index is the position in Pool.Workers.
	Index int
	// Up, Draining, Quarantined and Probing are its state of health. A probing worker
	// takes one preemptible gang at a time.
	Up, Draining, Quarantined, Probing bool
	// HeldDown is set while a worker that was lost repeatedly is kept out of use after
	// its return.
	HeldDown bool
	// Suspect is set from a failed start until a later gang runs well or another cause
	// is found.
	Suspect bool
	// SuspectedAt is the time of the last failed start or of the start of the probe,
	// whichever is later. Only gangs that started since then prove the worker healthy.
	SuspectedAt time.Time
	// Used is the sum held by running, stopping and nominated gangs. It may exceed
	// the capacity while a nominated gang waits for others to stop.
	Used model.Resources
	// Planned is the sum planned for slots of guarantees, claimed or not.
	Planned model.Resources
	// Pinned is the part of Planned that belongs to pinned slots.
	Pinned model.Resources
	// Gangs lists each gang with a task on the worker once.
	Gangs []*Gang
}

// Usable reports whether new gangs may be placed on the worker.
func (w *Worker) Usable() bool { return w.Up && !w.Draining && !w.Quarantined && !w.HeldDown }

// AcceptsSlots reports whether slots of guarantees may be planned on the worker.
func (w *Worker) AcceptsSlots() bool { return w.Usable() && !w.Probing }

// Free returns the resources that no gang holds. They are negative where nominated
// gangs wait for room.
func (w *Worker) Free() model.Resources { return w.Capacity.Sub(w.Used) }

// Gang is an attempt of a job that holds room on workers.
type Gang struct {
	ID            string
	Team          string
	TaskResources model.Resources // of one task
	Workers       []*Worker       // by rank
	// Pinned gangs hold a place that the plan has pinned for a guarantee. They are not
	// preempted, but may be moved so that other guarantees pack.
	Pinned bool
	// Protected gangs hold a guarantee but have no pinned place. They are the last to
	// be preempted.
	Protected bool
	// Nominated gangs wait to start in room that other gangs have yet to free.
	Nominated bool
	// Stopping gangs have been told to stop.
	Stopping bool
	// PlacedAt is when the gang got its room. StartedAt is when all tasks ran; zero
	// until then.
	PlacedAt, StartedAt time.Time
	// Remaining is the expected remaining run time at PlacedAt.
	Remaining time.Duration
	// CheckpointInterval is the interval between checkpoints; 0 means none are taken.
	CheckpointInterval time.Duration
	// Preemptions is how often the job was preempted before.
	Preemptions int
	// Backfilled gangs were started in room that a waiting large job has reserved.
	Backfilled bool
	// CachedCost is the cost of stopping the gang, valid in the search numbered
	// CostStamp.
	CachedCost float64
	CostStamp  uint64
}

// Accelerators returns the number of accelerators that the whole gang holds.
func (g *Gang) Accelerators() int { return g.TaskResources.Accelerators * len(g.Workers) }

// Pool holds all workers, sorted by failure domain, rack and id.
type Pool struct {
	Workers []*Worker
	// Racks and Domains are the ranges of Workers in one rack or failure domain.
	Racks, Domains []Range
	byID           map[string]*Worker
	// RoomVersion counts the changes that may give room to a waiting job.
	RoomVersion uint64
}

// Range is a half-open range of Pool.Workers.
type Range struct{ From, To int }

// New returns an empty pool.
func New() *Pool { return &Pool{byID: make(map[string]*Worker)} }

// Get returns a worker by id, nil if it is unknown.
func (p *Pool) Get(id string) *Worker { return p.byID[id] }

// Add adds a worker, or updates the description of a known one. It returns the worker
// and whether it is new.
func (p *Pool) Add(m model.Worker) (*Worker, bool) {
	p.RoomVersion++
	w, known := p.byID[m.ID]
	if known && w.Rack == m.Rack && w.FailureDomain == m.FailureDomain {
		w.Worker = m
		return w, false
	}
	if known {
		w.Worker = m
		p.sortWorkers()
		return w, false
	}
	w = &Worker{Worker: m}
	p.byID[m.ID] = w
	at := sort.Search(len(p.Workers), func(i int) bool { return !isBefore(p.Workers[i], w) })
	p.Workers = append(p.Workers, nil)
	copy(p.Workers[at+1:], p.Workers[at:])
	p.Workers[at] = w
	p.updateRanges()
	return w, true
}

func isBefore(a, b *Worker) bool {
	if a.FailureDomain != b.FailureDomain {
		return a.FailureDomain < b.FailureDomain
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

func (p *Pool) sortWorkers() {
	sort.Slice(p.Workers, func(i, j int) bool { return isBefore(p.Workers[i], p.Workers[j]) })
	p.updateRanges()
}

func (p *Pool) updateRanges() {
	p.Racks, p.Domains = p.Racks[:0], p.Domains[:0]
	for i, w := range p.Workers {
		w.Index = i
		newDomain := i == 0 || p.Workers[i-1].FailureDomain != w.FailureDomain
		if newDomain {
			p.Domains = append(p.Domains, Range{From: i})
		}
		if newDomain || p.Workers[i-1].Rack != w.Rack {
			p.Racks = append(p.Racks, Range{From: i})
		}
		p.Domains[len(p.Domains)-1].To = i + 1
		p.Racks[len(p.Racks)-1].To = i + 1
	}
}

// Allocate makes a gang hold its room on its workers.
func (p *Pool) Allocate(g *Gang) {
	for _, w := range g.Workers {
		w.Used = w.Used.Add(g.TaskResources)
		if !contains(w.Gangs, g) {
			w.Gangs = append(w.Gangs, g)
		}
	}
}

// Release frees the room that a gang holds.
func (p *Pool) Release(g *Gang) {
	p.RoomVersion++
	for _, w := range g.Workers {
		w.Used = w.Used.Sub(g.TaskResources)
		for i, other := range w.Gangs {
			if other == g {
				w.Gangs = append(w.Gangs[:i], w.Gangs[i+1:]...)
				break
			}
		}
	}
}

// HasRoom reports whether the room that a gang holds is within the capacity of its
// workers, so that it can start.
func HasRoom(g *Gang) bool {
	for _, w := range g.Workers {
		if !w.Used.Fits(w.Capacity) {
			return false
		}
	}
	return true
}

func contains(gangs []*Gang, g *Gang) bool {
	for _, other := range gangs {
		if other == g {
			return true
		}
	}
	return false
}

// CountFitting returns how many tasks fit into room, at most limit. per is what one task
// needs.
func CountFitting(room, per model.Resources, limit int) int {
	n := limit
	n = limitByResource(n, room.Accelerators, per.Accelerators)
	n = limitByResource(n, room.Cores, per.Cores)
	n = limitByResource(n, room.MemoryGB, per.MemoryGB)
	return max(n, 0)
}

// limitByResource lowers n to the number of tasks that one resource allows.
func limitByResource(n, room, per int) int {
	if per <= 0 {
		if room < 0 {
			return 0
		}
		return n
	}
	return min(n, room/per)
}
