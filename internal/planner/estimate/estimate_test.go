package estimate_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/planner/estimate"
)

// Guards against estimates that keep a constant error in the declarations of a team.
func TestCorrectsConstantErrorOfTeam(t *testing.T) {
	g := NewWithT(t)
	tr := estimate.New()
	for i := range 60 {
		declared := time.Duration(1+i%7) * 10 * time.Minute
		tr.Observe("long", false, declared, declared/5)
		tr.Observe("short", false, declared, declared*5)
	}
	g.Expect(tr.TotalRunTime("long", false, 30*time.Minute)).To(BeNumerically("~", 6*time.Minute, 2*time.Minute))
	g.Expect(tr.TotalRunTime("short", false, 30*time.Minute)).To(BeNumerically("~", 150*time.Minute, 50*time.Minute))
}

// Guards against memory that grows with the number of teams and against estimates
// that overflow a time.Duration.
func TestTeamsAndEstimatesAreBounded(t *testing.T) {
	g := NewWithT(t)
	tr := estimate.New()
	for i := range 5000 {
		tr.Observe(fmt.Sprint("team", i), true, time.Second, 1000*time.Hour)
	}
	g.Expect(tr.TeamCount()).To(BeNumerically("<=", 64))
	g.Expect(tr.TotalRunTime("team4999", true, 1<<62)).To(BeNumerically(">", 0))
}
