package entry

import (
	"context"

	"snipegw/internal/members"
)

// forgetter is the part of transport.Pool that closes connections.
type forgetter interface{ Forget(addr string) }

// goneWorkers closes the connections to dead workers. A frozen process keeps its
// TCP connections open, so that calls on them would wait for their deadlines.
type goneWorkers struct {
	members members.Membership
	pool    forgetter
}

// run watches the membership until ctx ends.
func (g *goneWorkers) run(ctx context.Context) {
	var dead map[string]bool
	for {
		changed := g.members.Changed()
		dead = g.forget(g.members.View(), dead)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// forget closes the connections to the workers that are dead but not in before,
// and returns the addresses of all dead ones. A worker in its graceful stop may
// end its heartbeats before its last request, so that it is left alone.
func (g *goneWorkers) forget(v *members.View, before map[string]bool) map[string]bool {
	dead := make(map[string]bool)
	for _, w := range v.Workers {
		if w.Health == members.Dead && !w.State.Stopping {
			dead[w.State.Address] = true
		}
	}
	for _, w := range v.Workers {
		if w.Health != members.Dead || w.State.Stopping {
			delete(dead, w.State.Address) // the address was taken over
		}
	}
	for addr := range dead {
		if !before[addr] {
			g.pool.Forget(addr)
		}
	}
	return dead
}
