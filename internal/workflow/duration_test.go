package workflow

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an objective that is far in the past, or differs between architectures, because a
// factor or a time in a record is out of range.
func TestObjectivesDoNotOverflow(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Objective(3, 2*time.Second, 500)).To(Equal(6500 * time.Millisecond))
	g.Expect(Objective(0.5, 2*time.Second, -500)).To(Equal(1500 * time.Millisecond))
	g.Expect(Objective(math.NaN(), 2*time.Second, 0)).To(Equal(2 * time.Second))
	g.Expect(Objective(math.Inf(-1), 2*time.Second, 0)).To(Equal(2 * time.Second))
	for _, slack := range []float64{1e300, math.Inf(1), math.MaxFloat64} {
		g.Expect(Objective(slack, time.Hour, math.MaxInt64)).To(BeNumerically(">", 365*24*time.Hour))
	}
	g.Expect(Objective(1, time.Hour, math.MinInt64)).To(BeNumerically("<", 0))
	g.Expect(ToDuration(math.NaN())).To(BeZero())
	path := CriticalPath(chain(MaxSteps), func(int) time.Duration { return ToDuration(1e300) })
	g.Expect(path).To(BeEquivalentTo(MaxSteps * maxDuration))
	q := QueueRunTimes{Offset: 1e300, Exponent: 1}
	g.Expect(q.Duration(&Step{EstimateMS: MaxPeriodMS})).To(BeEquivalentTo(maxDuration))
}

// chain returns n steps, each of which depends on the former.
func chain(n int) []Step {
	steps := make([]Step, n)
	for i := 1; i < n; i++ {
		steps[i].After = []int{i - 1}
	}
	return steps
}
