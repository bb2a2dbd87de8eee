package workflow

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against amounts that overflow in sums: a job that requests more accelerators than exist
// would count as one within its team's guarantee, and be served before all others.
func TestAmountsThatOverflowAreRefused(t *testing.T) {
	g := NewWithT(t)
	for name, change := range map[string]func(*Job){
		"accelerators": func(r *Job) { r.Steps[0].Accelerators = math.MaxInt64 },
		"sum":          func(r *Job) { r.Steps[0].Accelerators = math.MaxInt64/4 + 1 },
		"processors":   func(r *Job) { r.Steps[0].MilliCPU = math.MaxInt64 },
		"memory":       func(r *Job) { r.Steps[0].MemoryMB = math.MaxInt64 },
		"estimate":     func(r *Job) { r.Steps[0].EstimateMS = math.MaxInt64 },
		"target":       func(r *Job) { r.Steps[0].TargetMS = math.MaxInt64 },
		"first start":  func(r *Job) { r.FirstAtMS = math.MaxInt64 },
		"interval":     func(r *Job) { r.IntervalMS = math.MaxInt64 },
		"occurrences":  func(r *Job) { r.Occurrences = math.MinInt64 },
	} {
		j := Job{Steps: []Step{{Count: 4, MilliCPU: 1000, MemoryMB: 1, Accelerators: 1, EstimateMS: 1000}}}
		g.Expect(j.Validate()).To(Succeed())
		change(&j)
		g.Expect(j.Validate()).NotTo(Succeed(), name)
	}
}
