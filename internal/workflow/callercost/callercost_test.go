package callercost

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow/framework"
)

var start = time.UnixMilli(1_800_000_000_000)

// newModel returns a Model with the default settings.
func newModel() *Model {
	s := Settings{Order: OrderCost}
	s.Provision()
	return New(s)
}

// Guards against a worth that does not follow the callers' terms: a small job keeps a
// part, and a huge one is bounded.
func TestWorthGrowsWithWorkWithinBounds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Worth(3, 100, 100)).To(BeNumerically("~", 3, 1e-9))
	g.Expect(Worth(3, 0, 100)).To(BeNumerically("~", 0.9, 1e-9))
	g.Expect(Worth(3, 1e6, 100)).To(BeNumerically("~", 12, 1e-9))
	g.Expect(Worth(3, 50, 0)).To(BeNumerically("~", 3, 1e-9))
}

// Guards against values that rise with a delay, are negative, or exceed the worth, also
// for nonsense such as clocks that jump or an objective of 0.
func TestValueNeverRisesWithDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, from, to int64) time.Duration {
			return time.Duration(rapid.Int64Range(from, to).Draw(t, name)) * time.Millisecond
		}
		j := framework.Job{
			Begin: start.Add(ms("begin", -200_000, 200_000)), Objective: ms("objective", 0, 60_000),
			Remaining: ms("remaining", -1000, 60_000), Spread: rapid.Float64Range(0, 3).Draw(t, "spread"),
		}
		worth := rapid.Float64Range(0, 16).Draw(t, "worth")
		sooner, later := ms("sooner", 0, 30_000), ms("later", 0, 30_000)
		a, b := Value(worth, 0.25, &j, start, sooner), Value(worth, 0.25, &j, start, sooner+later)
		if a < 0 || a > worth+1e-9 || b > a+1e-9 {
			t.Fatalf("value %v after %v and %v after %v", a, sooner, b, sooner+later)
		}
	})
}

// Guards against a job that is never called overdue, and so may wait for ever, also when
// it is too late to be of use.
func TestOldJobIsOverdue(t *testing.T) {
	g := NewWithT(t)
	m := newModel()
	job := framework.Job{Queue: "q", Priority: 2, Begin: start, FirstReady: start, Objective: 10 * time.Second, Remaining: 5 * time.Second, Work: 1000, WorkLeft: 1000}
	due := start.Add(m.settings.MaxDelay())
	g.Expect(m.Cost(job, time.Second, due).Overdue).To(BeFalse())
	late := m.Cost(job, time.Second, due.Add(time.Millisecond))
	g.Expect(late.Overdue).To(BeTrue())
	g.Expect(late.Useless).To(BeTrue())
}

// Load: one team floods the pool with jobs. Guards against the others waiting behind them
// although they were given less than an equal share, and against the flood counting as
// badly served.
func TestWorstServedTeamGoesFirstAmongEqualCosts(t *testing.T) {
	g := NewWithT(t)
	m := newModel()
	m.ObserveTeams([]framework.TeamUse{{Team: "floods", Asked: 10_000, Served: 900}, {Team: "small", Asked: 100, Served: 10}}, start)
	job := framework.Job{Queue: "q", Begin: start, Objective: 5 * time.Second, Remaining: 4 * time.Second, Work: 10, WorkLeft: 10}
	flood, small := job, job
	flood.Team, small.Team = "floods", "small"
	small.WorkLeft = 10.5
	g.Expect(m.Compare(m.Cost(small, time.Second, start), m.Cost(flood, time.Second, start))).To(BeNumerically("<", 0))
	m.ObserveTeams(nil, start.Add(-time.Hour)) // the clock jumps back
	g.Expect(m.share("small")).To(BeNumerically("~", 0.1, 0.01))
	m.ObserveTeams(nil, start.Add(time.Hour))
	g.Expect(m.teams).To(BeEmpty())
}

// Guards against settings with faults that are accepted.
func TestSettingsAreValidated(t *testing.T) {
	g := NewWithT(t)
	paths := func(settings string) []string {
		var faults kernel.ValidationErrors
		framework.Settings{Name: json.RawMessage(settings)}.Validate("p", &faults)
		var out []string
		for _, f := range faults {
			out = append(out, f.Path)
		}
		return out
	}
	g.Expect(paths(`{}`)).To(BeEmpty())
	g.Expect(paths(`{"priority_weights":[1,2],"order":"x","late_share":2,"max_delay_ms":-1,"max_stops":-1}`)).To(ConsistOf(
		"p.caller_cost.priority_weights", "p.caller_cost.order", "p.caller_cost.late_share", "p.caller_cost.max_delay_ms", "p.caller_cost.max_stops"))
}
