package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"

	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/wire"
)

// newLargeTerm returns a term at the target scale of 1,400 workers and 1,100
// running gangs of 8 tasks.
func newLargeTerm() (*region, *term) {
	log.SetLevel(log.FatalLevel)
	r := newRegion(1400, 0)
	h := New(Options{Store: r.store, Membership: r, Pool: r, Config: staticConfig{}, Policy: newFifo, Entry: wire.EntryInfo{ID: "e", Incarnation: "e1", Region: "north"}})
	t := newTerm(h, 1)
	t.leaseConfirmedAt.Store(time.Now().UnixNano())
	for i := range t.pages {
		t.pages[i] = newPage("north", i)
	}
	t.settled = true
	gangs := make(map[string][]wire.GangState)
	for i := range 1100 {
		id := fmt.Sprint("j", i)
		p := t.pages[PageOf(id)]
		j := &job{page: p, recorded: true, answered: true, admitted: true}
		j.rec.Status = model.JobStatus{Job: testJob(id, 8, 1), State: model.JobRunning, Attempt: 1}
		for rank := range 8 {
			w := fmt.Sprintf("w%02d", (i*8+rank)%1400)
			j.rec.Status.Workers = append(j.rec.Status.Workers, w)
			j.rec.Members = append(j.rec.Members, wire.Member{Worker: w, Address: "addr-" + w, Incarnation: "i1", Ranks: []int{rank}})
			gangs[w] = append(gangs[w], wire.GangState{Job: id, Attempt: 1, State: gangStateRunning})
		}
		j.currentAttempt = t.newAttempt(j, 1)
		j.currentAttempt.phase = phaseRunning
		p.jobs[id], t.jobs[id] = j, j
	}
	for id, w := range r.view.Workers {
		state := *w
		state.State.Gangs = gangs[id]
		r.view.Workers[id] = &state
	}
	t.syncMembership()
	return r, t
}

// BenchmarkTick measures the periodic work of a planner, done every tickInterval.
func BenchmarkTick(b *testing.B) {
	_, t := newLargeTerm()
	b.ReportAllocs()
	for b.Loop() {
		t.syncMembership()
		t.tick()
	}
}

// BenchmarkPageSnapshot measures the encoding of a page of 17 jobs after one job
// has changed.
func BenchmarkPageSnapshot(b *testing.B) {
	_, t := newLargeTerm()
	j := t.jobs["j1"]
	b.ReportAllocs()
	for b.Loop() {
		j.encoded = nil
		data := j.page.snapshot(1).encode()
		b.SetBytes(int64(len(data)))
	}
}

var _ members.Membership = (*region)(nil)
