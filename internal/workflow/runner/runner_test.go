package runner

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/workflow"
)

// fakeWorker is a WorkerAPI with scripted responses.
type fakeWorker struct {
	mu          sync.Mutex
	starts      []func(context.Context) (workflow.OrderOutcome, error)
	stops       []func(context.Context) (workflow.OrderOutcome, error)
	report      workflow.WorkerReport
	leaseLimits []int64  // lease limits received
	acked       []uint64 // acknowledgements received
	tokens      []uint64
	err         error
	delay       time.Duration // of the next answer, after it was made
}

func (f *fakeWorker) Hold(ctx context.Context, _ string, token, acked uint64, leaseUntilMS int64, wait time.Duration) (*workflow.WorkerReport, error) {
	if wait > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() { time.Sleep(f.delay); f.delay = 0 }()
	if f.err != nil {
		return nil, f.err
	}
	f.leaseLimits, f.tokens, f.acked = append(f.leaseLimits, leaseUntilMS), append(f.tokens, token), append(f.acked, acked)
	f.report.ClockMS++
	reply := f.report
	return &reply, nil
}

func (f *fakeWorker) Start(ctx context.Context, _ string, _ uint64, _ workflow.StartOrder) (workflow.OrderOutcome, error) {
	f.mu.Lock()
	answer := f.starts[0]
	f.starts = f.starts[1:]
	f.mu.Unlock()
	return answer(ctx)
}

func (f *fakeWorker) Stop(ctx context.Context, _ string, _ uint64, _ workflow.StopOrder) (workflow.OrderOutcome, error) {
	f.mu.Lock()
	answer := f.stops[0]
	f.stops = f.stops[1:]
	f.mu.Unlock()
	return answer(ctx)
}

// newSynced returns a Runner that a planner of epoch 1 has called once.
func newSynced(t *testing.T, g *GomegaWithT, w WorkerAPI) *Runner {
	r := New(w)
	_, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 1})
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

func loseResponse(ctx context.Context) (workflow.OrderOutcome, error) {
	<-ctx.Done()
	return workflow.OrderOutcome{}, ctx.Err()
}

func respondWith(v workflow.Verdict, reason string) func(context.Context) (workflow.OrderOutcome, error) {
	return func(context.Context) (workflow.OrderOutcome, error) {
		return workflow.OrderOutcome{Verdict: v, Reason: reason, ClockMS: 7}, nil
	}
}

func noListener(context.Context) (workflow.OrderOutcome, error) {
	return workflow.OrderOutcome{}, ErrNoListener
}

type attempts = []func(context.Context) (workflow.OrderOutcome, error)

// Guards against a second run of an item beside the first one. A start whose
// response is lost may have taken effect, so the refusal of a retry must not be
// reported as VerdictRefused: the planner would start the item again.
func TestRefusalAfterLostResponseLeavesTheOutcomeUnknown(t *testing.T) {
	cases := []struct {
		name   string
		starts attempts
		want   workflow.Verdict
	}{
		{"answered", attempts{respondWith(workflow.VerdictDone, "")}, workflow.VerdictDone},
		{"refused at once", attempts{respondWith(workflow.VerdictRefused, workflow.ReasonNoCapacity)}, workflow.VerdictRefused},
		{"lost, then confirmed", attempts{loseResponse, respondWith(workflow.VerdictDone, "")}, workflow.VerdictDone},
		{"lost, then late", attempts{loseResponse, respondWith(workflow.VerdictRefused, workflow.ReasonExpired)}, workflow.VerdictUnknown},
		{"lost, then old", attempts{loseResponse, respondWith(workflow.VerdictRefused, workflow.ReasonOldRun)}, workflow.VerdictUnknown},
		{"lost, then no room", attempts{loseResponse, respondWith(workflow.VerdictRefused, workflow.ReasonNoCapacity)}, workflow.VerdictUnknown},
		{"lost, then fenced", attempts{loseResponse, respondWith(workflow.VerdictRefused, workflow.ReasonFenced)}, workflow.VerdictUnknown},
		{"lost, then another incarnation", attempts{loseResponse, respondWith(workflow.VerdictRefused, workflow.ReasonInstance)}, workflow.VerdictRefused},
		{"nothing listens", attempts{noListener}, workflow.VerdictRefused},
		{"always lost", attempts{loseResponse, loseResponse, loseResponse, loseResponse}, workflow.VerdictUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newSynced(t, g, &fakeWorker{starts: c.starts})
				reply, err := r.Order(t.Context(), &workflow.OrderRequest{Epoch: 1, Starts: []workflow.StartOrder{{Run: 1}}})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(reply.Starts[0].Verdict).To(Equal(c.want))
			})
		})
	}
}

// Guards against a start on a worker that has announced that it drains, while
// the planner does not know this yet. An older announcement that arrives later
// must not undo the draining.
func TestDrainingWorkerGetsNoStarts(t *testing.T) {
	g := NewWithT(t)
	r := New(&fakeWorker{})
	r.Announce(&workflow.Announcement{Instance: "w", StartedMS: 5, Draining: true, Seq: 3})
	r.Announce(&workflow.Announcement{Instance: "w", StartedMS: 5, Seq: 2}) // sent before, arrives later
	reply, err := r.Order(t.Context(), &workflow.OrderRequest{Epoch: 1, Instance: "w", StartedMS: 5, Starts: []workflow.StartOrder{{Run: 1}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Starts[0]).To(Equal(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonDraining}))
}

// Guards against orders of a replaced planner that reach the worker. Calls with
// an older epoch must fail with code Fenced.
func TestOlderEpochIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := New(&fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}})
		_, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 9})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 8})
		g.Expect(result.CodeOf(err)).To(Equal(result.Fenced))
		_, err = r.Order(t.Context(), &workflow.OrderRequest{Epoch: 8, Starts: []workflow.StartOrder{{Run: 1}}})
		g.Expect(result.CodeOf(err)).To(Equal(result.Fenced))
	})
}

// Guards against an order of the former planner that takes effect after the
// first report of a new term, or of one for a former incarnation after the first report
// of a new generation. That report must come from a poll under the new token.
func TestFirstReportIsMadeUnderTheNewEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
		r := New(w)
		for _, epoch := range []uint64{3, 4} {
			reply, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: epoch})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Report).NotTo(BeNil())
			g.Expect(w.tokens[len(w.tokens)-1]).To(Equal(workflow.FencingToken(epoch, 0)))
		}
		reply, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 4, Generation: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Report).NotTo(BeNil())
		g.Expect(reply.Generation).To(BeEquivalentTo(1))
		g.Expect(w.tokens[len(w.tokens)-1]).To(Equal(workflow.FencingToken(4, 1)))
		w.err = errors.New("no answer")
		reply, err = r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 5})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Report).To(BeNil())
	})
}

// Guards against a lease that was granted to one incarnation and is passed on to
// the next.
func TestLeaseIsForOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
		r := New(w)
		_, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 3})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 3, Instance: "w", StartedMS: 5, LeaseUntilMS: 900})
		g.Expect(err).NotTo(HaveOccurred())
		r.poll(t.Context(), 0)
		g.Expect(w.leaseLimits[len(w.leaseLimits)-1]).To(BeEquivalentTo(900))
		w.report.StartedMS = 6
		r.poll(t.Context(), 0)
		r.poll(t.Context(), 0)
		g.Expect(w.leaseLimits[len(w.leaseLimits)-1]).To(BeEquivalentTo(0))
	})
}

// Guards against a start that was meant for one incarnation of a worker and takes effect on
// the next, which has the same id: the planner counts the run as lost with the former
// incarnation and starts the item a second time.
func TestStartForAFormerIncarnationIsNotPassedOn(t *testing.T) {
	cases := []struct {
		name   string
		change func(context.Context, *Runner, *fakeWorker) // what happens to the worker after its first poll
	}{
		{"the next one has announced itself", func(_ context.Context, r *Runner, _ *fakeWorker) {
			r.Announce(&workflow.Announcement{Instance: "w", StartedMS: 6, Seq: 1})
		}},
		{"the next one has answered a poll", func(ctx context.Context, r *Runner, w *fakeWorker) {
			w.report.StartedMS = 6
			r.poll(ctx, 0)
		}},
		{"the next one has started while the agent was stopped", func(_ context.Context, _ *Runner, w *fakeWorker) {
			time.Sleep(5 * time.Second)
			w.report.StartedMS = 6
		}},
		{"the next one has started while the agent was stopped, before it read an answer", func(ctx context.Context, r *Runner, w *fakeWorker) {
			w.delay = 6 * time.Second
			r.poll(ctx, 0)
			w.report.StartedMS, w.report.ClockMS = 6, 0
		}},
		{"the worker does not answer polls", func(ctx context.Context, r *Runner, w *fakeWorker) {
			w.err = ErrNoListener
			r.poll(ctx, 0)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}, starts: attempts{respondWith(workflow.VerdictDone, "")}}
				r := newSynced(t, g, w)
				c.change(t.Context(), r, w)
				reply, err := r.Order(t.Context(), &workflow.OrderRequest{Epoch: 1, Instance: "w", StartedMS: 5, Starts: []workflow.StartOrder{{Run: 1}}})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(reply.Starts[0]).To(Equal(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance}))
				g.Expect(w.starts).To(HaveLen(1), "calls that the worker did not get")
			})
		})
	}
}

// Guards against a repeated attempt of a start that reaches the next incarnation of the worker.
func TestStartIsNotRepeatedAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
		r := newSynced(t, g, w)
		w.starts = attempts{func(context.Context) (workflow.OrderOutcome, error) {
			r.Announce(&workflow.Announcement{Instance: "w", StartedMS: 6, Seq: 1})
			return workflow.OrderOutcome{}, errors.New("connection reset")
		}, respondWith(workflow.VerdictDone, "")}
		reply, err := r.Order(t.Context(), &workflow.OrderRequest{Epoch: 1, Instance: "w", StartedMS: 5, Starts: []workflow.StartOrder{{Run: 1}}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Starts[0].Verdict).To(Equal(workflow.VerdictUnknown))
		g.Expect(w.starts).To(HaveLen(1), "attempts that were not made")
	})
}

// Guards against an acknowledgement or a lease for one incarnation that takes effect on the next:
// the worker forgets ends that nobody has read, and the items run again.
func TestPollAfterAFailureAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
		r := New(w)
		_, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 3})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 3, Instance: "w", StartedMS: 5, LeaseUntilMS: 900, AckedEnds: 7})
		g.Expect(err).NotTo(HaveOccurred())
		r.poll(t.Context(), 0)
		g.Expect(w.acked[len(w.acked)-1]).To(BeEquivalentTo(7))
		w.err = errors.New("connection reset")
		r.poll(t.Context(), 0)
		w.err, w.report.StartedMS = nil, 6
		r.poll(t.Context(), 0)
		g.Expect(w.acked[len(w.acked)-1]).To(BeZero())
		g.Expect(w.leaseLimits[len(w.leaseLimits)-1]).To(BeZero())
	})
}

// Guards against a start that the next incarnation has carried out and that counts as confirmed by
// the former one: its clock is compared with that of reports, and the run would seem to be missing.
func TestConfirmationOfANextIncarnationIsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5, ClockMS: 500}, starts: attempts{respondWith(workflow.VerdictDone, "")}}
		r := newSynced(t, g, w)
		order := &workflow.OrderRequest{Epoch: 1, Instance: "w", StartedMS: 5, Starts: []workflow.StartOrder{{Run: 1}}}
		reply, err := r.Order(t.Context(), order)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Starts[0]).To(Equal(workflow.OrderOutcome{}))
		reply, err = r.Order(t.Context(), order)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Starts[0].Verdict).To(Equal(workflow.VerdictRefused), "before the next poll")
	})
}

// A worker drains, deregisters and starts again under its id. Guards against messages of the former
// incarnation that come late and make the agent treat the next one as draining.
func TestDrainingIsOfOneIncarnation(t *testing.T) {
	t.Run("late deregistration", func(t *testing.T) {
		g := NewWithT(t)
		r := New(&fakeWorker{})
		r.Announce(&workflow.Announcement{Instance: "w", StartedMS: 5, Draining: true, Seq: 9})
		r.Announce(&workflow.Announcement{Instance: "w", StartedMS: 6, Seq: 1})
		r.Deregister("w")
		g.Expect(r.announced.Draining).To(BeFalse())
	})
	t.Run("late announcement", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 6}, starts: attempts{respondWith(workflow.VerdictDone, "")}}
			r := newSynced(t, g, w)
			r.Announce(&workflow.Announcement{Instance: "w", StartedMS: 5, Draining: true, Seq: 9})
			reply, err := r.Order(t.Context(), &workflow.OrderRequest{Epoch: 1, Instance: "w", StartedMS: 6, Starts: []workflow.StartOrder{{Run: 1}}})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Starts[0].Verdict).To(Equal(workflow.VerdictDone))
		})
	})
	t.Run("crash of the next one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
			r := newSynced(t, g, w)
			r.Announce(&workflow.Announcement{Instance: "w", StartedMS: 5, Draining: true, Seq: 9})
			r.Deregister("w")
			w.report.StartedMS = 6
			r.poll(t.Context(), 0)
			w.err = ErrNoListener
			r.poll(t.Context(), 0)
			g.Expect(r.hasLeft).To(BeFalse())
		})
	})
}

// The time of day is set back over a restart of the worker. Guards against polls without a pause
// while the agent ignores the answers.
func TestIgnoredAnswersAreNotPolledInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5_000}}
		r := newSynced(t, g, w)
		w.err = ErrNoListener
		r.poll(t.Context(), 0)
		w.err, w.report.StartedMS = nil, 4_000
		g.Expect(r.poll(t.Context(), pollWait)).To(BeNumerically(">", 0))
	})
}

// A new planner calls while the worker does not respond. Guards against a reply that leaves open
// how long ago the worker can have been given a lease: its runs would wait for the longest outage of the store.
func TestReplyWithoutReportStatesTheSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
		silence := func(r *Runner, epoch uint64) time.Duration {
			reply, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: epoch})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Report).To(BeNil())
			return time.Duration(reply.SilentMS) * time.Millisecond
		}
		r := newSynced(t, g, w)
		w.err = ErrNoListener
		time.Sleep(4 * time.Second)
		g.Expect(silence(r, 2)).To(Equal(4 * time.Second))

		// A response after a long call counts from its arrival, also if the agent ignores it.
		w.err, w.report.StartedMS, w.delay = nil, 4, time.Second
		r.poll(t.Context(), 0)
		w.err = ErrNoListener
		time.Sleep(2 * time.Second)
		g.Expect(silence(r, 3)).To(Equal(2 * time.Second))

		// A new process of the agent does not know when its predecessor last had a response.
		r = New(w)
		time.Sleep(3 * time.Second)
		g.Expect(silence(r, 3)).To(Equal(3 * time.Second))
	})
}

// Nothing changes on a worker while the planner's call waits. Guards against a reply with the state at the
// begin of the wait: the planner would set the deadlines of starts by a clock that is a second behind, and
// the worker refuse them as late.
func TestReplyAfterTheWaitIsUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
		r := New(w)
		first, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 1})
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			time.Sleep(900 * time.Millisecond)
			r.poll(t.Context(), 0)
		}()
		reply, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 1, Version: first.Version, WaitMS: 1000})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Version).To(Equal(first.Version))
		g.Expect(reply.Report.ClockMS).To(BeNumerically(">", first.Report.ClockMS))
	})
}

// Guards against a panic in the call of one order that ends the agent, and with it the lease of its
// worker, is reported as an outcome, or keeps the other orders of the request from being carried out.
func TestPanicOfOneOrderLeavesItsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		odd := func(context.Context) (workflow.OrderOutcome, error) { panic("odd response") }
		w := &fakeWorker{starts: attempts{respondWith(workflow.VerdictDone, "")}}
		req := &workflow.OrderRequest{Epoch: 1, Starts: []workflow.StartOrder{{Run: 1}}}
		for i := range 2 * maxParallelOrders { // each order must give its slot back
			w.stops, req.Stops = append(w.stops, odd), append(req.Stops, workflow.StopOrder{Run: i})
		}
		reply, err := newSynced(t, g, w).Order(t.Context(), req)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Stops).To(HaveEach(workflow.OrderOutcome{}))
		g.Expect(reply.Starts[0].Verdict).To(Equal(workflow.VerdictDone))
	})
}
