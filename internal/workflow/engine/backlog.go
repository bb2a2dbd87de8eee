package engine

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"

	"snipegw/internal/workflow"
)

const (
	// shortageTime is the time for which the waiting work of a service would occupy its
	// whole pool, from which room is short. Callers wait about 3 s for an acceptance; a
	// shorter backlog is gone before they give up.
	shortageTime = 2 * time.Second
	// poolMemory is how long a worker that is away counts towards the capacity of its
	// service. It covers the restart and the replacement of workers.
	poolMemory = 30 * time.Second
)

// startByBuckets are the times until its latest start by which waiting work is grouped.
var startByBuckets = []time.Duration{
	time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 12 * time.Second, 18 * time.Second,
	27 * time.Second, 40 * time.Second, 60 * time.Second, 90 * time.Second, 135 * time.Second,
}

// Backlog returns the statement of the waiting work and the pool at now, as of the latest
// decision, and whether entries should know it: whether room is short, or a job that the
// pool cannot hold was accepted after the time given.
func (e *Engine) Backlog(now, after time.Time) (*workflow.Backlog, bool) {
	b := &workflow.Backlog{StatedMS: now.UnixMilli()}
	services := make(map[string]*workflow.ServiceBacklog)
	for _, name := range e.serviceNames() {
		b.Services = append(b.Services, e.poolOf(name, now))
	}
	for i := range b.Services {
		services[b.Services[i].Name] = &b.Services[i]
	}
	e.addHeld(services, now)
	relevant := false
	for _, j := range e.openJobs {
		s := services[e.config.ServiceOf(j.rec)]
		if s == nil || j.cancelled || e.attemptsExhausted(j) {
			continue
		}
		if len(s.Kinds) > 0 && slices.ContainsFunc(j.rec.Steps, func(step workflow.Step) bool { return !s.CanHold(&step) }) {
			relevant = relevant || j.rec.AcceptedMS > after.UnixMilli()
			continue
		}
		e.addWaiting(s, j, now)
	}
	for i := range b.Services {
		relevant = relevant || isShort(&b.Services[i])
	}
	var worths map[string]float64
	if b.ByCost = e.costs != nil; b.ByCost && relevant {
		worths = e.worths()
	}
	for _, queue := range sortedKeys(e.estimates) {
		if len(b.Queues) < workflow.MaxBacklogQueues {
			q := e.estimates.learned(queue)
			q.Worth = worths[queue]
			b.Queues = append(b.Queues, q)
		}
	}
	return b, relevant
}

// isShort reports whether the waiting work of s occupies its pool for shortageTime, or
// waits for a pool without workers.
func isShort(s *workflow.ServiceBacklog) bool {
	var accelerators, milliCPU float64
	for _, w := range s.Waiting {
		accelerators += w.Accelerators
		milliCPU += w.MilliCPU
	}
	short := float64(shortageTime.Milliseconds())
	return len(s.Waiting) > 0 && s.Workers == 0 ||
		accelerators > short*float64(s.Total.Accelerators) || milliCPU > short*float64(s.Total.MilliCPU)
}

// serviceNames returns the services of the queues and of the workers, sorted.
func (e *Engine) serviceNames() []string {
	names := make(map[string]bool)
	for i := range e.config.Queues {
		names[e.config.Queues[i].Service] = true
	}
	for _, w := range e.sortedWorkers {
		if w.announcement != nil {
			names[w.announcement.Service] = true
		}
	}
	sorted := sortedKeys(names)
	return sorted[:min(len(sorted), workflow.MaxBacklogServices)]
}

// poolOf describes the workers of a service.
func (e *Engine) poolOf(name string, now time.Time) workflow.ServiceBacklog {
	s := workflow.ServiceBacklog{Name: name, Standby: e.config.Services[name].Standby}
	kinds := make(map[string]*workflow.WorkerKind)
	racks := make(map[string]bool)
	lastSeen := e.termStart
	for _, w := range e.sortedWorkers {
		a := w.announcement
		if a == nil || a.Service != name {
			continue
		}
		if w.reportedAt.After(lastSeen) {
			lastSeen = w.reportedAt
		}
		if e.usable(w, now) {
			s.Workers++
			lastSeen = now
		}
		if now.Sub(w.reportedAt) < poolMemory {
			s.Total = s.Total.Add(a.Capacity, 1)
		}
		labels := slices.DeleteFunc(slices.Clone(a.Labels), func(l string) bool { return l == a.Rack })
		slices.Sort(labels)
		c := a.Capacity
		key := strings.Join(append(labels, (&workflow.Step{Count: 1, MilliCPU: c.MilliCPU, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators}).String()), "|")
		if kinds[key] == nil {
			kinds[key] = &workflow.WorkerKind{Capacity: c, Labels: labels}
		}
		kinds[key].Count++
		racks[a.Rack] = true
	}
	s.IdleMS = now.Sub(lastSeen).Milliseconds()
	if len(kinds) > workflow.MaxBacklogKinds || len(racks) > workflow.MaxBacklogRacks || e.poolUnknown(now) {
		return s
	}
	for _, key := range sortedKeys(kinds) {
		s.Kinds = append(s.Kinds, *kinds[key])
	}
	s.Racks = sortedKeys(racks)
	return s
}

// poolUnknown reports whether a worker may soon announce a capacity that is not known yet.
func (e *Engine) poolUnknown(now time.Time) bool {
	return slices.ContainsFunc(e.sortedWorkers, func(w *worker) bool {
		return w.announcement == nil && (now.Sub(e.termStart) < poolMemory || now.Sub(w.reportedAt) < poolMemory)
	})
}

// addHeld adds what running units hold at each of workflow.BacklogHorizons.
func (e *Engine) addHeld(services map[string]*workflow.ServiceBacklog, now time.Time) {
	seen := make(map[*unit]bool)
	for _, w := range e.sortedWorkers {
		for _, m := range w.members {
			u := m.unit
			s := services[e.config.ServiceOf(u.job.rec)]
			if s == nil || seen[u] {
				continue
			}
			seen[u] = true
			active := int64(0)
			for _, o := range u.members {
				if o.end == "" {
					active++
				}
			}
			remaining := e.remaining(u, now)
			class := e.classOf(u.job)
			for i, horizon := range workflow.BacklogHorizons {
				if u.spec().LongRunning || !u.isEnding() && remaining > horizon {
					s.Held[class][i] = s.Held[class][i].Add(u.spec().Needs(), active)
				}
			}
		}
	}
}

// addWaiting adds the units of j that are ready to start to its service. It leaves out
// long-running items, whose work has no expected end, items that must be spread, and, in
// the class that is served last, work that can no longer end in useful time.
func (e *Engine) addWaiting(s *workflow.ServiceBacklog, j *job, now time.Time) {
	for _, u := range e.readyUnits(j, now) {
		spec := u.spec()
		if spec.LongRunning || spec.MaxPerWorker > 0 {
			continue
		}
		c := &candidate{job: j, units: []*unit{u}, class: e.classOf(j)}
		e.computeUrgency(c, now)
		if c.lateness > 1 && c.class == classOther {
			continue
		}
		needs, work := spec.Needs(), float64(e.estimates.duration(u).Milliseconds())*float64(u.count)
		startBy := c.startBy.Sub(now).Milliseconds()
		w := workflow.WaitingWork{
			Class: c.class, Priority: e.config.PriorityOf(j.rec), Late: c.lateness > 0, EarliestMS: startBy, LatestMS: startBy, Units: 1,
			Item: needs, Items: u.count, SameRack: spec.SameRack && u.count > 1, Label: spec.Label,
			Accelerators: work * float64(needs.Accelerators), MilliCPU: work * float64(needs.MilliCPU),
		}
		w.CostPerSecond = e.costPerSecond(u, now)
		addToGroup(s, &w)
	}
}

// addToGroup adds a unit to the group of s with similar needs that is served at about the
// same time.
func addToGroup(s *workflow.ServiceBacklog, w *workflow.WaitingWork) {
	for i := range s.Waiting {
		g := &s.Waiting[i]
		if groupOf(g) == groupOf(w) {
			g.EarliestMS, g.LatestMS = min(g.EarliestMS, w.EarliestMS), max(g.LatestMS, w.LatestMS)
			g.Item.MilliCPU, g.Item.MemoryMB = max(g.Item.MilliCPU, w.Item.MilliCPU), max(g.Item.MemoryMB, w.Item.MemoryMB)
			g.Item.Accelerators, g.Items = max(g.Item.Accelerators, w.Item.Accelerators), max(g.Items, w.Items)
			g.Units += w.Units
			g.Accelerators += w.Accelerators
			g.MilliCPU += w.MilliCPU
			g.CostPerSecond += w.CostPerSecond
			return
		}
	}
	if len(s.Waiting) < workflow.MaxBacklogGroups {
		s.Waiting = append(s.Waiting, *w)
	}
}

// waitingGroup is what units of one group have in common. Sizes are binary orders of
// magnitude.
type waitingGroup struct {
	class, priority, startBy    int
	late, sameRack              bool
	label                       string
	accelerators, cores, memory int
	items                       int
}

func groupOf(w *workflow.WaitingWork) waitingGroup {
	return waitingGroup{
		class: w.Class, priority: w.Priority, startBy: startByBucket(w.EarliestMS), late: w.Late, sameRack: w.SameRack, label: w.Label,
		accelerators: bits.Len64(uint64(w.Item.Accelerators)), cores: bits.Len64(uint64(w.Item.MilliCPU) / 1000),
		memory: bits.Len64(uint64(w.Item.MemoryMB) / 1000), items: bits.Len64(uint64(w.Items)),
	}
}

// startByBucket returns the index of the bucket of a latest start.
func startByBucket(ms int64) int {
	at, _ := slices.BinarySearchFunc(startByBuckets, time.Duration(ms)*time.Millisecond, func(b, t time.Duration) int { return cmp.Compare(b, t) })
	return at
}

// costPerSecond returns what callers lose with each second by which a unit is delayed; 0
// without a cost model. A job counts once, by the first unit of its first step.
func (e *Engine) costPerSecond(u *unit, now time.Time) float64 {
	if e.costs == nil || u.first > 0 || u.step > 0 {
		return 0
	}
	return e.costs.model.Cost(e.describeJob(u.job, u.occurrence), shortageTime, now).PerSecond
}

// worths returns the mean worth of the open jobs of each queue by core-second of work.
func (e *Engine) worths() map[string]float64 {
	worth, work := make(map[string]float64), make(map[string]float64)
	for _, j := range e.openJobs {
		if d := e.describeJob(j, 0); !d.LongRunning && d.Work > 0 {
			worth[d.Queue] += e.costs.model.Worth(d)
			work[d.Queue] += d.Work
		}
	}
	for queue := range worth {
		worth[queue] /= work[queue]
	}
	return worth
}

// learned returns what was learned of the run times of a queue in the form of stepDuration.
func (est durationEstimates) learned(queue string) workflow.QueueRunTimes {
	q := est[queue]
	share := q.runTime.variance / (q.runTime.variance + q.ratio.variance)
	return workflow.QueueRunTimes{Queue: queue, Exponent: share, Offset: share*q.ratio.mean + (1-share)*q.runTime.mean}
}
