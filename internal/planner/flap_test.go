package planner_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
)

var _ = Describe("a flapping worker", func() {
	// Guards against gangs that are placed on the worker after each return and lost
	// with it each time, while other workers are free or become free.
	It("does not get a job after every return and is used again once it stays up", func() {
		h := newHarness(nil, worker(0, 0, 0, 8), worker(0, 0, 1, 8))
		flapping := worker(0, 0, 0, 8)
		h.submit(newJob("j0", "a", model.ClassPreemptible, shape(1, 8, model.AdjacentHost)))
		h.submit(newJob("j1", "a", model.ClassPreemptible, shape(1, 8, model.AdjacentHost)))
		const period = 6 * time.Second
		const rounds = 50
		for range rounds {
			h.down(flapping.ID)
			h.advance(period / 2)
			h.up(flapping)
			h.advance(period / 2)
		}
		starts := 0
		for _, line := range h.log {
			if strings.HasPrefix(line, "place") && strings.Contains(line, flapping.ID) {
				starts++
			}
		}
		// The first return takes effect at once; every later one is followed by a
		// hold-down longer than a period.
		Expect(starts).To(BeNumerically("<=", 2))
		running := func() (n int) {
			for _, j := range h.jobs {
				if j.state == model.JobRunning {
					n++
				}
			}
			return n
		}
		Expect(running()).To(Equal(1))
		h.advance(5 * time.Minute)
		Expect(running()).To(Equal(2))
		Expect(h.violations).To(BeEmpty())
	})
})
