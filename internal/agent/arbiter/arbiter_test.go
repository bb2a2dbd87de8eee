package arbiter

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

func TestArbiter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "arbiter")
}

var capacity = model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}

const incarnation = "one"

func orderOfEpoch(epoch uint64) wire.Order { return wire.Order{Epoch: epoch, Incarnation: incarnation} }

func reserveRequest(job string, attempt uint64, accelerators int) *wire.Reserve {
	return &wire.Reserve{
		Order: orderOfEpoch(1), Job: job, Attempt: attempt, Ranks: []int{0},
		PerTask: model.Resources{Accelerators: accelerators}, TTLMS: 3000,
	}
}

var _ = Describe("arbiter", func() {
	var (
		now time.Time
		a   *Arbiter
	)

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		a = New(incarnation, capacity, func() time.Time { return now })
	})

	code := func(err error) result.Code { return result.CodeOf(err) }

	It("refuses an order with a lower epoch than one seen before", func() {
		Expect(a.CheckOrder(orderOfEpoch(5))).To(Succeed())
		Expect(code(a.Reserve(reserveRequest("j", 1, 1)))).To(Equal(result.Fenced))
		Expect(a.Epoch()).To(Equal(uint64(5)))
	})

	It("refuses an order for an earlier incarnation, whose highest epoch is lost", func() {
		r := reserveRequest("j", 1, 1)
		r.Order.Incarnation = "zero"
		Expect(code(a.Reserve(r))).To(Equal(result.StaleIncarnation))
	})

	It("frees a reservation that expires before a start", func() {
		Expect(a.Reserve(reserveRequest("a", 1, 8))).To(Succeed())
		Expect(code(a.Reserve(reserveRequest("b", 1, 1)))).To(Equal(result.ReservationConflict))
		now = now.Add(3 * time.Second)
		Expect(a.Reserve(reserveRequest("b", 1, 8))).To(Succeed())
		_, err := a.Arm("a", 1)
		Expect(code(err)).To(Equal(result.ReservationExpired))
	})

	It("gives an armed reservation 3 s and a started one no expiry", func() {
		Expect(a.Reserve(reserveRequest("a", 1, 8))).To(Succeed())
		now = now.Add(2900 * time.Millisecond)
		_, err := a.Arm("a", 1)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(2900 * time.Millisecond)
		Expect(a.Start("a", 1)).To(Succeed())
		now = now.Add(time.Hour)
		Expect(a.HasHold("a", 1)).To(BeTrue())
	})

	It("does not start a reservation that was not armed", func() {
		Expect(a.Reserve(reserveRequest("a", 1, 1))).To(Succeed())
		Expect(code(a.Start("a", 1))).To(Equal(result.ReservationConflict))
	})

	It("counts a repeated reservation once", func() {
		Expect(a.Reserve(reserveRequest("a", 1, 8))).To(Succeed())
		Expect(a.Reserve(reserveRequest("a", 1, 8))).To(Succeed())
		Expect(a.Free().Accelerators).To(BeZero())
		Expect(code(a.Reserve(reserveRequest("a", 1, 4)))).To(Equal(result.ReservationConflict))
	})

	It("does not revive a released attempt on a delayed reservation", func() {
		Expect(a.Release(&wire.Release{Order: orderOfEpoch(1), Job: "a", Attempt: 2})).To(Succeed())
		Expect(code(a.Reserve(reserveRequest("a", 2, 1)))).To(Equal(result.StaleAttempt))
		Expect(code(a.Reserve(reserveRequest("a", 1, 1)))).To(Equal(result.StaleAttempt))
		Expect(a.Reserve(reserveRequest("a", 3, 1))).To(Succeed())
	})

	It("does not replace an attempt whose tasks are running", func() {
		Expect(a.Reserve(reserveRequest("a", 1, 2))).To(Succeed())
		_, err := a.Arm("a", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Start("a", 1)).To(Succeed())
		Expect(code(a.Reserve(reserveRequest("a", 2, 2)))).To(Equal(result.ReservationConflict))
		Expect(code(a.Release(&wire.Release{Order: orderOfEpoch(1), Job: "a", Attempt: 1}))).To(Equal(result.ReservationConflict))
		a.End("a", 1)
		Expect(a.Reserve(reserveRequest("a", 2, 2))).To(Succeed())
	})

	DescribeTable("reserves according to the last worker order", func(action string, probe bool, want result.Code) {
		Expect(a.ApplyOrder(&wire.WorkerOrder{Order: orderOfEpoch(1), Action: action})).To(Succeed())
		r := reserveRequest("a", 1, 1)
		r.Probe = probe
		Expect(code(a.Reserve(r))).To(Equal(want))
	},
		Entry("drained", ActionDrain, false, result.Draining),
		Entry("drained, probe", ActionDrain, true, result.Draining),
		Entry("quarantined", ActionQuarantine, false, result.Draining),
		Entry("quarantined, probe", ActionQuarantine, true, result.OK),
		Entry("released", ActionRelease, false, result.OK),
	)

	DescribeTable("refuses malformed reservations", func(change func(*wire.Reserve)) {
		r := reserveRequest("a", 1, 1)
		change(r)
		Expect(code(a.Reserve(r))).To(Equal(result.BadRequest))
	},
		Entry("negative resources", func(r *wire.Reserve) { r.PerTask.Cores = -1 }),
		Entry("duplicate rank", func(r *wire.Reserve) { r.Ranks = []int{1, 1} }),
		Entry("no ranks", func(r *wire.Reserve) { r.Ranks = nil }),
		Entry("no expiry", func(r *wire.Reserve) { r.TTLMS = 0 }),
		Entry("attempt 0", func(r *wire.Reserve) { r.Attempt = 0 }),
	)
})

// TestArbiterModel calls the arbiter in random order. It guards against
// overcommitment, accepted orders of a fenced planner, the reservation of a
// closed attempt and the loss of a hold whose tasks run.
func TestArbiterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		a := New(incarnation, capacity, func() time.Time { return now })
		var epoch uint64
		closed := map[string]uint64{}
		started := map[string]uint64{}
		job := func() string { return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "job") }
		attempt := func() uint64 { return rapid.Uint64Range(1, 4).Draw(t, "attempt") }
		drawOrder := func() wire.Order {
			return wire.Order{Epoch: rapid.Uint64Range(0, 6).Draw(t, "epoch"), Incarnation: rapid.SampledFrom([]string{incarnation, incarnation, "old"}).Draw(t, "incarnation")}
		}
		checkFencing := func(o wire.Order, err error) {
			if (o.Epoch < epoch || o.Incarnation != incarnation) && err == nil {
				t.Fatalf("order %+v accepted after epoch %d", o, epoch)
			}
			if o.Incarnation == incarnation {
				epoch = max(epoch, o.Epoch)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				o, j, n := drawOrder(), job(), attempt()
				ranks := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 4, rapid.ID[int]).Draw(t, "ranks")
				perTask := model.Resources{Accelerators: rapid.IntRange(0, 4).Draw(t, "accelerators"), Cores: rapid.IntRange(0, 20).Draw(t, "cores")}
				err := a.Reserve(&wire.Reserve{Order: o, Job: j, Attempt: n, Ranks: ranks, PerTask: perTask, TTLMS: 3000})
				checkFencing(o, err)
				if err == nil && n <= closed[j] {
					t.Fatalf("attempt %d of %s reserved after attempt %d was closed", n, j, closed[j])
				}
			},
			"release": func(t *rapid.T) {
				o, j, n := drawOrder(), job(), attempt()
				err := a.Release(&wire.Release{Order: o, Job: j, Attempt: n})
				checkFencing(o, err)
				if err == nil {
					closed[j] = max(closed[j], n)
				}
			},
			"arm": func(*rapid.T) { _, _ = a.Arm(job(), attempt()) },
			"start": func(*rapid.T) {
				j, n := job(), attempt()
				if a.Start(j, n) == nil {
					started[j] = n
				}
			},
			"end": func(*rapid.T) {
				j, n := job(), attempt()
				a.End(j, n)
				closed[j] = max(closed[j], n)
				if started[j] == n {
					delete(started, j)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				var used model.Resources
				for _, h := range a.Holds() {
					used = used.Add(h.total())
					if h.Attempt <= closed[h.Job] && !h.started() {
						t.Fatalf("closed attempt still has a reservation: %+v", h)
					}
				}
				for j, n := range started {
					if !a.HasHold(j, n) {
						t.Fatalf("attempt %d of %s runs without a hold", n, j)
					}
				}
				if !used.Fits(capacity) {
					t.Fatalf("overcommitted: %+v", used)
				}
				if a.Free() != capacity.Sub(used) {
					t.Fatalf("free %+v with %+v used", a.Free(), used)
				}
			},
		})
	})
}
