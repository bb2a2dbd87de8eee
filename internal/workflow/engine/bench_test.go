package engine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPass measures one pass of the planner on a full pool: a report, lease
// expiry, decision and changes. Jobs wait in every class.
func BenchmarkPass(b *testing.B) {
	for _, workers := range []int{100, 350, 700, 1400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			w := newWorld(1, workers, 0)
			w.noRandomFailures = true
			w.advance(2500 * time.Millisecond)
			for range workers / 2 {
				w.addJob("large", "b", step(16, 1, 600_000))
			}
			w.advance(3 * time.Second)
			for range 20 {
				w.addJob("small", "b", step(4, 8, 60_000))
				w.addJob("large", "b", gang(4, 8, 60_000))
			}
			w.tick()
			now := w.now
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				m := w.workers[i%len(w.workers)]
				w.now = now
				w.planner.HandleReport(m.node, m.sync(w.planner.NextSyncRequest(m.node, 0)), now)
				w.planner.ExpireLeases(now)
				w.planner.Decide(now)
				w.planner.TakeChanges()
			}
		})
	}
}
