package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
	"snipegw/internal/store/storetest"
	"snipegw/internal/wire"
)

func submitJobs(ctx context.Context, h *Host, ids ...string) {
	for _, id := range ids {
		_, err := h.Submit(ctx, testJob(id, 1, 8))
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
	}
}

// startRunningJob starts a host and runs job j1 on it.
func startRunningJob(ctx context.Context, r *region) *Host {
	h := r.addHost("e1")
	ExpectWithOffset(1, waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
	submitJobs(ctx, h, "j1")
	ExpectWithOffset(1, waitUntil(time.Second, func() bool { return stateOf(h, "j1") == model.JobRunning })).To(BeTrue())
	return h
}

var _ = Describe("a gang whose agent has restarted", func() {
	// Guards against a gang that can neither be cancelled nor preempted after a
	// planned restart of its agent, because the stop orders carry the earlier
	// incarnation.
	It("is stopped by orders for the current incarnation", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			r.editWorker("w00", func(w *members.Worker) { w.State.Incarnation = "i2" })
			_, err := h.Cancel(ctx, []string{"j1"}, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(waitUntil(5*time.Second, func() bool { return stateOf(h, "j1") == model.JobCancelled })).To(BeTrue())
		})
	})
})

var _ = Describe("a change of planner", func() {
	// Guards against a running gang that is stopped, or started a second time,
	// because its planner was replaced.
	It("keeps running gangs and queued jobs after a crash", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			submitJobs(ctx, h, "j2")
			h2 := r.addHost("e2")
			time.Sleep(10 * time.Second)
			began := time.Now()
			r.kill(h)
			Expect(waitUntil(5*time.Second, isPlanner(h2))).To(BeTrue())
			Expect(time.Since(began)).To(BeNumerically("<", 2700*time.Millisecond))
			Expect(stateOf(h2, "j1")).To(Equal(model.JobRunning))
			Expect(stateOf(h2, "j2")).To(Equal(model.JobQueued))
			time.Sleep(10 * time.Second)
			Expect(r.startsOf("j1")).To(HaveLen(1))
			r.endGang("j1", framework.OutcomeDone)
			Expect(waitUntil(2*time.Second, func() bool { return stateOf(h2, "j2") == model.JobRunning })).To(BeTrue())
			Expect(stateOf(h2, "j1")).To(Equal(model.JobDone))
		})
	})

	// Guards against a submission that waits for the answer of a failed planner
	// although the next one is ready, so that an urgent job starts too late.
	It("delays a submission by little more than the lease timeout", func() {
		withRegion(2, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			h2 := r.addHost("e2")
			time.Sleep(10 * time.Second)
			r.kill(h)
			r.mu.Lock()
			r.unresponsive[h.opts.Entry.Address] = true
			r.mu.Unlock()
			began := time.Now()
			_, err := h2.Submit(ctx, testJob("j2", 1, 8))
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Since(began)).To(BeNumerically("<", 2700*time.Millisecond))
			Expect(waitUntil(time.Second, func() bool { return len(r.startsOf("j2")) == 1 })).To(BeTrue())
		})
	})

	It("is immediate after a graceful stop", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			h2 := r.addHost("e2")
			time.Sleep(10 * time.Second)
			began := time.Now()
			Expect(h.Stop(ctx)).To(Succeed())
			Expect(waitUntil(5*time.Second, isPlanner(h2))).To(BeTrue())
			Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		})
	})

	// Guards against a job that never runs because its planner recorded an attempt
	// and failed before it started it.
	It("replaces a recorded attempt that was not started by one with a higher number", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			rec := Record{Status: model.JobStatus{Job: testJob("j1", 1, 8), State: model.JobStarting, Attempt: 3, Workers: []string{"w00"}},
				Members: []wire.Member{{Worker: "w00", Address: "addr-w00", Incarnation: "i1", Ranks: []int{0}}}}
			doc := pageDoc{Epoch: 9, Seq: 4, Jobs: []json.RawMessage{mustEncodeJSON(rec)}}
			r.store.Put(PageKey("north", PageOf("j1")), doc.encode())
			r.store.Put(LeaseKey("north"), mustEncodeJSON(leaseValue{Holder: "gone", Incarnation: "gone-1", Epoch: 9, Renewal: 8}))
			h := r.addHost("e1")
			Expect(waitUntil(15*time.Second, func() bool { return stateOf(h, "j1") == model.JobRunning })).To(BeTrue())
			starts := r.startsOf("j1")
			Expect(starts).To(HaveLen(1))
			Expect(starts[0].Attempt).To(BeNumerically("==", 4))
			Expect(starts[0].Order.Epoch).To(BeNumerically(">", 9))
		})
	})

	// Guards against a gang that keeps its accelerators forever although its job
	// has ended or is unknown.
	It("stops gangs without a matching record", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(_ context.Context, r *region) {
			r.editWorker("w00", func(w *members.Worker) {
				w.State.Gangs = []wire.GangState{{Job: "stray", Attempt: 1, State: gangStateRunning}}
			})
			h := r.addHost("e1")
			Expect(waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
			Expect(waitUntil(10*time.Second, func() bool { return len(r.View().Workers["w00"].State.Gangs) == 0 })).To(BeTrue())
		})
	})

	// Guards against a planner that continues to record and start jobs after a
	// pause of its process during which its lease has expired.
	It("fences a planner that was paused", func() {
		withRegion(2, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			old := h.term.Load()
			key := LeaseKey("north")
			r.store.SetFaultRule(func(_, k string) storetest.Fault {
				if k == key {
					return storetest.Down
				}
				return storetest.None
			})
			time.Sleep(2500 * time.Millisecond)
			Expect(old.suspended()).To(BeTrue())
			_, err := h.Submit(ctx, testJob("late", 1, 8))
			Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
			r.store.SetFaultRule(nil)
			r.store.Put(key, mustEncodeJSON(leaseValue{Holder: "x", Incarnation: "x-1", Epoch: 50, Renewal: 1}))
			Expect(waitUntil(2*time.Second, func() bool { return h.term.Load() == nil })).To(BeTrue())
			Expect(h.highestEpoch.Load()).To(BeNumerically("==", 50))
		})
	})
})

var _ = Describe("after a failure of a worker, a planner", func() {
	It("starts the job of a dead worker again elsewhere", func() {
		withRegion(2, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			r.editWorker("w00", func(w *members.Worker) { w.Health = members.Dead; w.State.Gangs = nil })
			Expect(waitUntil(2*time.Second, func() bool { return len(r.startsOf("j1")) == 2 })).To(BeTrue())
			second := r.startsOf("j1")[1]
			Expect(second.Members[0].Worker).To(Equal("w01"))
			Expect(second.Attempt).To(BeNumerically("==", 2))
			Expect(waitUntil(time.Second, func() bool { return stateOf(h, "j1") == model.JobRunning })).To(BeTrue())
		})
	})

	// Guards against placements that are repeated without a backoff.
	It("backs off when a worker refuses reservations", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := r.addHost("e1")
			Expect(waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
			reserves := 0
			r.mu.Lock()
			r.refuse = func(_ string, kind wire.Kind) error {
				if kind == wire.KindReserve {
					reserves++
					return result.Errorf(result.WorkerFull, "full")
				}
				return nil
			}
			r.mu.Unlock()
			submitJobs(ctx, h, "j1")
			time.Sleep(20 * time.Second)
			r.mu.Lock()
			Expect(reserves).To(BeNumerically(">", 5))
			Expect(reserves).To(BeNumerically("<", 40))
			Expect(r.starts).To(BeEmpty())
			r.refuse = nil
			r.mu.Unlock()
			Expect(waitUntil(5*time.Second, func() bool { return stateOf(h, "j1") == model.JobRunning })).To(BeTrue())
		})
	})
})

var _ = Describe("a damaged job record", func() {
	// Guards against a record that the next write of its page drops, so that nobody can
	// read it any more, and against one that keeps the other jobs from being planned.
	It("stays on its page beside the other jobs", func() {
		good, err := json.Marshal(Record{Status: model.JobStatus{Job: model.Job{ID: "a1", Team: "t"}}})
		Expect(err).NotTo(HaveOccurred())
		damaged := []json.RawMessage{json.RawMessage(`{"status":3}`), json.RawMessage(`"x"`), json.RawMessage(`{}`)}
		stored, err := decodePage((&pageDoc{Epoch: 4, Seq: 2, Jobs: append([]json.RawMessage{good}, damaged...)}).encode())
		Expect(err).NotTo(HaveOccurred())
		t := &term{jobs: make(map[string]*job), active: make(map[string]int)}
		p := newPage("r", 0)
		for _, raw := range stored.Jobs {
			t.addRecord(p, raw)
		}
		Expect(t.jobs).To(HaveLen(1))
		written, err := decodePage(p.snapshot(5).encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(written.Jobs).To(HaveLen(4))
		Expect(written.Jobs[1:]).To(Equal(damaged))
		size := 0
		for _, raw := range written.Jobs {
			size += len(raw) + 1
		}
		Expect(p.encodedBytes).To(Equal(size))
	})
})

var _ = Describe("the job index", func() {
	It("answers a repeated submission with the same job and refuses another one", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			st, err := h.Submit(ctx, testJob("j1", 1, 8))
			Expect(err).NotTo(HaveOccurred())
			Expect(st.State).To(Equal(model.JobRunning))
			_, err = h.Submit(ctx, testJob("j1", 2, 8))
			Expect(result.CodeOf(err)).To(Equal(result.JobConflict))
			_, err = h.Submit(ctx, testJob("huge", 5000, 8))
			Expect(result.CodeOf(err)).To(Equal(result.ImpossibleShape))
			j := testJob("b1", 1, 8)
			j.Team = "nobody"
			_, err = h.Submit(ctx, j)
			Expect(result.CodeOf(err)).To(Equal(result.UnknownTeam))
		})
	})

	It("limits the jobs of a team that have not ended", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			codes := []result.Code{}
			for i := range 3 {
				j := testJob(fmt.Sprint("b", i), 1, 8)
				j.Team = "b"
				_, err := h.Submit(ctx, j)
				codes = append(codes, result.CodeOf(err))
			}
			Expect(codes).To(Equal([]result.Code{result.OK, result.OK, result.Overloaded}))
		})
	})

	// Guards against a write to the store for each job of a bulk cancellation.
	It("cancels hundreds of jobs with one write for each page", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			ids := []string{}
			done := make(chan error, 600)
			for i := range 600 {
				id := fmt.Sprint("c", i)
				ids = append(ids, id)
				go func() {
					_, err := h.Submit(ctx, testJob(id, 1, 8))
					done <- err
				}()
			}
			for range ids {
				Expect(<-done).To(Succeed())
			}
			time.Sleep(time.Second)
			before := len(pageWrites(r))
			codes, err := h.Cancel(ctx, append(ids, "nobody", "j1"), "a")
			Expect(err).NotTo(HaveOccurred())
			Expect(codes[:600]).To(HaveEach(result.Accepted))
			Expect(codes[600:]).To(Equal([]result.Code{result.UnknownJob, result.Accepted}))
			time.Sleep(3 * time.Second)
			// One write for each of 64 pages, and one or two for the running job.
			Expect(len(pageWrites(r)) - before).To(BeNumerically("<=", PageCount+2))
			Expect(stateOf(h, "j1")).To(Equal(model.JobCancelled))
			codes, err = h.Cancel(ctx, []string{"c1"}, "b")
			Expect(err).NotTo(HaveOccurred())
			Expect(codes).To(Equal([]result.Code{result.Forbidden}))
		})
	})

	It("answers from the store, with the age of the record, while there is no planner", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			time.Sleep(5 * time.Second)
			h2 := r.addHost("e2")
			time.Sleep(100 * time.Millisecond)
			r.kill(h)
			unknown := make(chan error)
			go func() {
				_, err := h2.Status(ctx, "nobody")
				unknown <- err
			}()
			st, err := h2.Status(ctx, "j1")
			Expect(err).NotTo(HaveOccurred())
			Expect(st.State).To(Equal(model.JobRunning))
			Expect(st.Reason.Fields).To(HaveKeyWithValue("source", "store"))
			Expect(st.Reason.Fields).To(HaveKey("age_ms"))
			Expect(result.CodeOf(<-unknown)).To(Equal(result.NoPlanner))
		})
	})

	// Guards against a list that another entry cannot receive because it exceeds
	// the maximum size of a message.
	It("lists as many jobs as fit in one message", func() {
		withRegion(1, 0, time.Second, func(ctx context.Context, r *region) {
			h := startRunningJob(ctx, r)
			t := h.term.Load()
			Expect(t.postAndWait(ctx, func() {
				for i := range 5000 {
					spec := testJob(fmt.Sprint("l", i), 1, 8)
					spec.Command = []string{strings.Repeat("x", 2000)}
					p := t.pages[PageOf(spec.ID)]
					j := &job{page: p}
					j.rec.Status = model.JobStatus{Job: spec, State: model.JobQueued}
					p.jobs[spec.ID], t.jobs[spec.ID] = j, j
				}
			})).To(Succeed())
			reply, err := h.List(ctx, "", MaxListedJobs)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(reply.Jobs)).To(BeNumerically(">", 1000))
			_, err = wire.Marshal(reply)
			Expect(err).NotTo(HaveOccurred())
		})
	})

	// Guards against a page that outgrows the store's limit, and against the loss of
	// the outcome of a recent job while older ones are kept.
	It("drops ended jobs, the oldest first, when a page is full", func() {
		p := newPage("north", 0)
		t := &term{jobs: map[string]*job{}, pages: [PageCount]*page{}}
		for i := range 40 {
			j := &job{page: p}
			j.rec.Status = model.JobStatus{Job: testJob(fmt.Sprint("e", i), 1, 1), State: model.JobDone, EndedMS: int64(i)}
			j.rec.Status.Job.Command = []string{string(make([]byte, 5000))}
			p.jobs[j.id()], t.jobs[j.id()] = j, j
		}
		p.snapshot(1)
		Expect(p.encodedBytes).To(BeNumerically(">", MaxPageBytes))
		Expect(t.trimEnded(p)).To(BeTrue())
		Expect(p.encodedBytes).To(BeNumerically("<=", MaxPageBytes))
		Expect(p.jobs).NotTo(HaveKey("e0"))
		Expect(p.jobs).To(HaveKey("e39"))
		Expect(len(p.snapshot(1).encode())).To(BeNumerically("<=", MaxPageBytes+64))
	})

	It("starts a gang of 2 x 8 within 100 ms at p99 with a store of 3 ms", func() {
		withRegion(2, 3*time.Millisecond, 5*time.Millisecond, func(ctx context.Context, r *region) {
			h := r.addHost("e1")
			Expect(waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
			var took []time.Duration
			for i := range 200 {
				id := fmt.Sprint("t", i)
				began := time.Now()
				_, err := h.Submit(ctx, testJob(id, 2, 8))
				Expect(err).NotTo(HaveOccurred())
				for len(r.startsOf(id)) == 0 {
					time.Sleep(time.Millisecond)
				}
				took = append(took, time.Since(began))
				r.endGang(id, framework.OutcomeDone)
				Expect(waitUntil(time.Second, func() bool { return stateOf(h, id) == model.JobDone })).To(BeTrue())
			}
			sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
			p99 := took[len(took)*99/100]
			GinkgoWriter.Printf("submit to start, virtual clock: p50 %v p99 %v\n", took[len(took)/2], p99)
			Expect(p99).To(BeNumerically("<", 100*time.Millisecond))
		})
	})
})

// pageWrites returns the content of every page write, in order for each page.
func pageWrites(r *region) [][]byte {
	var all [][]byte
	for i := range PageCount {
		all = append(all, r.store.History(PageKey("north", i))...)
	}
	return all
}

var _ = Describe("a planner that sends orders to workers", func() {
	// Guards against a worker that stays out of use forever after a quarantine, and
	// against one that returns to use without a probe.
	It("releases a quarantined worker after a successful probe", func() {
		withRegion(1, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := r.addHost("e1")
			Expect(waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
			Expect(h.WorkerOrder(ctx, "w00", actionQuarantine)).To(Succeed())
			r.editWorker("w00", func(w *members.Worker) { w.State.Quarantined = true })
			submitJobs(ctx, h, "j1")
			time.Sleep(time.Minute)
			Expect(r.startsOf("j1")).To(BeEmpty())
			time.Sleep(probeDelay)
			Expect(r.startsOf("j1")).To(HaveLen(1))
			r.endGang("j1", framework.OutcomeDone)
			time.Sleep(time.Second)
			r.mu.Lock()
			Expect(r.agents["addr-w00"].orders).To(Equal([]string{actionQuarantine, actionRelease}))
			r.mu.Unlock()
			Expect(result.CodeOf(h.WorkerOrder(ctx, "w99", actionDrain))).To(Equal(result.UnknownWorker))
			Expect(result.CodeOf(h.WorkerOrder(ctx, "w00", "paint"))).To(Equal(result.BadRequest))
		})
	})

	// Guards against a job that waits forever because the event of the end of its
	// aborted attempt came before the answers to the stop orders.
	It("queues a job again whose aborted attempt ends by an event", func() {
		withRegion(2, 3*time.Millisecond, 50*time.Millisecond, func(ctx context.Context, r *region) {
			h := r.addHost("e1")
			Expect(waitUntil(10*time.Second, isPlanner(h))).To(BeTrue())
			j := testJob("j1", 2, 8)
			_, err := h.Submit(ctx, j)
			Expect(err).NotTo(HaveOccurred())
			Expect(waitUntil(time.Second, func() bool { return stateOf(h, "j1") == model.JobRunning })).To(BeTrue())
			r.kill(h)
			// One member is dead, so the next planner aborts the attempt; the other one
			// answers no order for a while, but its event arrives.
			r.editWorker("w01", func(w *members.Worker) { w.Health = members.Dead; w.State.Gangs = nil })
			r.mu.Lock()
			r.refuse = func(_ string, kind wire.Kind) error {
				if kind == wire.KindStopGang {
					return context.DeadlineExceeded
				}
				return nil
			}
			r.mu.Unlock()
			r.endGang("j1", framework.OutcomeLost)
			h2 := r.addHost("e2")
			time.Sleep(15 * time.Second)
			r.editWorker("w01", func(w *members.Worker) { w.Health = members.Alive })
			Expect(waitUntil(5*time.Second, func() bool { return stateOf(h2, "j1") == model.JobRunning })).To(BeTrue())
		})
	})
})
