package workflow

import (
	"math"
	"slices"
	"time"
)

// BacklogKey is the key of the planner's Backlog. It is attached to the planner's lease.
const BacklogKey = Prefix + "backlog"

// Scheduling classes of jobs, in the order in which the planner serves them. A class may
// preempt the classes after it.
const (
	ClassGuaranteed = iota // priority 0 within the team's guarantee
	ClassUrgent            // priority 0 beyond the guarantee
	ClassOther             // any other priority
	Classes                // the number of classes
)

// ClassNames holds the name of each class in logs, metrics and dumps. There, ClassUrgent
// is called "first".
var ClassNames = [Classes]string{"guaranteed", "first", "other"}

// BacklogHorizons are the times, counted from its statement, for which a Backlog states
// what running items hold. Callers' objectives are seconds to minutes.
var BacklogHorizons = [...]time.Duration{
	0, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 80 * time.Second, 160 * time.Second,
}

// Limits of a Backlog, which every entry reads. What exceeds them is left out, and entries
// accept what they know nothing of.
const (
	MaxBacklogServices = 32
	MaxBacklogQueues   = 64
	MaxBacklogKinds    = 16 // of workers of one service
	MaxBacklogRacks    = 128
	MaxBacklogGroups   = 96 // of waiting work of one service
)

// Backlog is the planner's statement of the waiting work and of the resources that it
// waits for. Entries decide by it which jobs to refuse.
type Backlog struct {
	// StatedMS is the time of the statement in Unix milliseconds.
	StatedMS int64            `cbor:"1,keyasint" json:"stated_ms"`
	Services []ServiceBacklog `cbor:"2,keyasint,omitempty" json:"services"`
	Queues   []QueueRunTimes  `cbor:"3,keyasint,omitempty" json:"queues"`
	// ByCost reports that a cost model is switched on and has learned enough, so that jobs
	// of a class are served by their costs.
	ByCost bool `cbor:"4,keyasint,omitempty" json:"by_cost,omitempty"`
}

// ServiceBacklog describes the pool and the waiting work of one service.
type ServiceBacklog struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Standby bool   `cbor:"2,keyasint,omitempty" json:"standby,omitempty"`
	// Workers is the number of usable workers, IdleMS the time since there was one.
	Workers int   `cbor:"3,keyasint,omitempty" json:"workers"`
	IdleMS  int64 `cbor:"4,keyasint,omitempty" json:"without_workers_ms,omitempty"`
	// Total is the capacity of the pool, which includes workers that were away only
	// recently.
	Total Resources `cbor:"5,keyasint" json:"total"`
	// Kinds lists the workers that are known, also those that are away, by capacity and
	// labels, and Racks their racks. Both are empty if there are too many of either.
	Kinds []WorkerKind `cbor:"6,keyasint,omitempty" json:"kinds,omitempty"`
	Racks []string     `cbor:"9,keyasint,omitempty" json:"racks,omitempty"`
	// Held is what running items of each class still hold at each of BacklogHorizons.
	Held [Classes][len(BacklogHorizons)]Resources `cbor:"7,keyasint" json:"held"`
	// Waiting is the waiting work that can still end in useful time.
	Waiting []WaitingWork `cbor:"8,keyasint,omitempty" json:"waiting,omitempty"`
}

// WorkerKind is a set of workers with equal capacity and labels. Labels are without those
// of racks.
type WorkerKind struct {
	Capacity Resources `cbor:"1,keyasint" json:"capacity"`
	Labels   []string  `cbor:"2,keyasint,omitempty" json:"labels,omitempty"`
	Count    int       `cbor:"3,keyasint" json:"count"`
}

// WaitingWork is the sum over the units, single items or gangs, that are ready to start,
// are served at about the same time, and have similar needs.
type WaitingWork struct {
	Class    int `cbor:"1,keyasint,omitempty" json:"class"`
	Priority int `cbor:"2,keyasint,omitempty" json:"priority"`
	// Late reports that the jobs can no longer meet their objectives.
	Late bool `cbor:"3,keyasint,omitempty" json:"late,omitempty"`
	// EarliestMS and LatestMS are the first and the last of the times, counted from the
	// statement, until which the units must start for their jobs to meet their objectives
	// or, if late, to be of use.
	EarliestMS int64 `cbor:"4,keyasint" json:"earliest_start_by_ms"`
	LatestMS   int64 `cbor:"9,keyasint" json:"latest_start_by_ms"`
	Units      int   `cbor:"5,keyasint" json:"units"`
	// Item is the most that an item needs of each resource, Items the greatest number of
	// items that start together.
	Item     Resources `cbor:"10,keyasint" json:"item"`
	Items    int       `cbor:"11,keyasint" json:"items"`
	SameRack bool      `cbor:"12,keyasint,omitempty" json:"same_rack,omitempty"`
	Label    string    `cbor:"13,keyasint,omitempty" json:"label,omitempty"`
	// Accelerators and MilliCPU are in accelerator-milliseconds and
	// millicore-milliseconds.
	Accelerators float64 `cbor:"6,keyasint" json:"accelerator_ms"`
	MilliCPU     float64 `cbor:"7,keyasint" json:"millicore_ms"`
	// CostPerSecond is the value that callers lose with each second of delay, by the
	// cost model; 0 without one.
	CostPerSecond float64 `cbor:"8,keyasint,omitempty" json:"cost_per_second,omitempty"`
}

// QueueRunTimes holds what the planner has learned of the run times of a queue.
type QueueRunTimes struct {
	Queue string `cbor:"1,keyasint" json:"queue"`
	// Offset and Exponent give the logarithm of the expected run time in milliseconds:
	// Offset + Exponent * logarithm of the caller's estimate.
	Offset   float64 `cbor:"2,keyasint" json:"offset"`
	Exponent float64 `cbor:"3,keyasint" json:"exponent"`
	// Worth is the mean worth of the queue's open jobs by core-second of their work, 0 if
	// that is not known.
	Worth float64 `cbor:"4,keyasint,omitempty" json:"worth_per_core_second,omitempty"`
}

// Duration returns the expected run time of an item of a step.
func (q *QueueRunTimes) Duration(s *Step) time.Duration {
	if s.EstimateMS <= 0 {
		return 0
	}
	return ToDuration(math.Exp(q.Offset+q.Exponent*math.Log(float64(s.EstimateMS))) * float64(time.Millisecond))
}

// Service returns the part of b on a service; nil if there is none.
func (b *Backlog) Service(name string) *ServiceBacklog {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i]
		}
	}
	return nil
}

// RunTimes returns what was learned of a queue; nil if nothing was.
func (b *Backlog) RunTimes(queue string) *QueueRunTimes {
	for i := range b.Queues {
		if b.Queues[i].Queue == queue {
			return &b.Queues[i]
		}
	}
	return nil
}

// CanHold reports whether the workers of the kinds, if they were empty, could hold what a
// step starts at once: one item, or a whole gang. A label that names a rack is taken to match.
func (s *ServiceBacklog) CanHold(step *Step) bool {
	needed, total := 1, 0
	if step.Gang {
		needed = step.Count
	}
	for i := range s.Kinds {
		if k := &s.Kinds[i]; step.Label == "" || slices.Contains(k.Labels, step.Label) || slices.Contains(s.Racks, step.Label) {
			total += k.Count * itemsPerWorker(step, k.Capacity)
		}
	}
	return total >= needed
}

// itemsPerWorker returns how many items of a step, at most its count, an empty worker holds.
func itemsPerWorker(step *Step, capacity Resources) int {
	n := capacity.Count(step.Needs(), step.Count)
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	return n
}

// CriticalPath returns the duration of the longest chain of dependent steps, given the
// duration of each.
func CriticalPath(steps []Step, duration func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(steps))
	for s := range steps {
		for _, dep := range steps[s].After {
			ends[s] = max(ends[s], ends[dep])
		}
		ends[s] += duration(s)
		longest = max(longest, ends[s])
	}
	return longest
}
