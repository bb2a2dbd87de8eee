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
	faultPeriod = 12 * time.Second
	// calmPeriod is long enough to finish all jobs after the faults.
	calmPeriod = 5 * time.Minute
)

// Lost, late and repeated orders, takeovers, crashes and partitions must not lead
// to two runs of an item at once, an overcommitted worker, a step that starts
// before its dependencies are done, or a start of a cancelled or failed job. Once
// the faults end, every job must end.
func TestRulesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faultRate := rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "trouble")
		w := newWorld(seed, rapid.IntRange(2, 6).Draw(t, "workers"), faultRate)
		w.endsPerReport = rapid.SampledFrom([]int{500, 1, 3}).Draw(t, "ends per report")
		w.simulate(faultPeriod, calmPeriod)
		if len(w.violations) > 0 {
			t.Fatalf("rules broken:\n%s", strings.Join(w.violations, "\n"))
		}
		for _, j := range w.planner.openJobs {
			if w.couldRun(j) {
				t.Fatalf("job %s of queue %s has not ended: %+v", j.id, j.rec.Queue, j.rec.Steps)
			}
		}
	})
}

// couldRun reports whether each unit of a job fits on the empty pool.
func (w *world) couldRun(j *job) bool {
	for _, u := range j.units {
		n := 0
		for _, m := range w.workers {
			n += itemsThatFit(u, &worker{}, m.capacity)
		}
		if n < u.count {
			return false
		}
	}
	return true
}

// Disables one safeguard of the engine at a time; the model's check for the resulting
// fault must then fail. Guards against checks that never fail, with which
// TestRulesHoldUnderFaults would pass whatever the engine does.
func TestModelDetectsDisabledSafeguards(t *testing.T) {
	t.Parallel()
	cases := []struct {
		rule             string
		disableSafeguard func(*world)
	}{
		{"TWICE", func(w *world) { // the runs on a silent worker are taken for ended at once
			w.planner.settings.LeaseDuration = 0
			for _, wk := range w.planner.workers {
				wk.maxLeaseUntilMS = 0
			}
		}},
		{"TWICE", (*world).trustFirstReplies},
		{"TWICE", func(w *world) { w.planner.settings.MaxStoreOutage = -w.planner.settings.LeaseDuration }}, // leases that earlier planners extended
		{"LIMIT", func(w *world) { // runs that the worker has not reported hold no resources
			for _, wk := range w.planner.workers {
				wk.members = slices.DeleteFunc(wk.members, func(m *member) bool { return !m.listed })
			}
		}},
		{"TWICE", func(w *world) { // a run that a truncated report leaves out is taken for lost
			w.endsPerReport, w.hideTruncation = 1, true
		}},
		{"TWICE", func(w *world) { w.suspensions.ignored = true }},     // suspended leases are extended
		{"TWICE", func(w *world) { w.suspensions.unannounced = true }}, // new processes of agents serve at once
		{"UNASKED", func(w *world) { w.hideCancels = true }},
		{"EVAC", func(w *world) { w.evacuations.hide = true }},
	}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			seen := false
			for seed := uint64(1); seed <= 40 && !seen; seed++ {
				w := newWorld(seed, 3, 1)
				for range 1000 {
					if w.chance(0.05) {
						w.submitRandomJob()
					}
					if w.chance(0.01) {
						w.cancelRandomJob()
					}
					w.injectFaults()
					w.changeEvacuations()
					w.changePartitions()
					w.stopAgents()
					c.disableSafeguard(w)
					w.tick()
				}
				for _, f := range w.violations {
					seen = seen || strings.Contains(f, c.rule)
				}
			}
			g.Expect(seen).To(BeTrue())
		})
	}
}
