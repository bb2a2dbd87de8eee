package engine

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	playFor = 12 * time.Second
	// calmFor is enough to finish all jobs after the trouble.
	calmFor = 5 * time.Minute
)

// Lost, late and repeated orders, takeovers, crashes and partitions must not
// lead to two runs of an item, too much on a worker, a step before those that it
// depends on, or a start of what was cancelled or has failed for good. When the
// trouble is over every job ends.
func TestRulesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		trouble := rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "trouble")
		w := newWorld(seed, rapid.IntRange(2, 6).Draw(t, "workers"), trouble)
		w.run(playFor, calmFor)
		if len(w.faults) > 0 {
			t.Fatalf("rules broken:\n%s", strings.Join(w.faults, "\n"))
		}
		for _, j := range w.planner.open {
			if w.couldRun(j) {
				t.Fatalf("job %s of queue %s has not ended: %+v", j.id, j.rec.Queue, j.rec.Steps)
			}
		}
	})
}

// couldRun reports whether the empty pool holds each unit of a job.
func (w *world) couldRun(j *job) bool {
	for _, u := range j.units {
		n := 0
		for _, m := range w.workers {
			n += holds(u, &worker{}, m.capacity)
		}
		if n < u.count {
			return false
		}
	}
	return true
}

// Each check of the model must fail when the mechanism against the fault is
// switched off. Otherwise the property above would show nothing.
func TestModelSeesWhatTheMechanismsPrevent(t *testing.T) {
	cases := []struct {
		rule   string
		sabote func(*world)
	}{
		{"TWICE", func(w *world) { // a silent worker is given up at once
			w.planner.s.Lease = 0
			for _, wk := range w.planner.workers {
				wk.maxUntil = 0
			}
		}},
		{"LIMIT", func(w *world) { // runs that are being started or stopped hold nothing
			for _, wk := range w.planner.workers {
				wk.members = slices.DeleteFunc(wk.members, func(m *member) bool { return !m.listed })
			}
		}},
		{"UNASKED", func(w *world) { w.hideCancels = true }},
	}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			g := NewWithT(t)
			seen := false
			for seed := uint64(1); seed <= 40 && !seen; seed++ {
				w := newWorld(seed, 3, 1)
				for range 1000 {
					if w.chance(0.05) {
						w.submit()
					}
					if w.chance(0.01) {
						w.cancelOne()
					}
					w.disturb()
					c.sabote(w)
					w.tick()
				}
				for _, f := range w.faults {
					seen = seen || strings.Contains(f, c.rule)
				}
			}
			g.Expect(seen).To(BeTrue())
		})
	}
}
