// Package limits bounds the requests of teams at an entry and shares its
// capacity between them by weight.
package limits

import (
	"sync/atomic"

	"snipegw/internal/entry/striped"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

// Team counts the requests of one team. Its counters survive changes of the
// configuration.
type Team struct {
	ID       string
	weight   atomic.Int64
	max      atomic.Int64
	inflight striped.Counter
	accepted striped.Counter
	refused  atomic.Uint64
}

// Weight returns the team's share of contended capacity, at least 1.
func (t *Team) Weight() int { return int(max(1, t.weight.Load())) }

// Begin counts a request that begins, until End with the same stripe. It refuses
// one above the team's own bound with result.Overloaded.
func (t *Team) Begin() (striped.Index, error) {
	i := striped.Here()
	t.inflight.Add(i, 1)
	if limit := t.max.Load(); limit > 0 && t.inflight.Sum() > limit {
		t.inflight.Add(i, -1)
		t.refused.Add(1)
		return i, result.Errorf(result.Overloaded, "team %s has %d requests in progress at this entry, which is its limit max_requests", t.ID, limit)
	}
	t.accepted.Add(i, 1)
	return i, nil
}

// End counts the end of a request for which Begin succeeded.
func (t *Team) End(i striped.Index) { t.inflight.Add(i, -1) }

// TeamCounts are the counters of a team.
type TeamCounts struct {
	InFlight int64  `json:"in_flight"`
	Accepted uint64 `json:"accepted"`
	Refused  uint64 `json:"refused"`
}

// Teams holds the teams of the configuration in force. Lookups take no lock.
type Teams struct {
	current atomic.Pointer[map[string]*Team]
}

// SetConfig takes over the teams of c. Calls must not overlap.
func (ts *Teams) SetConfig(c *model.Config) {
	var old map[string]*Team
	if p := ts.current.Load(); p != nil {
		old = *p
	}
	next := make(map[string]*Team, len(c.Teams))
	for _, mt := range c.Teams {
		t := old[mt.ID]
		if t == nil {
			t = &Team{ID: mt.ID}
		}
		t.weight.Store(int64(mt.Weight))
		t.max.Store(int64(mt.MaxRequests))
		next[mt.ID] = t
	}
	ts.current.Store(&next)
}

// Get returns the team named id, or result.UnknownTeam.
func (ts *Teams) Get(id string) (*Team, error) {
	if p := ts.current.Load(); p != nil {
		if t, ok := (*p)[id]; ok {
			return t, nil
		}
	}
	return nil, result.Errorf(result.UnknownTeam, "the configuration in force has no team %q; use one of its teams", id)
}

// Counts returns the counters of all teams.
func (ts *Teams) Counts() map[string]TeamCounts {
	out := make(map[string]TeamCounts)
	if p := ts.current.Load(); p != nil {
		for id, t := range *p {
			out[id] = TeamCounts{InFlight: t.inflight.Sum(), Accepted: uint64(t.accepted.Sum()), Refused: t.refused.Load()}
		}
	}
	return out
}
