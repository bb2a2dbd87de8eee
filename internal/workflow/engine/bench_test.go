package engine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPass measures a pass of the planner on a full pool: expiry, decision and
// changes, with one report before it. Jobs wait in every class.
func BenchmarkPass(b *testing.B) {
	for _, workers := range []int{100, 350, 700, 1400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			w := newWorld(1, workers, 0)
			w.sound = true
			w.play(2500 * time.Millisecond)
			for range workers / 2 {
				w.add("large", "b", step(16, 1, 600_000))
			}
			w.play(3 * time.Second)
			for range 20 {
				w.add("small", "b", step(4, 8, 60_000))
				w.add("large", "b", gang(4, 8, 60_000))
			}
			w.tick()
			now := w.now
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				m := w.workers[i%len(w.workers)]
				w.now = now
				w.planner.Report(m.node, m.sync(w.planner.Sync(m.node, 0)), now)
				w.planner.Expire(now)
				w.planner.Decide(now)
				w.planner.Changes()
			}
		})
	}
}
