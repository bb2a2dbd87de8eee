package engine

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// queueUnit returns a unit of one item in queue q with the caller's estimate.
func queueUnit(q string, estimateMS int64) *unit {
	return &unit{job: &job{rec: &workflow.JobRecord{Queue: q, Job: workflow.Job{Steps: []workflow.Step{{Count: 1, EstimateMS: estimateMS}}}}}}
}

// Callers of one queue guess, those of the other know. Guards against decisions by guesses
// where the usual run time of the queue tells more, and against ignoring good estimates.
func TestPredictionWeighsEstimatesByTheirQuality(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 3))
	est := make(durationEstimates)
	for range 60 {
		guessed := 2000 * math.Exp(0.3*rng.NormFloat64())
		est.observe(queueUnit("guess", int64(guessed*math.Exp(0.9*rng.NormFloat64()))), time.Duration(guessed)*time.Millisecond)
		known := 2000 * math.Exp(0.9*rng.NormFloat64())
		est.observe(queueUnit("know", int64(known*math.Exp(0.1*rng.NormFloat64()))), time.Duration(known)*time.Millisecond)
	}
	for _, estimate := range []int64{300, 12000} {
		g.Expect(est.duration(queueUnit("guess", estimate)).Seconds()).To(BeNumerically("~", 2, 1), "guess of %d ms", estimate)
		g.Expect(est.duration(queueUnit("know", estimate)).Seconds()).To(BeNumerically("~", float64(estimate)/1000, 0.25*float64(estimate)/1000), "estimate of %d ms", estimate)
	}
	g.Expect(est.duration(queueUnit("new", 300))).To(Equal(300*time.Millisecond), "nothing is known of the queue")
}

// An urgent job beyond its team's guarantee finds the pool full of work of lower priority,
// and its caller has guessed a twentieth of its run time. Guards against a job that waits
// for others to end because it seems worth less than what it would stop.
func TestUnderestimatedUrgentJobGetsRoom(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(5, 4, 0)
	w.noRandomFailures, w.runTimes = true, make(map[string]time.Duration)
	w.advance(2500 * time.Millisecond)
	for range 40 {
		w.planner.estimates.observe(queueUnit("urgent", 100+w.rng.Int64N(8000)), 2*time.Second)
	}
	w.addLateJob("small", "b", step(32, 1, 8000)) // fills the pool
	w.advance(500 * time.Millisecond)
	accepted := w.now
	id := w.addJob("urgent", "b", gang(2, 8, 100)) // team b is guaranteed 8
	for i := range 2 {
		w.runTimes[workflow.ItemRef{Job: id, Index: i}.String()] = 2 * time.Second
	}
	w.advance(1500 * time.Millisecond)
	n, last := w.startedItems(id)
	g.Expect(n).To(Equal(2), "items that have started")
	g.Expect(last.Sub(accepted)).To(BeNumerically("<", time.Second))
}
