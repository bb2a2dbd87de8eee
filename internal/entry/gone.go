package entry

import (
	"context"

	"snipegw/internal/members"
)

// connectionPool is the part of transport.Pool that closes connections.
type connectionPool interface{ CloseConnections(addr string) }

// deadConnectionCloser closes the connections to dead workers. A frozen process keeps
// its TCP connections open, so that calls on them would wait for their deadlines.
type deadConnectionCloser struct {
	members members.Membership
	pool    connectionPool
}

// run follows the membership until ctx ends.
func (c *deadConnectionCloser) run(ctx context.Context) {
	var dead map[string]bool
	for {
		changed := c.members.Changed()
		dead = c.closeNewlyDead(c.members.View(), dead)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// closeNewlyDead closes the connections to dead workers whose addresses are not in
// before, and returns the addresses of all dead workers. A worker in its graceful stop
// may end its heartbeats before its last request, so that its connections stay open.
func (c *deadConnectionCloser) closeNewlyDead(v *members.View, before map[string]bool) map[string]bool {
	dead := make(map[string]bool)
	for _, w := range v.Workers {
		if w.Health == members.Dead && !w.State.Stopping {
			dead[w.State.Address] = true
		}
	}
	for _, w := range v.Workers {
		if w.Health != members.Dead || w.State.Stopping {
			delete(dead, w.State.Address) // another worker uses the address now
		}
	}
	for addr := range dead {
		if !before[addr] {
			c.pool.CloseConnections(addr)
		}
	}
	return dead
}
