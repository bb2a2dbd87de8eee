package proof

import (
	"context"
	"sync"
	"time"

	"snipegw/internal/kernel"
)

// fault is one fault with the functions that begin and end it.
type fault struct {
	name  string
	begin func() error
	end   func() error
}

// killFault kills a node, and starts it again when the fault ends.
func killFault(c *Cluster, n *Node) fault {
	return fault{"kill " + n.Name,
		func() error { n.Kill(); c.links.forgetPorts(n); return nil },
		n.Start,
	}
}

// freezeFault suspends a node with SIGSTOP, and resumes it when the fault ends.
func freezeFault(n *Node) fault {
	return fault{"freeze " + n.Name,
		func() error { n.Freeze(); return nil },
		func() error { n.Thaw(); return nil },
	}
}

// isolationFault cuts all links of a node, and restores them when the fault ends.
func isolationFault(c *Cluster, n *Node) fault {
	return fault{"isolate " + n.Name,
		func() error { c.SetIsolated(n, true); return nil },
		func() error { c.SetIsolated(n, false); return nil },
	}
}

// linkCutFault cuts the link between two nodes, and restores it when the fault ends.
func linkCutFault(c *Cluster, a, b *Node) fault {
	return fault{"cut " + a.Name + " from " + b.Name,
		func() error { c.SetLinkCut(a, b, true); return nil },
		func() error { c.SetLinkCut(a, b, false); return nil },
	}
}

// standinFault sets fault switches of a stand-in: those in begin when the fault begins, and those
// in end when it ends. end may be nil for a switch that resets itself.
func standinFault(n *Node, name string, begin, end map[string]any) fault {
	return fault{name + " " + n.Name,
		func() error { return SetFaults(n, begin) },
		func() error { return SetFaults(n, end) },
	}
}

func storeDownFault(s *Node) fault {
	return standinFault(s, "down", map[string]any{"down": true}, map[string]any{"down": false})
}

func storeLosesAnswersFault(s *Node) fault {
	return standinFault(s, "lose answers", map[string]any{"lose_answers": 0.5}, map[string]any{"lose_answers": 0})
}

func storeSlowFault(s *Node) fault {
	return standinFault(s, "slow", map[string]any{"slow_ms": 800}, map[string]any{"slow_ms": 0})
}

func storeStaleFault(s *Node) fault {
	return standinFault(s, "stale", map[string]any{"stale_ms": 3000}, map[string]any{"stale_ms": 0})
}

// faultPlan says which faults are injected, how often and for how long.
type faultPlan struct {
	next func() fault // chooses a fault
	// pause bounds the random time between two faults, duration the random duration of one.
	pause, duration [2]time.Duration
	// parallel is the number of faults that may be active at the same time.
	parallel int
}

// injectFaults injects faults of the plan until ctx ends, and waits until the active ones have
// ended. It returns the number of faults.
func (e *Env) injectFaults(ctx context.Context, plan faultPlan) int {
	var wg sync.WaitGroup
	active := make(chan struct{}, plan.parallel)
	count := 0
	for ctx.Err() == nil {
		f, duration := plan.next(), e.randomDuration(plan.duration)
		kernel.Sleep(ctx, e.randomDuration(plan.pause))
		select {
		case active <- struct{}{}:
		case <-ctx.Done():
			wg.Wait()
			return count
		}
		count++
		wg.Go(func() {
			defer func() { <-active }()
			e.runFault(ctx, f, duration)
		})
	}
	wg.Wait()
	return count
}

// runFault begins a fault and ends it after duration or when ctx ends.
func (e *Env) runFault(ctx context.Context, f fault, duration time.Duration) {
	if err := f.begin(); err != nil {
		e.tracef("fault %s could not be started: %v", f.name, err)
		return
	}
	e.tracef("fault %s started for %s", f.name, duration)
	kernel.Sleep(ctx, duration)
	if err := f.end(); err != nil {
		e.tracef("fault %s could not be ended: %v", f.name, err)
		return
	}
	e.tracef("fault %s ended", f.name)
}

// randomDuration returns a random duration from bounds[0] to bounds[1], without bounds[1] itself
// if they differ.
func (e *Env) randomDuration(bounds [2]time.Duration) time.Duration {
	if bounds[1] <= bounds[0] {
		return bounds[0]
	}
	return bounds[0] + time.Duration(e.Rand.Int64N(int64(bounds[1]-bounds[0])))
}

func pickRandom[T any](e *Env, list []T) T { return list[e.Rand.IntN(len(list))] }
