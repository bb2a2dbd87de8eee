package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/workflow"
)

var (
	now    = time.UnixMilli(1_800_000_000_000)
	urgent = &workflow.Queue{Name: "urgent", Service: "s", SlackFactor: 1.5, TargetMS: 250}
	bulk   = &workflow.Queue{Name: "bulk", Service: "s", Priority: 2, SlackFactor: 3, TargetMS: 3000}
)

// testBacklog returns a statement of now on a service of 10 workers with 8 accelerators
// each, of which running items hold all for the next 5 s.
func testBacklog(waiting ...workflow.WaitingWork) *workflow.Backlog {
	capacity := workflow.Resources{MilliCPU: 32_000, MemoryMB: 64_000, Accelerators: 8}
	s := workflow.ServiceBacklog{Name: "s", Workers: 10, Total: workflow.Resources{}.Add(capacity, 10), Waiting: waiting}
	s.Kinds = []workflow.WorkerKind{{Capacity: capacity, Labels: []string{"a"}, Count: 10}}
	s.Racks = []string{"r1", "r2"}
	for i, h := range workflow.BacklogHorizons {
		if h < 5*time.Second {
			s.Held[workflow.ClassGuaranteed][i] = s.Total
		}
	}
	return &workflow.Backlog{StatedMS: now.UnixMilli(), Services: []workflow.ServiceBacklog{s}, Queues: []workflow.QueueRunTimes{{Queue: "urgent", Exponent: 1}, {Queue: "bulk", Exponent: 1}}}
}

// waitingItems returns single items of one accelerator that are waiting, with run times of
// 5 s in total accelerator-seconds.
func waitingItems(class, priority int, earliest, latest time.Duration, acceleratorSeconds float64) workflow.WaitingWork {
	return workflow.WaitingWork{
		Class: class, Priority: priority, EarliestMS: earliest.Milliseconds(), LatestMS: latest.Milliseconds(), Units: int(acceleratorSeconds / 5),
		Item: workflow.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}, Items: 1, Accelerators: acceleratorSeconds * 1000, MilliCPU: acceleratorSeconds * 1e6,
	}
}

// request returns a job with one step of items of one accelerator.
func request(q *workflow.Queue, items int, estimate time.Duration) *Request {
	return &Request{ID: "000000000000000a", Queue: q, Team: "t", Service: "s", Job: &workflow.Job{Steps: []workflow.Step{{
		Count: items, MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1, EstimateMS: estimate.Milliseconds(),
	}}}}
}

func decide(r *Request, b *workflow.Backlog) Decision { return decideAt(r, b, now) }

func decideAt(r *Request, b *workflow.Backlog, at time.Time) Decision {
	var s Settings
	s.Provision()
	return Decide(s, r, Observation{Backlog: b}, at)
}

// Load: far too many urgent jobs, whose work occupies the pool for minutes. Guards against
// the acceptance of a job that must wait behind all of them, and against the refusal of an
// urgent job that is served once those before it are too late.
func TestTooManyUrgentJobs(t *testing.T) {
	g := NewWithT(t)
	b := testBacklog(waitingItems(workflow.ClassUrgent, 0, time.Second, 8*time.Second, 80*200))
	d := decide(request(bulk, 4, 5*time.Second), b)
	g.Expect(d.Code).To(Equal(result.NotInTime))
	g.Expect(d.Needed).To(BeNumerically(">", d.Room))
	g.Expect(decide(request(urgent, 4, 5*time.Second), b).Code).To(Equal(result.OK))
}

// Load: urgent jobs whose work the pool can do in time. Guards against the refusal of a
// job that only has to wait.
func TestUrgentJobsThatLeaveRoom(t *testing.T) {
	b := testBacklog(waitingItems(workflow.ClassUrgent, 0, time.Second, 8*time.Second, 80*10))
	NewWithT(t).Expect(decide(request(bulk, 4, 5*time.Second), b).Code).To(Equal(result.OK))
}

// Load: one huge job of low priority among small ones. Guards against its acceptance if
// small jobs of higher priority leave too little room for it, and against refusing a small
// one because of it.
func TestHugeLowJobAmongSmallOnes(t *testing.T) {
	g := NewWithT(t)
	small := waitingItems(workflow.ClassUrgent, 0, 40*time.Second, 50*time.Second, 80*50)
	huge := request(bulk, 700, 5*time.Second)
	huge.Queue = &workflow.Queue{Name: "bulk", Service: "s", Priority: 2, SlackFactor: 1}
	// It has 35 waves of 5 s on a quarter of the pool, more than a statement covers.
	g.Expect(decide(huge, testBacklog(small)).Code).To(Equal(result.OK))
	huge.Job.Steps[0].Count = 140
	d := decide(huge, testBacklog(waitingItems(workflow.ClassUrgent, 0, 40*time.Second, 50*time.Second, 80*180)))
	g.Expect(d.Code).To(Equal(result.NotInTime))
	behind := waitingItems(workflow.ClassOther, 2, 150*time.Second, 150*time.Second, 80*500)
	g.Expect(decide(request(bulk, 2, 5*time.Second), testBacklog(behind)).Code).To(Equal(result.OK))
}

// Load: small items cannot use what larger ones leave. Guards against counting large waiting
// items before a small one, which slips through the gaps.
func TestSmallJobBetweenLargeOnes(t *testing.T) {
	large := waitingItems(workflow.ClassUrgent, 0, time.Second, 8*time.Second, 80*200)
	large.Item.Accelerators = 8
	NewWithT(t).Expect(decide(request(bulk, 4, 5*time.Second), testBacklog(large)).Code).To(Equal(result.OK))
}

// Load: a team floods the pool with urgent jobs. Guards against the refusal of another
// team's job that its guarantee covers.
func TestFloodingTeamDoesNotRefuseGuarantees(t *testing.T) {
	g := NewWithT(t)
	b := testBacklog(waitingItems(workflow.ClassGuaranteed, 0, time.Second, 8*time.Second, 80*300))
	r := request(urgent, 4, 5*time.Second)
	g.Expect(decide(r, b).Code).To(Equal(result.NotInTime), "beyond the guarantee")
	r.Guaranteed = true
	g.Expect(decide(r, b).Code).To(Equal(result.OK))
}

// overload returns a statement by which a job of queue bulk is refused.
func overload() *workflow.Backlog {
	return testBacklog(waitingItems(workflow.ClassUrgent, 0, time.Second, 8*time.Second, 80*300))
}

// Load: any. Guards against a decision by a statement that is too old, by either clock.
func TestStaleStatement(t *testing.T) {
	g := NewWithT(t)
	var s Settings
	s.Provision()
	r := request(bulk, 4, 5*time.Second)
	g.Expect(decideAt(r, overload(), now.Add(s.maxAge())).Code).To(Equal(result.NotInTime))
	g.Expect(decideAt(r, overload(), now.Add(s.maxAge()+time.Millisecond)).Code).To(Equal(result.OK))
	d := Decide(s, r, Observation{Backlog: overload(), ReceivedAgo: s.maxAge() + time.Millisecond}, now)
	g.Expect(d.Code).To(Equal(result.OK))
}

// Load: any. Guards against an entry whose clock of day jumps and that takes an old
// statement for a new one.
func TestClockJump(t *testing.T) {
	g := NewWithT(t)
	r := request(bulk, 4, 5*time.Second)
	g.Expect(decideAt(r, overload(), now.Add(-maxClockSkew)).Code).To(Equal(result.NotInTime))
	for _, jump := range []time.Duration{-time.Hour, -maxClockSkew - time.Millisecond, time.Hour} {
		g.Expect(decideAt(r, overload(), now.Add(jump)).Code).To(Equal(result.OK), "%v", jump)
	}
}

// Load: any, after a change of the planner. Guards against refusals without a statement, or
// by the estimates of callers before the new planner has learned run times.
func TestPlannerReplaced(t *testing.T) {
	g := NewWithT(t)
	r := request(bulk, 4, 5*time.Second)
	g.Expect(decide(r, nil).Code).To(Equal(result.OK))
	b := overload()
	b.Queues = nil
	g.Expect(decide(r, b).Code).To(Equal(result.OK))
}

// Load: callers that state a tenth of their run times. Guards against a caller that gains by
// a shorter estimate: the objective and the work follow the learned run times.
func TestShortEstimateGainsNothing(t *testing.T) {
	g := NewWithT(t)
	b := overload()
	honest := decide(request(bulk, 4, 5*time.Second), b)
	b.Queues[1] = workflow.QueueRunTimes{Queue: "bulk", Offset: 2.302585, Exponent: 1}
	short := decide(request(bulk, 4, 500*time.Millisecond), b)
	g.Expect(short.Code).To(Equal(honest.Code))
	g.Expect(short.UsefulEnd.Seconds()).To(BeNumerically("~", honest.UsefulEnd.Seconds(), 0.01))
}

// Load: jobs that the pool cannot hold. Guards against accepting what would wait for ever,
// and against the refusal of what another rack, label or a pool that is not known holds.
func TestImpossibleJob(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*workflow.Step)
		code   result.Code
	}{
		"item larger than a worker": {func(s *workflow.Step) { s.Accelerators = 9 }, result.ExceedsPool},
		"gang larger than the pool": {func(s *workflow.Step) { s.Gang, s.Count = true, 81 }, result.ExceedsPool},
		"gang that fills the pool":  {func(s *workflow.Step) { s.Gang, s.Count = true, 80 }, result.OK},
		"gang spread too widely":    {func(s *workflow.Step) { s.Gang, s.Count, s.MaxPerWorker = true, 21, 2 }, result.ExceedsPool},
		"many single items":         {func(s *workflow.Step) { s.Count = 81 }, result.OK},
		"unknown label":             {func(s *workflow.Step) { s.Label = "b" }, result.ExceedsPool},
		"label of a rack":           {func(s *workflow.Step) { s.Label = "r2" }, result.OK},
	} {
		r := request(bulk, 4, 5*time.Second)
		c.change(&r.Job.Steps[0])
		NewWithT(t).Expect(decide(r, testBacklog()).Code).To(Equal(c.code), name)
		b := testBacklog()
		b.Services[0].Kinds = nil
		NewWithT(t).Expect(decide(r, b).Code).To(Equal(result.OK), "%s on an unknown pool", name)
	}
}

// Load: a service whose workers are away. Guards against refusing during the replacement of
// workers, and against accepting for a service that has none.
func TestServiceWithoutWorkers(t *testing.T) {
	g := NewWithT(t)
	b := overload()
	b.Services[0].Workers, b.Services[0].IdleMS = 0, 10_000
	g.Expect(decide(request(bulk, 4, 5*time.Second), b).Code).To(Equal(result.OK))
	b.Services[0].IdleMS = 30_000
	g.Expect(decide(request(bulk, 4, 5*time.Second), b).Code).To(Equal(result.NoWorker))
	b.Services[0].IdleMS, b.Services[0].Standby = 0, true
	g.Expect(decide(request(bulk, 4, 5*time.Second), b).Code).To(Equal(result.NoWorker))
}

// Load: scheduled and long-running jobs. Guards against judging by the present load what
// runs at another time.
func TestScheduledAndLongRunningJobsAreAccepted(t *testing.T) {
	g := NewWithT(t)
	scheduled, serving := request(bulk, 4, 5*time.Second), request(bulk, 4, 5*time.Second)
	scheduled.Job.Occurrences, serving.Job.Steps[0].LongRunning = 1, true
	g.Expect(decide(scheduled, overload()).Code).To(Equal(result.OK))
	g.Expect(decide(serving, overload()).Code).To(Equal(result.OK))
}

// Load: a thousand callers refused at once. Guards against times to come back at which they
// return together, or that are out of bounds.
func TestCallersComeBackSpread(t *testing.T) {
	g := NewWithT(t)
	perTenth := make(map[int]int)
	var base time.Duration
	for i := range 1000 {
		r := request(bulk, 4, 5*time.Second)
		r.ID = fmt.Sprintf("%016x", i)
		d := decide(r, overload())
		g.Expect(d.RetryAfter).To(And(BeNumerically(">=", minRetryAfter), BeNumerically("<=", 2*maxRetryAfter)))
		g.Expect(decide(r, overload()).RetryAfter).To(Equal(d.RetryAfter), "the same job gets the same answer")
		base = maxRetryAfter
		perTenth[int(10*(d.RetryAfter-base)/base)]++
	}
	for tenth := range 10 {
		g.Expect(perTenth[tenth]).To(BeNumerically("~", 100, 50), "tenth %d", tenth)
	}
}

// Load: too many urgent jobs. Guards against a refusal that costs its caller more than the
// job would cost those behind it.
func TestRefusalIsWeighedAgainstWhatItHoldsUp(t *testing.T) {
	g := NewWithT(t)
	b := overload()
	behind := waitingItems(workflow.ClassOther, 2, 150*time.Second, 150*time.Second, 1000)
	behind.CostPerSecond = 8
	b.Services[0].Waiting = append(b.Services[0].Waiting, behind)
	b.ByCost = true
	for worth, code := range map[float64]result.Code{0.01: result.NotInTime, 0.02: result.OK} {
		b.Queues[1].Worth = worth
		d := decide(request(bulk, 4, 5*time.Second), b)
		g.Expect(d.Code).To(Equal(code), "refusal costs %v, delay %v", d.RefusalCost, d.HeldUpCost)
		g.Expect(d.HeldUpCost).To(BeNumerically("~", 8*4*5/80.0, 0.01))
		g.Expect(d.RefusalCost).To(BeNumerically("~", worth*4*5*(8+1), 0.01))
	}
}

// Load: more work of the same class than fits, which is served by its costs. Guards against
// counting work before a job that may be served first because it costs more to delay.
func TestOrderByCostIsNotForeseen(t *testing.T) {
	g := NewWithT(t)
	earlier := waitingItems(workflow.ClassOther, 1, 40*time.Second, 41*time.Second, 80*200)
	b := testBacklog(earlier)
	r := request(bulk, 140, 5*time.Second)
	r.Queue = &workflow.Queue{Name: "bulk", Service: "s", Priority: 2, SlackFactor: 1}
	r.Job.Steps[0].Count, r.Job.Steps[0].EstimateMS = 20, 5000
	b.Services[0].Waiting[0].EarliestMS = 100_000
	g.Expect(decide(r, b).Code).To(Equal(result.NotInTime))
	b.ByCost = true
	g.Expect(decide(r, b).Code).To(Equal(result.OK))
}
