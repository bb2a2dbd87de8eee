package engine

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/admission"
)

// admissionSettings returns the default settings.
func admissionSettings() admission.Settings {
	var s admission.Settings
	s.Provision()
	return s
}

// withinGuarantee reports whether a new job of priority 0 fits into what is left of its
// team's guarantee.
func (w *world) withinGuarantee(queue, team string, job *workflow.Job) bool {
	if w.config.Queue(queue).Priority != 0 {
		return false
	}
	used := job.GuaranteeNeed()
	for _, o := range w.planner.openJobs {
		if o.rec.Team == team && w.config.PriorityOf(o.rec) == 0 {
			used += o.rec.GuaranteeNeed()
		}
	}
	return used <= w.config.Teams[team].Guarantee
}

// repeated returns a copy of the load in which each job arrives n times at once.
func (l *load) repeated(n int) *load {
	f := *l
	f.Jobs = nil
	for _, j := range l.Jobs {
		for range n {
			f.Jobs = append(f.Jobs, j)
		}
	}
	return &f
}

// Recorded loads arrive several times faster than the pool can serve them; all jobs are
// accepted, and those that an entry would refuse are noted. Guards against the refusal of
// a job that ends in useful time, with statements that are up to 2 s old.
func TestNoJobIsRefusedThatWouldBeServed(t *testing.T) {
	t.Parallel()
	refused := 0
	for file, copies := range map[string]int{"testdata/loads/small-arenaria-scale-1.json": 3, "testdata/loads/small-arrieros-scale-2.json": 6} {
		recorded, err := readLoad(file)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		l := recorded.spedUp(*speedup).repeated(copies)
		refusals := make(map[int]admission.Decision)
		var latest admission.Observation
		var statedAt time.Time
		l.onArrival = func(w *world, index int) {
			if w.now.Sub(statedAt) >= 2*time.Second {
				latest, statedAt = admission.Observation{}, w.now
				if b, relevant := w.planner.Backlog(w.now, w.now); relevant {
					latest.Backlog = b
				}
			}
			j := &l.Jobs[index]
			job := &workflow.Job{Steps: j.Steps}
			q := w.config.Queue(j.Queue)
			latest.ReceivedAgo = w.now.Sub(statedAt)
			d := admission.Decide(admissionSettings(), &admission.Request{
				ID: fmt.Sprint(index), Job: job, Queue: q, Team: j.Team, Service: q.Service, Guaranteed: w.withinGuarantee(j.Queue, j.Team, job),
			}, latest, w.now)
			if d.Code != result.OK && j.CancelMS == 0 {
				refusals[index] = d
			}
		}
		l.onEnd = func(w *world, ids []string) {
			for index, d := range refusals {
				rec, p := w.jobs[ids[index]], w.progress[ids[index]]
				if p == nil || p.State != workflow.StateComplete {
					continue // not within three minutes of the last arrival
				}
				took := time.UnixMilli(p.EndedMS).Sub(time.UnixMilli(rec.AcceptedMS))
				if took <= d.UsefulEnd {
					t.Errorf("%s with %d copies: job %d of %s was complete after %v, of use until %v, and would be refused: needs %.0f of %.0f",
						filepath.Base(file), copies, index, rec.Queue, took, d.UsefulEnd, d.Needed, d.Room)
				}
			}
		}
		replayLoad(l, policy{}, nil)
		t.Logf("%s with %d copies: %d of %d jobs refused", filepath.Base(file), copies, len(refusals), len(l.Jobs))
		refused += len(refusals)
	}
	NewWithT(t).Expect(refused).To(BeNumerically(">", 0), "the loads are heavy enough to refuse jobs")
}

// Guards against a statement on quiet days, which would cost calls of the store, and
// against one that misses waiting work, a long-running job or a class.
func TestBacklogIsStatedOnlyWhileRoomIsShort(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2, 0)
	w.noRandomFailures = true
	w.advance(2500 * time.Millisecond)
	w.addJob("small", "b", step(4, 1, 3000))
	w.advance(500 * time.Millisecond)
	_, relevant := w.planner.Backlog(w.now, w.now)
	g.Expect(relevant).To(BeFalse())

	serving := step(1, 2, 1000)
	serving.LongRunning = true
	w.addJob("large", "b", serving)
	for range 12 {
		w.addLateJob("small", "b", step(4, 2, 5000))
	}
	w.addJob("urgent", "c", step(2, 4, 5000))
	w.advance(200 * time.Millisecond)
	b, relevant := w.planner.Backlog(w.now, w.now)
	g.Expect(relevant).To(BeTrue())
	s := b.Service("s")
	g.Expect(s.Workers).To(Equal(2))
	g.Expect(s.Total.Accelerators).To(Equal(int64(16)))
	last := len(workflow.BacklogHorizons) - 1
	held := func(horizon int) (sum int64) {
		for class := range s.Held {
			sum += s.Held[class][horizon].Accelerators
		}
		return sum
	}
	g.Expect(held(0)).To(BeNumerically(">=", 12))
	g.Expect(held(last)).To(Equal(int64(2)), "only the long-running item holds room for ever")
	waiting := 0.0
	for _, group := range s.Waiting {
		waiting += group.Accelerators
	}
	g.Expect(waiting).To(BeNumerically(">", 8*4*2*5000))
	g.Expect(len(workflow.Encode(b))).To(BeNumerically("<", 4096), "every entry reads each statement")
}

// Guards against learned run times that entries compute otherwise than the planner.
func TestStatedRunTimesEqualThePlanners(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2, 0)
	w.addJob("small", "b", step(4, 1, 3000))
	u := w.planner.openJobs[0].units[0]
	for i := range 20 {
		w.planner.estimates.observe(u, time.Duration(5000+100*i)*time.Millisecond)
	}
	stated := w.planner.estimates.learned("small")
	for _, ms := range []int64{100, 3000, 50_000} {
		s := step(1, 1, ms)
		g.Expect(stated.Duration(&s).Seconds()).To(BeNumerically("~", w.planner.estimates.stepDuration("small", &s).Seconds(), 1e-6))
	}
}

// A gang larger than the pool is accepted once. Guards against a pool whose limits no entry
// learns, so that each further such job waits for ever.
func TestJobBeyondThePoolIsStated(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2, 0)
	w.advance(poolMemory + time.Second)
	before := w.now.Add(-time.Millisecond)
	tooLarge := gang(3, 8, 4000)
	w.addJob("small", "b", tooLarge)
	w.advance(100 * time.Millisecond)
	b, relevant := w.planner.Backlog(w.now, before)
	g.Expect(relevant).To(BeTrue())
	_, again := w.planner.Backlog(w.now, w.now)
	g.Expect(again).To(BeFalse(), "it is stated once")
	d := admission.Decide(admissionSettings(), &admission.Request{
		ID: "1", Job: &workflow.Job{Steps: []workflow.Step{tooLarge}}, Queue: w.config.Queue("small"), Service: "s",
	}, admission.Observation{Backlog: b}, w.now)
	g.Expect(d.Code).To(Equal(result.ExceedsPool))
}
