package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// announcement returns an announcement of service "svc" with the capacity of a worker.
func announcement(instance string, startedMS, seq int64) *workflow.Announcement {
	return &workflow.Announcement{Instance: instance, StartedMS: startedMS, Seq: seq, Service: "svc", Capacity: workflow.Resources{MilliCPU: 1000}}
}

// startOn orders a start on an incarnation and returns its outcome.
func startOn(ctx context.Context, g *GomegaWithT, r *Runner, instance string, startedMS int64) workflow.OrderOutcome {
	reply, err := r.Order(ctx, &workflow.OrderRequest{Epoch: 1, Instance: instance, StartedMS: startedMS, Starts: []workflow.StartOrder{{Run: 1}}})
	g.Expect(err).NotTo(HaveOccurred())
	return reply.Starts[0]
}

// Guards against another writer whose announcement, with a later birth or another id, hides or
// drains the worker that answers: nothing starts on that worker any more.
func TestForeignAnnouncementDoesNotHideTheWorker(t *testing.T) {
	cases := map[string]func(*workflow.Announcement){
		"later birth":            func(a *workflow.Announcement) { a.StartedMS = 1 << 53 },
		"later birth, draining":  func(a *workflow.Announcement) { a.StartedMS, a.Draining = 1<<53, true },
		"other id":               func(a *workflow.Announcement) { a.Instance, a.Draining = "x", true },
		"other id, later birth":  func(a *workflow.Announcement) { a.Instance, a.StartedMS = "x", 6 },
		"former birth, draining": func(a *workflow.Announcement) { a.StartedMS, a.Draining = 4, true },
		"other service":          func(a *workflow.Announcement) { a.Service, a.Draining = "none", true },
	}
	for name, change := range cases {
		for _, foreignFirst := range []bool{false, true} {
			if foreignFirst && name == "other service" {
				continue // an incarnation is known by its first announcement
			}
			t.Run(fmt.Sprint(name, ", first: ", foreignFirst), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
					r := New(w)
					foreign := announcement("w", 5, 1<<40)
					change(foreign)
					if foreignFirst {
						r.Announce(foreign)
					}
					r.Announce(announcement("w", 5, 1))
					_, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 1})
					g.Expect(err).NotTo(HaveOccurred())
					for seq := range int64(3) {
						r.Announce(foreign)
						time.Sleep(time.Millisecond)
						r.poll(t.Context(), 0)
						r.Announce(announcement("w", 5, 2+seq))
						w.starts = attempts{respondWith(workflow.VerdictDone, "")}
						g.Expect(startOn(t.Context(), g, r, "w", 5).Verdict).To(Equal(workflow.VerdictDone))
						reply, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 1})
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(reply.Announced).To(Equal(announcement("w", 5, 2+seq)))
						g.Expect(reply.Report.StartedMS).To(BeEquivalentTo(5))
					}
				})
			})
		}
	}
}

// Guards against an incarnation that stays refuted although it answers: the worker would never be
// used again.
func TestRefutedIncarnationCountsOnceItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}}
		r := newSynced(t, g, w)
		r.Announce(announcement("w", 6, 1))
		time.Sleep(time.Millisecond)
		r.poll(t.Context(), 0)
		w.report = workflow.WorkerReport{Instance: "w", StartedMS: 6}
		r.poll(t.Context(), 0)
		g.Expect(r.announced).To(Equal(announcement("w", 6, 1)))
		w.starts = attempts{respondWith(workflow.VerdictDone, "")}
		g.Expect(startOn(t.Context(), g, r, "w", 6).Verdict).To(Equal(workflow.VerdictDone))
	})
}

// Guards against a worker that restarts under another id and is used late, as the agent pauses
// after a poll that failed.
func TestAnnouncementOfALaterIncarnationEndsThePause(t *testing.T) {
	for _, instance := range []string{"w", "w2"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r := newSynced(t, g, &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}})
			begin := time.Now()
			go r.Announce(announcement(instance, 6, 1))
			r.pause(t.Context(), failureDelay)
			g.Expect(time.Since(begin)).To(BeZero(), instance)
			time.Sleep(time.Millisecond)
			r.poll(t.Context(), 0) // the former one answers
			r.Announce(announcement(instance, 6, 2))
			r.pause(t.Context(), failureDelay)
			g.Expect(time.Since(begin)).To(BeNumerically(">", failureDelay), "a refuted one")
		})
	}
}

// Guards against an answer that was sent before the next incarnation announced itself and that
// refutes it: a start for the former incarnation would reach the next one.
func TestAnswerToAnEarlierPollRefutesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}, starts: attempts{respondWith(workflow.VerdictDone, "")}}
		r := newSynced(t, g, w)
		go func() {
			time.Sleep(pollWait / 2)
			r.Announce(announcement("w", 6, 1))
		}()
		r.poll(t.Context(), pollWait)
		g.Expect(startOn(t.Context(), g, r, "w", 5)).To(Equal(workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance}))
		g.Expect(w.starts).To(HaveLen(1), "calls that the worker did not get")
	})
}

// otherInstance is a WorkerAPI whose worker refuses calls that name the instance "x", and does not
// tell its id.
type otherInstance struct{ fakeWorker }

func (o *otherInstance) Hold(ctx context.Context, instance string, token, acked uint64, leaseUntilMS int64, wait time.Duration) (*workflow.WorkerReport, error) {
	if instance == "x" {
		return nil, ErrOtherIncarnation
	}
	report, err := o.fakeWorker.Hold(ctx, instance, token, acked, leaseUntilMS, wait)
	if report != nil {
		report.Instance = instance
	}
	return report, err
}

// Guards against an agent that takes the id of another writer's announcement with the birth of
// its worker for that of the worker: each other poll fails, and nothing starts.
func TestForeignIDIsDroppedWhenTheWorkerRefusesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &otherInstance{fakeWorker{report: workflow.WorkerReport{StartedMS: 5}}}
		r := New(w)
		r.Announce(announcement("x", 5, 1))
		r.Announce(announcement("w", 5, 1))
		_, err := r.Sync(t.Context(), &workflow.SyncRequest{Epoch: 1})
		g.Expect(err).NotTo(HaveOccurred())
		r.poll(t.Context(), 0) // refused, as it names x
		for range 5 {
			r.Announce(announcement("x", 5, 2))
			r.poll(t.Context(), 0)
			g.Expect(r.instance).To(Equal("w"))
			g.Expect(r.announced.Instance).To(Equal("w"))
			g.Expect(r.isConfirmed()).To(BeTrue())
		}
	})
}

// Guards against memory that grows with the announcements of other writers, and against the loss
// of the worker's own among them.
func TestAnnouncedIncarnationsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newSynced(t, g, &fakeWorker{report: workflow.WorkerReport{Instance: "w", StartedMS: 5}})
		r.Announce(announcement("w", 5, 1))
		for i := range 10 * maxCandidates {
			r.Announce(announcement(fmt.Sprint("x", i), int64(100+i), 1))
		}
		g.Expect(r.candidates).To(HaveLen(maxCandidates))
		g.Expect(r.announced).To(Equal(announcement("w", 5, 1)))
		g.Expect(r.isConfirmed()).To(BeTrue())
	})
}
