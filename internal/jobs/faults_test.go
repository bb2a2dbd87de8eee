package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
	"snipegw/internal/store/storetest"
)

// pageFault returns a rule that applies fault to the first n calls of op on job
// pages. An empty op stands for all operations.
func pageFault(op string, fault storetest.Fault, n int64) func(string, string) storetest.Fault {
	var count atomic.Int64
	return func(o, key string) storetest.Fault {
		if strings.HasPrefix(key, "snipegw/jobs/") && (op == "" || o == op) && count.Add(1) <= n {
			return fault
		}
		return storetest.None
	}
}

// hasRecord reports whether the store holds a record of the job.
func hasRecord(r *region, id string) bool {
	d, err := decodePage(r.store.Peek(PageKey("north", PageOf(id))))
	if err != nil {
		return false
	}
	_, ok := d.find(id)
	return ok
}

// everyCall as the number of calls makes a fault permanent.
const everyCall = int64(1) << 40

var _ = Describe("a submission with a faulty store", func() {
	// Guards against a reply that says "not accepted" for a job that is recorded,
	// and against one that says "accepted" for a job that is not. Either happens if
	// the outcome of a failed write is guessed.
	DescribeTable("is answered according to the record in the store",
		func(op string, fault storetest.Fault, n int64, want ...result.Code) {
			withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
				h := r.addHost("e1")
				Expect(waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
				r.store.SetFaultRule(pageFault(op, fault, n))
				_, err := h.Submit(ctx, testJob("j1", 1, 8))
				code := result.CodeOf(err)
				Expect(want).To(ContainElement(code), fmt.Sprint(err))
				if code == result.OK {
					Expect(hasRecord(r, "j1")).To(BeTrue())
				}
				if code == result.OutcomeUnknown {
					Expect(err.Error()).To(ContainSubstring("j1"))
				}
				r.store.SetFaultRule(nil)
				time.Sleep(15 * time.Second)
				if code.NotRun() && code != result.OK {
					Expect(hasRecord(r, "j1")).To(BeFalse())
					Expect(r.startsOf("j1")).To(BeEmpty())
					return
				}
				st, err := h.Submit(ctx, testJob("j1", 1, 8))
				Expect(err).NotTo(HaveOccurred())
				Expect(st.State).To(Equal(model.JobRunning))
				Expect(r.startsOf("j1")).To(HaveLen(1))
			})
		},
		Entry("write down once", storetest.OpCAS, storetest.Down, int64(1), result.OK),
		Entry("write down", storetest.OpCAS, storetest.Down, everyCall, result.OutcomeUnknown),
		Entry("answer of the write lost once", storetest.OpCAS, storetest.AnswerLost, int64(1), result.OK),
		Entry("answers of all writes lost", storetest.OpCAS, storetest.AnswerLost, everyCall, result.OK),
		Entry("write takes effect late", storetest.OpCAS, storetest.LateEffect, int64(1), result.OK),
		Entry("all writes take effect late", storetest.OpCAS, storetest.LateEffect, everyCall, result.OK, result.OutcomeUnknown),
		Entry("writes slow", storetest.OpCAS, storetest.Slow, everyCall, result.OK),
		Entry("reads down", storetest.OpGet, storetest.Down, everyCall, result.OutcomeUnknown, result.OK),
		Entry("reads stale", storetest.OpGet, storetest.Stale, int64(3), result.OK),
		Entry("all down", "", storetest.Down, everyCall, result.OutcomeUnknown),
	)

	It("is refused at once while the store is known to be down", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := r.addHost("e1")
			Expect(waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
			r.store.SetFaultRule(func(string, string) storetest.Fault { return storetest.Down })
			time.Sleep(3 * time.Second)
			began := time.Now()
			_, err := h.Submit(ctx, testJob("j1", 1, 8))
			Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
			Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		})
	})

	// Guards against an outage of the store during which running gangs are stopped,
	// their end is lost, or the entries call the store at a high rate.
	It("leaves running gangs alone and records their end afterwards", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			h2 := r.addHost("e2")
			submitJobs(ctx, h, "j2")
			r.store.SetFaultRule(func(string, string) storetest.Fault { return storetest.Down })
			before := totalCalls(r.store.Calls())
			time.Sleep(30 * time.Second)
			perSecond := float64(totalCalls(r.store.Calls())-before) / 30
			GinkgoWriter.Printf("store calls per second in an outage, 2 entries: %.1f\n", perSecond)
			Expect(perSecond).To(BeNumerically("<", 15))
			r.endGang("j1", framework.OutcomeDone)
			time.Sleep(10 * time.Second)
			Expect(r.startsOf("j1")).To(HaveLen(1))
			Expect(r.startsOf("j2")).To(BeEmpty())
			r.store.SetFaultRule(nil)
			Expect(waitUntil(15*time.Second, func() bool { return stateOf(h2, "j2") == model.JobRunning })).To(BeTrue())
			Expect(stateOf(h2, "j1")).To(Equal(model.JobDone))
			Expect(r.startsOf("j1")).To(HaveLen(1))
		})
	})
})

// Guards against calls that pile up during a long outage and all reach the store
// when it returns, and against jobs that do not continue without an operator.
var _ = Describe("an outage of the store of ten minutes", func() {
	It("is followed by a rate below the limit of the store, and all jobs end", func() {
		const (
			jobs       = 40
			storeLimit = 300 // calls in any second; the store serves several hundred writes
		)
		withRegion(8, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			h2 := r.addHost("e2")
			for i := range jobs {
				submitJobs(ctx, h, fmt.Sprint("job", i))
			}
			r.store.SetFaultRule(func(string, string) storetest.Fault { return storetest.Down })
			before := totalCalls(r.store.Calls())
			time.Sleep(10 * time.Minute)
			Expect(float64(totalCalls(r.store.Calls())-before) / 600).To(BeNumerically("<", 15))
			r.endGang("j1", framework.OutcomeDone)
			r.store.SetFaultRule(nil)
			most := uint64(0)
			last := totalCalls(r.store.Calls())
			for range 30 {
				time.Sleep(time.Second)
				now := totalCalls(r.store.Calls())
				most = max(most, now-last)
				last = now
			}
			GinkgoWriter.Printf("most store calls in a second after the outage: %d\n", most)
			Expect(most).To(BeNumerically("<=", storeLimit))
			for i := range jobs {
				id := fmt.Sprint("job", i)
				Expect(waitUntil(time.Minute, func() bool { return stateOf(h2, id) == model.JobRunning })).To(BeTrue(), id)
				r.endGang(id, framework.OutcomeDone)
				Expect(waitUntil(time.Minute, func() bool { return stateOf(h2, id) == model.JobDone })).To(BeTrue(), id)
				Expect(r.startsOf(id)).To(HaveLen(1))
			}
		})
	})
})

func totalCalls(calls map[string]uint64) (n uint64) {
	for _, c := range calls {
		n += c
	}
	return n
}

// TestTwoPlanners runs random sequences of submissions, cancellations, store
// faults, crashes and lease expiries with two hosts. It guards against a lost
// record, an epoch that decreases, a job that runs twice, and a start by a planner
// whose lease another host has acquired.
func TestTwoPlanners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 11), 5, 30).Draw(rt, "steps")
		waits := rapid.SliceOfN(rapid.IntRange(1, 2500), len(steps), len(steps)).Draw(rt, "waits_ms")
		var failure error
		synctest.Test(t, func(*testing.T) { failure = runTwoPlanners(steps, waits) })
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func runTwoPlanners(steps, waits []int) error {
	ctx, cancel := context.WithCancel(context.Background())
	r := newRegion(3, 3*time.Millisecond)
	defer r.stopAll()
	defer cancel()
	go r.deliverEvents(ctx, 100*time.Millisecond)
	hosts := []*Host{r.addHost("e0"), r.addHost("e1")}
	time.Sleep(8 * time.Second)
	accepted := map[string]bool{}
	refused := map[string]bool{}
	for i, step := range steps {
		switch step {
		case 0, 1, 2:
			id := fmt.Sprint("j", i)
			_, err := hosts[step%2].Submit(ctx, testJob(id, 1, 4))
			switch code := result.CodeOf(err); {
			case err == nil:
				accepted[id] = true
			case code.NotRun():
				refused[id] = true
			}
		case 3:
			r.store.SetFaultRule(func(_, key string) storetest.Fault {
				if key == LeaseKey("north") {
					return storetest.Down
				}
				return storetest.None
			})
		case 4:
			r.store.SetFaultRule(pageFault(storetest.OpCAS, storetest.AnswerLost, 2))
		case 5:
			r.store.SetFaultRule(pageFault(storetest.OpCAS, storetest.LateEffect, 2))
		case 6:
			r.kill(hosts[i%2])
			hosts[i%2] = r.addHost(fmt.Sprintf("e%d", i+2))
		case 7:
			r.store.SetFaultRule(nil)
		case 8:
			r.store.SetFaultRule(keyFault("snipegw/", storetest.OpGet, storetest.Stale))
		case 9:
			r.store.SetFaultRule(keyFault("snipegw/planner/", storetest.OpCAS, storetest.LateEffect))
		case 10:
			r.store.SetFaultRule(keyFault("snipegw/", "", storetest.Slow))
		case 11:
			_, _ = hosts[i%2].Cancel(ctx, []string{fmt.Sprint("j", i/2)}, "")
		}
		time.Sleep(time.Duration(waits[i]) * time.Millisecond)
	}
	r.store.SetFaultRule(nil)
	time.Sleep(20 * time.Second)
	return checkHistory(ctx, r, hosts[0], accepted, refused)
}

// keyFault returns a rule that applies fault to all calls of op on keys with the
// prefix. An empty op stands for all operations.
func keyFault(prefix, op string, fault storetest.Fault) func(string, string) storetest.Fault {
	return func(o, key string) storetest.Fault {
		if strings.HasPrefix(key, prefix) && (op == "" || o == op) {
			return fault
		}
		return storetest.None
	}
}

// checkHistory checks the records and the running gangs against the replies to
// the submissions.
func checkHistory(ctx context.Context, r *region, h *Host, accepted, refused map[string]bool) error {
	for id := range accepted {
		if !hasRecord(r, id) {
			return fmt.Errorf("accepted job %s has no record", id)
		}
		if _, err := h.Status(ctx, id); err != nil {
			return fmt.Errorf("accepted job %s: %w", id, err)
		}
	}
	for id := range refused {
		if hasRecord(r, id) || len(r.startsOf(id)) > 0 {
			return fmt.Errorf("job %s was refused, but it is recorded or was started", id)
		}
	}
	if err := checkEpochsGrow(r); err != nil {
		return err
	}
	running := map[string]int{}
	for _, w := range r.View().Workers {
		for _, g := range w.State.Gangs {
			running[g.Job]++
		}
	}
	for id, n := range running {
		if n != 1 {
			return fmt.Errorf("job %s runs on %d workers, want 1", id, n)
		}
	}
	for id := range accepted {
		st, err := h.Status(ctx, id)
		switch {
		case err != nil:
			return fmt.Errorf("job %s: %w", id, err)
		case st.CancelRequested && !st.State.Final():
			return fmt.Errorf("job %s has an accepted cancellation, but its state is %s", id, st.State)
		case st.State.Final() && running[id] > 0:
			return fmt.Errorf("job %s is %s, but still runs", id, st.State)
		// The pool of 3 workers with 8 accelerators has room for 6 jobs of 4.
		case !st.State.Final() && len(running) < 6 && running[id] == 0:
			return fmt.Errorf("job %s does not run although the pool has room", id)
		}
	}
	return nil
}

// checkEpochsGrow checks that each write of the lease or of a page is newer than
// the one before it, by epoch and then by sequence number. It also checks that no
// start order carries a lower epoch than an earlier one at the same worker, and
// that the attempt numbers of each job increase.
func checkEpochsGrow(r *region) error {
	var last leaseValue
	for _, data := range r.store.History(LeaseKey("north")) {
		var v leaseValue
		if err := json.Unmarshal(data, &v); err != nil {
			return err
		}
		if !v.newerThan(last) {
			return fmt.Errorf("lease went from %+v to %+v", last, v)
		}
		last = v
	}
	for i := range PageCount {
		var epoch, seq uint64
		for _, data := range r.store.History(PageKey("north", i)) {
			d, err := decodePage(data)
			if err != nil {
				return err
			}
			if d.Epoch < epoch || d.Epoch == epoch && d.Seq <= seq {
				return fmt.Errorf("page %d went from epoch/sequence %d/%d to %d/%d", i, epoch, seq, d.Epoch, d.Seq)
			}
			epoch, seq = d.Epoch, d.Seq
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	highest := map[string]uint64{}
	attempts := map[string]uint64{}
	for _, s := range r.starts {
		w := s.Members[0].Worker
		if s.Order.Epoch < highest[w] {
			return errors.New("a fenced planner started a gang")
		}
		highest[w] = s.Order.Epoch
		if s.Attempt <= attempts[s.Job.ID] {
			return fmt.Errorf("job %s started attempt %d after %d", s.Job.ID, s.Attempt, attempts[s.Job.ID])
		}
		attempts[s.Job.ID] = s.Attempt
	}
	return nil
}
