package entry

import (
	"slices"
	"testing"

	"snipegw/internal/members"
	"snipegw/internal/wire"
)

type forgotten []string

func (f *forgotten) Forget(addr string) { *f = append(*f, addr) }

// Guards against requests that hang on a frozen worker, and against a cut of
// the requests of a worker in its graceful stop or of one at a reused address.
func TestForgetsDeadWorkersOnce(t *testing.T) {
	worker := func(h members.Health, addr string, stopping bool) *members.Worker {
		return &members.Worker{Health: h, State: wire.WorkerState{Address: addr, Stopping: stopping}}
	}
	v := &members.View{Workers: map[string]*members.Worker{
		"alive": worker(members.Alive, "a:1", false), "suspect": worker(members.Suspect, "a:2", false),
		"dead": worker(members.Dead, "a:3", false), "stopping": worker(members.Dead, "a:4", true),
		"old": worker(members.Dead, "a:5", false), "new": worker(members.Alive, "a:5", false),
	}}
	var got forgotten
	g := &goneWorkers{pool: &got}
	dead := g.forget(v, nil)
	dead = g.forget(v, dead)
	if !slices.Equal(got, []string{"a:3"}) {
		t.Fatalf("forgot %v", got)
	}
	v.Workers["dead"].Health = members.Alive
	dead = g.forget(v, dead)
	v.Workers["dead"].Health = members.Dead
	g.forget(v, dead)
	if !slices.Equal(got, []string{"a:3", "a:3"}) {
		t.Fatalf("forgot %v after a return", got)
	}
}
