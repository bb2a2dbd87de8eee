package proof

import (
	"context"
	"sync"
	"time"

	"snipegw/internal/kernel"
)

// fault is one fault that begins and, after a while, ends.
type fault struct {
	name  string
	begin func() error
	end   func() error
}

// killed kills a node and starts it again after the fault.
func killed(c *Cluster, n *Node) fault {
	return fault{"kill " + n.Name,
		func() error { n.Kill(); c.links.forget(n); return nil },
		n.Start,
	}
}

// frozen stops a node from running for the time of the fault.
func frozen(n *Node) fault {
	return fault{"freeze " + n.Name,
		func() error { n.Freeze(); return nil },
		func() error { n.Thaw(); return nil },
	}
}

// isolated cuts all links of a node.
func isolated(c *Cluster, n *Node) fault {
	return fault{"isolate " + n.Name,
		func() error { c.Isolate(n, true); return nil },
		func() error { c.Isolate(n, false); return nil },
	}
}

// cutLink cuts the link between two nodes.
func cutLink(c *Cluster, a, b *Node) fault {
	return fault{"cut " + a.Name + " from " + b.Name,
		func() error { c.Cut(a, b, true); return nil },
		func() error { c.Cut(a, b, false); return nil },
	}
}

// switched sets fault switches of a stand-in.
func switched(n *Node, name string, on, off map[string]any) fault {
	return fault{name + " " + n.Name,
		func() error { return SetFaults(n, on) },
		func() error { return SetFaults(n, off) },
	}
}

func storeDown(s *Node) fault {
	return switched(s, "down", map[string]any{"down": true}, map[string]any{"down": false})
}

func storeLoses(s *Node) fault {
	return switched(s, "lose answers", map[string]any{"lose_answers": 0.5}, map[string]any{"lose_answers": 0})
}

func storeSlow(s *Node) fault {
	return switched(s, "slow", map[string]any{"slow_ms": 800}, map[string]any{"slow_ms": 0})
}

func storeStale(s *Node) fault {
	return switched(s, "stale", map[string]any{"stale_ms": 3000}, map[string]any{"stale_ms": 0})
}

// faultPlan is a repeated choice of faults.
type faultPlan struct {
	choose func() fault
	// pause and hold are the bounds of the time between two faults and of the
	// time of one fault.
	pause, hold [2]time.Duration
	// parallel is the number of faults that may be active at the same time.
	parallel int
}

// inject runs faults of the plan until ctx ends, then ends the active ones. It
// returns the number of faults.
func (e *Env) inject(ctx context.Context, p faultPlan) int {
	var wg sync.WaitGroup
	slots := make(chan struct{}, p.parallel)
	count := 0
	for ctx.Err() == nil {
		f, hold := p.choose(), e.between(p.hold)
		kernel.Sleep(ctx, e.between(p.pause))
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			wg.Wait()
			return count
		}
		count++
		wg.Go(func() {
			defer func() { <-slots }()
			e.hold(ctx, f, hold)
		})
	}
	wg.Wait()
	return count
}

// hold begins a fault, waits and ends it.
func (e *Env) hold(ctx context.Context, f fault, d time.Duration) {
	if err := f.begin(); err != nil {
		e.note("fault %s: %v", f.name, err)
		return
	}
	e.note("fault %s begins for %s", f.name, d)
	kernel.Sleep(ctx, d)
	if err := f.end(); err != nil {
		e.note("fault %s does not end: %v", f.name, err)
		return
	}
	e.note("fault %s ends", f.name)
}

func (e *Env) between(bounds [2]time.Duration) time.Duration {
	if bounds[1] <= bounds[0] {
		return bounds[0]
	}
	return bounds[0] + time.Duration(e.Rand.Int64N(int64(bounds[1]-bounds[0])))
}

func pick[T any](e *Env, list []T) T { return list[e.Rand.IntN(len(list))] }
