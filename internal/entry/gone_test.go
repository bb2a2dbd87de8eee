package entry

import (
	"slices"
	"testing"

	"snipegw/internal/members"
	"snipegw/internal/wire"
)

// closedAddresses is a connectionPool that records the addresses whose connections are
// closed.
type closedAddresses []string

func (c *closedAddresses) CloseConnections(addr string) { *c = append(*c, addr) }

// Guards against requests that hang on a frozen worker. Also guards against closing
// the connections to a worker in its graceful stop, or to a worker that reuses the
// address of a dead one.
func TestClosesConnectionsToDeadWorkersOnce(t *testing.T) {
	worker := func(h members.Health, addr string, stopping bool) *members.Worker {
		return &members.Worker{Health: h, State: wire.WorkerState{Address: addr, Stopping: stopping}}
	}
	v := &members.View{Workers: map[string]*members.Worker{
		"alive": worker(members.Alive, "a:1", false), "suspect": worker(members.Suspect, "a:2", false),
		"dead": worker(members.Dead, "a:3", false), "stopping": worker(members.Dead, "a:4", true),
		"old": worker(members.Dead, "a:5", false), "new": worker(members.Alive, "a:5", false),
	}}
	var got closedAddresses
	closer := &deadConnectionCloser{pool: &got}
	dead := closer.closeNewlyDead(v, nil)
	dead = closer.closeNewlyDead(v, dead)
	if !slices.Equal(got, []string{"a:3"}) {
		t.Fatalf("closed the connections to %v, want a:3 once", got)
	}
	v.Workers["dead"].Health = members.Alive
	dead = closer.closeNewlyDead(v, dead)
	v.Workers["dead"].Health = members.Dead
	closer.closeNewlyDead(v, dead)
	if !slices.Equal(got, []string{"a:3", "a:3"}) {
		t.Fatalf("closed the connections to %v, want a:3 again after its second death", got)
	}
}
