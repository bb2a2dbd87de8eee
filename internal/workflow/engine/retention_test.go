package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

const testRetention = 2 * time.Minute

// addCancelledJob adds a job without runs to e and cancels it, which ends it.
func addCancelledJob(e *Engine, id string, now time.Time) {
	e.AddJob(id, &workflow.JobRecord{
		Job: workflow.Job{Steps: []workflow.Step{{Count: 1, Accelerators: 1}}}, Queue: "q", Service: "s", MaxAttempts: 3, AcceptedMS: now.UnixMilli(),
	}, nil, 0)
	e.CancelJob(id, now)
}

// endJobAt ends a job in e at now, stores the end at the given revision and returns its record as stored.
func endJobAt(g *WithT, e *Engine, id string, now time.Time, revision uint64) *workflow.Progress {
	addCancelledJob(e, id, now)
	c := takeOnly(g, e)
	e.MarkStored(c, revision, now)
	stored, err := workflow.Decode[workflow.Progress](workflow.Encode(c.Progress))
	g.Expect(err).NotTo(HaveOccurred())
	return stored
}

func isOutdated(e *Engine, id string, now time.Time) bool {
	return slices.ContainsFunc(e.OutdatedJobs(now, testRetention, 100), func(j OutdatedJob) bool { return j.ID == id })
}

// Guards against ended jobs that are forgotten before their retention because the time of day of the planner that
// decided on the end, or of the one that removes the records, is off (review/15).
func TestEndedJobsAreKeptWhateverTheTimesOfDay(t *testing.T) {
	for _, off := range [][2]time.Duration{
		{0, 0}, {-2 * time.Second, 0}, {0, 2 * time.Second}, {-2 * time.Second, 2 * time.Second}, {2 * time.Second, -2 * time.Second}, {-time.Hour, time.Hour},
	} {
		t.Run(fmt.Sprint(off), func(t *testing.T) {
			g := NewWithT(t)
			start := time.UnixMilli(1_800_000_000_000)
			first := newTermAt(start.Add(off[0]))
			ended := start.Add(30 * time.Second)
			stored := endJobAt(g, first, "j", ended.Add(off[0]), 1)

			second := newTermAt(ended.Add(20 * time.Second).Add(off[1]))
			second.AddJob("j", first.jobs["j"].rec, stored, 1)
			g.Expect(isOutdated(second, "j", ended.Add(testRetention-time.Millisecond).Add(off[1]))).To(BeFalse(), "within the retention")
			g.Expect(isOutdated(second, "j", ended.Add(testRetention+20*time.Second+second.settings.MaxStoreOutage).Add(off[1]))).To(BeTrue(), "after the retention, the time between the terms and the longest outage")
		})
	}
}

// Guards against an ended job that is forgotten early by the planner that has decided on its end: its time of day
// was 2 s back at the end, and is right at the removal.
func TestEndedJobsAreKeptThoughTheTimeOfDayIsStepped(t *testing.T) {
	g := NewWithT(t)
	start := time.UnixMilli(1_800_000_000_000)
	e := newTermAt(start)
	endJobAt(g, e, "j", start, 1)
	e.jobs["j"].endedMS -= 2000
	g.Expect(isOutdated(e, "j", start.Add(testRetention-time.Millisecond))).To(BeFalse())
	g.Expect(isOutdated(e, "j", start.Add(testRetention))).To(BeTrue())
}

// Guards against a retention that runs before callers can read the final state, while the store is away.
func TestEndedJobsAreKeptFromWhenTheEndIsStored(t *testing.T) {
	g := NewWithT(t)
	start := time.UnixMilli(1_800_000_000_000)
	e := newTermAt(start)
	decided := start.Add(10 * time.Second)
	addCancelledJob(e, "j", decided)
	c := takeOnly(g, e)
	stored := decided.Add(e.settings.MaxStoreOutage)
	e.MarkStored(c, 1, stored)
	later := endJobAt(g, e, "k", stored, 1)
	g.Expect(isOutdated(e, "j", stored.Add(testRetention-time.Millisecond))).To(BeFalse())
	g.Expect(isOutdated(e, "j", stored.Add(testRetention))).To(BeTrue())

	second := newTermAt(stored)
	second.AddJob("j", e.jobs["j"].rec, c.Progress, 1)
	second.AddJob("k", e.jobs["k"].rec, later, 1)
	g.Expect(isOutdated(second, "j", stored.Add(testRetention-time.Millisecond))).To(BeFalse(), "by the next planner")
}

// Guards against ended jobs that stay for ever because the planner changes more often than the retention passes.
func TestEndedJobsAreRemovedThoughThePlannerChanges(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	ended := now.Add(time.Second)
	stored := map[string]*workflow.Progress{}
	records := map[string]*workflow.JobRecord{}
	for term := 0; ; term++ {
		e := newTermAt(now)
		for id, p := range stored {
			e.AddJob(id, records[id], p, 1)
		}
		id := fmt.Sprint("j", term)
		stored[id] = endJobAt(g, e, id, now.Add(time.Second), 1)
		records[id] = e.jobs[id].rec
		now = now.Add(10 * time.Second)
		stored[id+"b"] = endJobAt(g, e, id+"b", now, 1)
		records[id+"b"] = e.jobs[id+"b"].rec
		if isOutdated(e, "j0", now) {
			break
		}
		now = now.Add(time.Second) // without a planner
		g.Expect(now.Sub(ended)).To(BeNumerically("<", 2*testRetention))
	}
	g.Expect(now.Sub(ended)).To(BeNumerically(">=", testRetention))
}

// Guards against ends that a planner of an earlier version has stored, without a reading of the clock, and that go
// early, or never.
func TestEndsWithoutAReadingAreKeptFromTheBeginOfTheTerm(t *testing.T) {
	g := NewWithT(t)
	start := time.UnixMilli(1_800_000_000_000)
	e := newTermAt(start)
	rec := &workflow.JobRecord{Job: workflow.Job{Steps: []workflow.Step{{Count: 1}}}, Queue: "q", Service: "s"}
	e.AddJob("i", rec, &workflow.Progress{State: workflow.StateComplete, EndedMS: start.UnixMilli(), EndedClockMS: 3_600_000}, 1)
	e.AddJob("j", rec, &workflow.Progress{State: workflow.StateComplete, EndedMS: start.Add(-time.Hour).UnixMilli()}, 1)
	g.Expect(isOutdated(e, "j", start.Add(testRetention-time.Millisecond))).To(BeFalse())
	g.Expect(isOutdated(e, "j", start.Add(testRetention))).To(BeTrue())
}

// Guards against a retention clock that runs ahead over changes of the planner: no record may go before its end has
// been stored for the retention, whatever the times of day, the delays of the store and later changes of the record.
func TestNoEndedJobIsRemovedEarlyOverRandomTerms(t *testing.T) {
	for seed := range uint64(200) {
		g, rng := NewWithT(t), rand.New(rand.NewPCG(seed, 1))
		// Half of the delays are none, so that others are not hidden by them.
		upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d)) * rng.Int64N(2)) }
		now := time.UnixMilli(1_800_000_000_000) // true time
		type record struct {
			rec      *workflow.JobRecord
			progress *workflow.Progress
			storedAt time.Time
		}
		records, removed := make(map[string]*record), 0
		for term := range 12 {
			off := upTo(8*time.Second) - 4*time.Second // of this planner's time of day
			e := newTermAt(now.Add(off))
			for _, id := range sortedKeys(records) {
				e.AddJob(id, records[id].rec, records[id].progress, 1)
			}
			for step := range 20 {
				now = now.Add(upTo(4 * time.Second))
				id := fmt.Sprint("j", term, ".", step)
				addCancelledJob(e, id, now.Add(off))
				for _, j := range e.jobs {
					if rng.IntN(10) == 0 {
						e.markDirty(j) // as by the end of another member of a gang
					}
				}
				changes := e.TakeChanges()
				now = now.Add(upTo(e.settings.MaxStoreOutage))
				for _, c := range changes {
					r := records[c.ID]
					if r == nil {
						r = &record{rec: e.jobs[c.ID].rec, storedAt: now}
						records[c.ID] = r
					}
					r.progress = c.Progress
					e.MarkStored(c, 1, now.Add(off))
				}
				for _, j := range e.OutdatedJobs(now.Add(off), testRetention, 100) {
					// Stored readings are whole milliseconds.
					g.Expect(now.Sub(records[j.ID].storedAt)).To(BeNumerically(">", testRetention-time.Millisecond), "seed %d, term %d, job %s", seed, term, j.ID)
					e.RemoveEndedJob(j.ID)
					delete(records, j.ID)
					removed++
				}
			}
			now = now.Add(upTo(3 * time.Second))
		}
		g.Expect(removed).NotTo(BeZero(), "seed %d", seed)
	}
}
