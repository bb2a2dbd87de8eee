// Package pool holds the planner's books: workers in racks and failure domains,
// and the gangs that hold room on them. Every method costs time proportional to
// the tasks or workers it names, never to the history.
package pool

import (
	"sort"
	"time"

	"snipegw/internal/model"
)

// Worker is a worker with what is held on it.
type Worker struct {
	model.Worker
	// Index is the position in Pool.Workers.
	Index int
	// Up, Draining, Quarantined and Probing are the states of health. A probing
	// worker takes one preemptible gang at a time.
	Up, Draining, Quarantined, Probing bool
	// Held is set for a time after a return that follows repeated losses.
	Held bool
	// Suspect is set while a failed start is not explained.
	Suspect bool
	// Doubted is the time of the last failed start or the start of the probe; only
	// gangs that started later prove the worker.
	Doubted time.Time
	// Used is held by gangs that run, stop or are nominated. It exceeds the
	// capacity while a nominated gang waits for stopping ones to leave.
	Used model.Resources
	// Planned is held by the slots of guarantees, claimed or not.
	Planned model.Resources
	// Pinned is the part of Planned whose slots are claimed.
	Pinned model.Resources
	// Gangs holds the gangs with a task here, each once.
	Gangs []*Gang
}

// Usable reports whether new gangs may be placed here.
func (w *Worker) Usable() bool { return w.Up && !w.Draining && !w.Quarantined && !w.Held }

// Sound reports whether slots of guarantees may be planned here.
func (w *Worker) Sound() bool { return w.Usable() && !w.Probing }

// Free returns what no gang holds; it may be negative.
func (w *Worker) Free() model.Resources { return w.Capacity.Sub(w.Used) }

// Gang is an attempt that holds room.
type Gang struct {
	ID      string
	Team    string
	Per     model.Resources
	Workers []*Worker // by rank
	// Fixed gangs run on a claimed slot and are never preempted.
	Fixed bool
	// Protected gangs hold a guarantee but run outside its slot.
	Protected bool
	// Nominated gangs hold room that others still have to leave.
	Nominated bool
	// Stopping gangs leave soon.
	Stopping bool
	// Placed and Started are zero until then.
	Placed, Started time.Time
	// Remaining is the predicted run time at Placed.
	Remaining time.Duration
	// Checkpoint is the interval between checkpoints; 0 keeps nothing.
	Checkpoint time.Duration
	// Stops counts how often the job was preempted.
	Stops int
	// Backfilled gangs run on room that a waiting large job has reserved.
	Backfilled bool
	// Cost is the cost of a stop in the search CostStamp.
	Cost      float64
	CostStamp uint64
}

// Accelerators returns the accelerators of the whole gang.
func (g *Gang) Accelerators() int { return g.Per.Accelerators * len(g.Workers) }

// Pool is all workers, sorted by failure domain, rack and id.
type Pool struct {
	Workers []*Worker
	// Racks and Domains are ranges of Workers.
	Racks, Domains []Range
	byID           map[string]*Worker
	// Releases counts the changes that may give a waiting job room.
	Releases uint64
}

// Range is a half-open range of Pool.Workers.
type Range struct{ From, To int }

// New returns an empty pool.
func New() *Pool { return &Pool{byID: make(map[string]*Worker)} }

// Get returns a worker by id, nil if it is unknown.
func (p *Pool) Get(id string) *Worker { return p.byID[id] }

// Add adds a worker, or takes over the description of a known one. It reports
// whether the worker is new.
func (p *Pool) Add(m model.Worker) (*Worker, bool) {
	p.Releases++
	w, known := p.byID[m.ID]
	if known && w.Rack == m.Rack && w.FailureDomain == m.FailureDomain {
		w.Worker = m
		return w, false
	}
	if known {
		w.Worker = m
		p.index()
		return w, false
	}
	w = &Worker{Worker: m}
	p.byID[m.ID] = w
	at := sort.Search(len(p.Workers), func(i int) bool { return !before(p.Workers[i], w) })
	p.Workers = append(p.Workers, nil)
	copy(p.Workers[at+1:], p.Workers[at:])
	p.Workers[at] = w
	p.group()
	return w, true
}

func before(a, b *Worker) bool {
	if a.FailureDomain != b.FailureDomain {
		return a.FailureDomain < b.FailureDomain
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

func (p *Pool) index() {
	sort.Slice(p.Workers, func(i, j int) bool { return before(p.Workers[i], p.Workers[j]) })
	p.group()
}

func (p *Pool) group() {
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

// Hold enters a gang into the books.
func (p *Pool) Hold(g *Gang) {
	for _, w := range g.Workers {
		w.Used = w.Used.Add(g.Per)
		if !contains(w.Gangs, g) {
			w.Gangs = append(w.Gangs, g)
		}
	}
}

// Release takes a gang out of the books.
func (p *Pool) Release(g *Gang) {
	p.Releases++
	for _, w := range g.Workers {
		w.Used = w.Used.Sub(g.Per)
		for i, other := range w.Gangs {
			if other == g {
				w.Gangs = append(w.Gangs[:i], w.Gangs[i+1:]...)
				break
			}
		}
	}
}

// Ready reports whether a nominated gang has its room.
func Ready(g *Gang) bool {
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

// Count returns how many tasks of size per fit into room, at most limit.
func Count(room, per model.Resources, limit int) int {
	n := limit
	n = atMost(n, room.Accelerators, per.Accelerators)
	n = atMost(n, room.Cores, per.Cores)
	n = atMost(n, room.MemoryGB, per.MemoryGB)
	return max(n, 0)
}

func atMost(n, room, per int) int {
	if per <= 0 {
		if room < 0 {
			return 0
		}
		return n
	}
	return min(n, room/per)
}
