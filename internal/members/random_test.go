package members

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// regionModel is a model of several entries and agents. The agents hold the true state of
// their workers. Updates between entries are queued and may be lost, duplicated, delayed
// and reordered.
type regionModel struct {
	now       time.Time
	tables    []*Table
	agents    map[string]*agentModel
	inTransit []message
	highest   map[string]map[string]stateVersion // by table and worker
}

// agentModel is the true state of a worker and what its agent knows of its home entry.
type agentModel struct {
	incarnation int
	seq         uint64
	home        int
	acked       bool // the next heartbeat omits the state
}

// message is an update on its way to the table with index to.
type message struct {
	to     int
	update wire.PeerUpdate
}

// stateVersion orders the states of one worker.
type stateVersion struct {
	incarnation string
	seq         uint64
}

func (v stateVersion) before(o stateVersion) bool {
	return v.incarnation < o.incarnation || v.incarnation == o.incarnation && v.seq < o.seq
}

func newRegion(entries, workers int) *regionModel {
	r := &regionModel{now: start, agents: make(map[string]*agentModel), highest: make(map[string]map[string]stateVersion)}
	for i := range entries {
		t := NewTable(entryInfo(fmt.Sprint("e", i), 1), r.now)
		r.tables = append(r.tables, t)
		r.highest[t.self] = make(map[string]stateVersion)
	}
	for i := range workers {
		r.agents[fmt.Sprint("w", i)] = &agentModel{incarnation: 1, seq: 1, home: i % entries}
	}
	return r
}

func (r *regionModel) heartbeat(t *rapid.T, worker string) {
	a := r.agents[worker]
	table := r.tables[a.home]
	need, err := table.ApplyHeartbeat(r.now, heartbeatOf(worker, a.incarnation, a.seq, !a.acked))
	if err != nil {
		t.Fatalf("heartbeat of the newest incarnation refused: %v", err)
	}
	a.acked = !need
}

func (r *regionModel) send(from int, full bool) {
	t := r.tables[from]
	own := t.ownWorkers(r.now, 0, full)
	for to := range r.tables {
		if to != from {
			r.inTransit = append(r.inTransit, message{to: to, update: wire.PeerUpdate{From: entryInfo(t.self, 1), Full: full, States: own.states, Silent: own.silent, OwnWorkersHash: own.hash}})
		}
	}
}

func (r *regionModel) deliver(t *rapid.T, m message) {
	if _, err := r.tables[m.to].ApplyPeerUpdate(r.now, &m.update); err != nil {
		t.Fatalf("update refused: %v", err)
	}
}

// checkNoOlderState fails if a view shows an older state of a worker than an earlier view
// did.
func (r *regionModel) checkNoOlderState(t *rapid.T) {
	for _, table := range r.tables {
		table.Publish()
		for id, w := range table.View().Workers {
			v := stateVersion{w.State.Incarnation, w.State.Seq}
			if v.before(r.highest[table.self][id]) {
				t.Fatalf("%s: the state of %s went back from %v to %v", table.self, id, r.highest[table.self][id], v)
			}
			r.highest[table.self][id] = v
		}
	}
}

// Guards against states that are replaced by older ones, and against tables that never
// converge, when updates between entries are lost, duplicated and reordered.
func TestExchangeUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(3, 3)
		worker := rapid.SampledFrom([]string{"w0", "w1", "w2"})
		entry := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				a := r.agents[worker.Draw(t, "worker")]
				a.seq++
				a.acked = false
			},
			"restart": func(t *rapid.T) {
				a := r.agents[worker.Draw(t, "worker")]
				a.incarnation++
				a.seq = 1
				a.acked = false
			},
			"move": func(t *rapid.T) {
				a := r.agents[worker.Draw(t, "worker")]
				a.home = entry.Draw(t, "entry")
				a.acked = false
			},
			"heartbeat": func(t *rapid.T) { r.heartbeat(t, worker.Draw(t, "worker")) },
			"old heartbeat": func(t *rapid.T) {
				id := worker.Draw(t, "worker")
				a := r.agents[id]
				table := r.tables[a.home]
				before := table.View().Workers[id]
				_, err := table.ApplyHeartbeat(r.now, heartbeatOf(id, a.incarnation-1, 99, true))
				if before != nil && before.State.Incarnation == incarnationOf(a.incarnation) && result.CodeOf(err) != result.StaleIncarnation {
					t.Fatalf("an older incarnation was accepted: %v", err)
				}
			},
			"send": func(t *rapid.T) { r.send(entry.Draw(t, "entry"), rapid.Bool().Draw(t, "full")) },
			"clock": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"deliver": func(t *rapid.T) {
				if len(r.inTransit) == 0 {
					return
				}
				i := rapid.IntRange(0, len(r.inTransit)-1).Draw(t, "message")
				m := r.inTransit[i]
				switch rapid.SampledFrom([]string{"deliver", "duplicate", "lose"}).Draw(t, "fate") {
				case "deliver":
					r.inTransit = append(r.inTransit[:i], r.inTransit[i+1:]...)
				case "lose":
					r.inTransit = append(r.inTransit[:i], r.inTransit[i+1:]...)
					return
				}
				r.deliver(t, m)
			},
			"": r.checkNoOlderState,
		})
		r.inTransit = nil
		r.checkConvergence(t)
	})
}

// checkConvergence runs two rounds without faults and checks that all tables agree with
// the agents. The time before the first round is long enough for a former home to notice
// that its worker has moved.
func (r *regionModel) checkConvergence(t *rapid.T) {
	r.now = r.now.Add(2 * silenceThreshold)
	for range 2 {
		for id := range r.agents {
			r.heartbeat(t, id)
			r.heartbeat(t, id)
		}
		for i := range r.tables {
			r.send(i, true)
		}
		for _, m := range r.inTransit {
			r.deliver(t, m)
		}
		r.inTransit = nil
		r.now = r.now.Add(time.Second)
	}
	r.checkNoOlderState(t)
	for _, table := range r.tables {
		table.Tick(r.now)
		for id, a := range r.agents {
			w := table.View().Workers[id]
			if w == nil || w.State.Incarnation != incarnationOf(a.incarnation) || w.State.Seq != a.seq || w.Health != Alive {
				t.Fatalf("%s does not agree with agent %s (%+v): %+v", table.self, id, a, w)
			}
			if want := r.tables[a.home].self; w.Home != want {
				t.Fatalf("%s has %s as the home of %s, want %s", table.self, w.Home, id, want)
			}
		}
	}
}
