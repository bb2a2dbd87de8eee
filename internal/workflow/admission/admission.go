package admission

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

const (
	// maxClockSkew is how far the clock of an entry may be behind the planner's. If it is
	// further behind, the age of a statement is unknown.
	maxClockSkew = time.Second
	// minRetryAfter and maxRetryAfter bound when a caller should come back. Room may be
	// added at any time, so a longer time would keep callers away for nothing.
	minRetryAfter = time.Second
	maxRetryAfter = 15 * time.Second
	// stepPoolDivisor divides the pool; a step that needs more than the quotient is
	// expected to run in waves.
	stepPoolDivisor = 4
)

// Request is a job at its acceptance.
type Request struct {
	ID      string
	Job     *workflow.Job
	Queue   *workflow.Queue
	Team    string
	Service string
	// Guaranteed reports whether the guarantee of the team covers the job.
	Guaranteed bool
}

// Observation is what an entry knows of the waiting work.
type Observation struct {
	Backlog *workflow.Backlog // nil if the entry knows none
	// ReceivedAgo is the time since the statement reached the entry, on its steady clock.
	ReceivedAgo time.Duration
}

// Decision is the answer to a Request, with the figures that led to it.
type Decision struct {
	// Code is result.OK for an accepted job.
	Code   result.Code
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	// Age is that of the statement, negative if it is unknown.
	Age time.Duration
	// Class is the scheduling class of the job.
	Class int
	// Needed is the work that goes first and that of the job, Room what the pool offers
	// until UsefulEnd, in accelerator-seconds or core-seconds, whichever is scarcer. They
	// are 0 if they were not compared.
	Needed, Room float64
	UsefulEnd    time.Duration
	// RefusalCost is the value that the caller loses, HeldUpCost what the job would cost
	// others; both are 0 without a cost model.
	RefusalCost, HeldUpCost float64
}

// Age returns the age of the statement at now on the entry's clock of day, and whether it
// is known. The clock of day may jump, so the time since the receipt is a lower bound.
func (o Observation) Age(now time.Time) (time.Duration, bool) {
	if o.Backlog == nil {
		return -1, false
	}
	byClock := now.Sub(time.UnixMilli(o.Backlog.StatedMS))
	return max(byClock, o.ReceivedAgo), byClock >= -maxClockSkew
}

// Decide accepts or refuses a job. It refuses only what it knows: a job that the pool
// cannot hold, whose service has no workers, or that cannot end in useful time even if all
// room is used without loss. Where the planner knows costs, a refusal is weighed against what
// the job would hold up.
func Decide(s Settings, r *Request, o Observation, now time.Time) Decision {
	d := Decision{Code: result.OK, Class: classOf(r)}
	age, known := o.Age(now)
	if d.Age = age; !known {
		d.Reason = "the entry knows no statement of the planner, or not its age"
		return d
	}
	if age > s.maxAge() {
		d.Reason = "the planner's statement is too old"
		return d
	}
	service := o.Backlog.Service(r.Service)
	switch {
	case r.Job.Occurrences > 0 || r.Job.LongRunning():
		d.Reason = "the job is scheduled or long-running"
		return d
	case service == nil:
		d.Reason = "the planner's statement does not cover the service"
		return d
	case service.Workers == 0 && (service.Standby || time.Duration(service.IdleMS)*time.Millisecond >= s.noWorkers()):
		return d.refuse(result.NoWorker, r.ID, maxRetryAfter, "the service has no workers")
	case !canHold(service, r.Job):
		return d.refuse(result.ExceedsPool, r.ID, maxRetryAfter, "a step needs more than the workers of the service have")
	case r.Guaranteed:
		d.Reason = "the job is within its team's guarantee"
		return d
	}
	runTimes := o.Backlog.RunTimes(r.Queue.Name)
	if runTimes == nil || service.Workers == 0 {
		d.Reason = "the planner has learned nothing of the queue, or the workers are away"
		return d
	}
	return decideByLoad(s, d, r, o.Backlog, service, runTimes)
}

func classOf(r *Request) int {
	switch {
	case r.Queue.Priority != 0:
		return workflow.ClassOther
	case r.Guaranteed:
		return workflow.ClassGuaranteed
	}
	return workflow.ClassUrgent
}

// canHold reports whether the known workers of s could hold each step of a job.
func canHold(s *workflow.ServiceBacklog, job *workflow.Job) bool {
	return len(s.Kinds) == 0 || !slices.ContainsFunc(job.Steps, func(step workflow.Step) bool { return !s.CanHold(&step) })
}

// refuse returns d as a refusal. The callers come back spread over as long again as the
// first of them waits.
func (d Decision) refuse(code result.Code, id string, after time.Duration, reason string) Decision {
	d.Code, d.Reason = code, reason
	d.RetryAfter = spread(id, min(max(after, minRetryAfter), maxRetryAfter))
	return d
}

// spread returns a time between base and twice base that is fixed for a job id.
func spread(id string, base time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// FNV leaves the high bits of similar ids alike.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return base + time.Duration(float64(base)*float64(x>>11)/(1<<53))
}

// outlook is what is expected of a job if it starts at once.
type outlook struct {
	path, objective time.Duration // from start to end, and from acceptance to the objective
	// work is in accelerator-milliseconds and millicore-milliseconds.
	work [2]float64
}

// usefulEnd returns the time from the acceptance after which the end is of no use.
func (o *outlook) usefulEnd() time.Duration { return framework.MaxLatenessFactor * o.objective }

// describe predicts a job by learned run times.
func describe(r *Request, s *workflow.ServiceBacklog, q *workflow.QueueRunTimes) *outlook {
	o := new(outlook)
	o.path = workflow.CriticalPath(r.Job.Steps, func(i int) time.Duration {
		step := &r.Job.Steps[i]
		duration, needs, waves := q.Duration(step), step.Needs(), 1.0
		for k, amount := range [2][2]int64{{needs.Accelerators, s.Total.Accelerators}, {needs.MilliCPU, s.Total.MilliCPU}} {
			total := float64(amount[0]) * float64(step.Count)
			o.work[k] += total * float64(duration.Milliseconds())
			if amount[1] > 0 && !step.Gang {
				waves = max(waves, math.Ceil(total*stepPoolDivisor/float64(amount[1])))
			}
		}
		return workflow.ToDuration(waves * float64(duration))
	})
	o.objective = workflow.Objective(r.Queue.SlackFactor, o.path, r.Queue.TargetMS)
	return o
}

// decideByLoad refuses a job if the work that certainly goes first leaves too little room
// until the useful end for what the job needs.
func decideByLoad(s Settings, d Decision, r *Request, b *workflow.Backlog, service *workflow.ServiceBacklog, runTimes *workflow.QueueRunTimes) Decision {
	o := describe(r, service, runTimes)
	d.UsefulEnd = o.usefulEnd()
	horizons := workflow.BacklogHorizons
	if d.Age+d.UsefulEnd > horizons[len(horizons)-1] {
		d.Reason = "the job is of use beyond what the planner's statement covers"
		return d
	}
	c := compare(s, service, r, d, o, b.ByCost)
	d.Needed, d.Room = c.needed, c.room
	if c.needed <= c.room {
		d.Reason = "the job may end in useful time"
		return d
	}
	if b.ByCost {
		if d.weigh(o, service, runTimes); d.HeldUpCost <= d.RefusalCost {
			d.Reason = "the refusal would cost more than what the job holds up"
			return d
		}
	}
	wait := time.Duration((c.needed - c.room) / c.capacity * float64(time.Second))
	return d.refuse(result.NotInTime, r.ID, wait, "the job cannot end in useful time")
}

// comparison is the work that goes first and that of the job, the room for it, and the
// capacity of the pool, in accelerators or cores and their seconds.
type comparison struct{ needed, room, capacity float64 }

// compare returns the comparison for the resource that is the scarcer one until the useful
// end. All work is divided by the margin.
func compare(settings Settings, s *workflow.ServiceBacklog, r *Request, d Decision, o *outlook, byCost bool) comparison {
	end := d.Age + d.UsefulEnd
	first := goesFirst(s, r, d.Class, d.Age+o.objective-o.path, end-o.path, byCost)
	total := [2]float64{float64(s.Total.Accelerators), float64(s.Total.MilliCPU)}
	worst := comparison{room: 1, capacity: 1}
	for k, unit := range [2]float64{1000, 1000 * 1000} {
		if o.work[k] == 0 || total[k] == 0 {
			continue
		}
		used := 0.0
		for _, g := range first {
			work := [2]float64{g.Accelerators, g.MilliCPU}[k] / settings.Margin
			if g.Class == d.Class {
				// What has not started by then is served after the job.
				work = min(work, max(roomUntil(s, d.Class, k, time.Duration(g.EarliestMS)*time.Millisecond)-used, 0))
			}
			used += work
		}
		c := comparison{needed: (used + o.work[k]/settings.Margin) / unit, room: roomUntil(s, d.Class, k, end) / unit, capacity: total[k] * 1000 / unit}
		if c.needed*worst.room > worst.needed*c.room {
			worst = c
		}
	}
	return worst
}

// goesFirst returns the waiting work that the planner certainly serves before a job that
// must start by onTimeStart to meet its objective, and by usefulStart to be of use: its
// class goes first, or within the class its priority or its latest start, unless the order
// within the class is by costs, which depend on the time; and it fits wherever a unit of
// the job does, so that the job cannot use room that is left by it. The order is by class
// and by the start until which it is served.
func goesFirst(s *workflow.ServiceBacklog, r *Request, class int, onTimeStart, usefulStart time.Duration, byCost bool) []*workflow.WaitingWork {
	var first []*workflow.WaitingWork
	for i := range s.Waiting {
		g := &s.Waiting[i]
		startBy := onTimeStart
		if g.Late {
			startBy = usefulStart
		}
		ordered := g.Class < class ||
			g.Class == class && !byCost && (g.Priority < r.Queue.Priority || g.Priority == r.Queue.Priority && g.LatestMS <= startBy.Milliseconds())
		if ordered && slices.ContainsFunc(r.Job.Steps, func(step workflow.Step) bool { return fitsWherever(g, &step) }) {
			first = append(first, g)
		}
	}
	slices.SortStableFunc(first, func(a, b *workflow.WaitingWork) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.EarliestMS, b.EarliestMS))
	})
	return first
}

// fitsWherever reports whether units of g fit wherever a unit of the step does.
func fitsWherever(g *workflow.WaitingWork, step *workflow.Step) bool {
	items := 1
	if step.Gang {
		items = step.Count
	}
	return g.Item.Fits(step.Needs()) && g.Items <= items && (!g.SameRack || step.SameRack) && (g.Label == "" || g.Label == step.Label)
}

// roomUntil returns, in accelerator-milliseconds or millicore-milliseconds, what the pool
// offers a job of a class until end: all that items which it may not preempt do not hold.
func roomUntil(s *workflow.ServiceBacklog, class, resource int, end time.Duration) float64 {
	amount := func(r workflow.Resources) float64 { return float64([2]int64{r.Accelerators, r.MilliCPU}[resource]) }
	room := 0.0
	for i := 1; i < len(workflow.BacklogHorizons); i++ {
		from, to := workflow.BacklogHorizons[i-1], min(workflow.BacklogHorizons[i], end)
		if to <= from {
			break
		}
		free := amount(s.Total)
		for c := range class + 1 {
			free -= amount(s.Held[c][i])
		}
		room += max(free, 0) * float64((to - from).Milliseconds())
	}
	return room
}

// weigh sets the costs of d: what the caller loses by the refusal, and what the job costs
// those whose work it delays by the time for which it would occupy the pool.
func (d *Decision) weigh(o *outlook, s *workflow.ServiceBacklog, q *workflow.QueueRunTimes) {
	d.RefusalCost = q.Worth * (o.work[0]*workflow.CoresPerAccelerator + o.work[1]/1000) / 1000
	perSecond, delay := 0.0, 0.0
	for i := range s.Waiting {
		if s.Waiting[i].Class >= d.Class {
			perSecond += s.Waiting[i].CostPerSecond
		}
	}
	for k, total := range [2]float64{float64(s.Total.Accelerators), float64(s.Total.MilliCPU)} {
		if total > 0 {
			delay = max(delay, o.work[k]/total/1000)
		}
	}
	d.HeldUpCost = perSecond * delay
}
