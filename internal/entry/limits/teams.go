// Package limits bounds the concurrent requests of teams at an entry and divides
// the capacity of a service between teams by weight.
package limits

import (
	"sync/atomic"

	"snipegw/internal/entry/striped"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

// Team counts the requests of one team at this entry. Its counters survive
// changes of the configuration.
type Team struct {
	ID          string
	weight      atomic.Int64
	maxRequests atomic.Int64 // 0 means no limit
	inFlight    striped.Counter
	accepted    striped.Counter
	refused     atomic.Uint64
}

// Weight returns the weight of the team when requests compete for capacity. It is
// at least 1.
func (t *Team) Weight() int { return int(max(1, t.weight.Load())) }

// Begin counts a request as in progress until End is called with the returned
// stripe. It fails with result.Overloaded if the team already has max_requests
// requests in progress.
func (t *Team) Begin() (striped.Index, error) {
	i := striped.CurrentStripe()
	t.inFlight.Add(i, 1)
	if limit := t.maxRequests.Load(); limit > 0 && t.inFlight.Sum() > limit {
		t.inFlight.Add(i, -1)
		t.refused.Add(1)
		return i, result.Errorf(result.Overloaded, "team %s has %d requests in progress at this entry, which is its limit max_requests", t.ID, limit)
	}
	t.accepted.Add(i, 1)
	return i, nil
}

// End counts the end of a request for which Begin succeeded.
func (t *Team) End(i striped.Index) { t.inFlight.Add(i, -1) }

// TeamCounts is a snapshot of the counters of a team.
type TeamCounts struct {
	InFlight int64  `json:"in_flight"`
	Accepted uint64 `json:"accepted"`
	Refused  uint64 `json:"refused"`
}

// Teams holds the teams of the current configuration. Lookups take no lock.
type Teams struct {
	byID atomic.Pointer[map[string]*Team]
}

// SetConfig replaces the teams by those of c. Calls must not overlap.
func (ts *Teams) SetConfig(c *model.Config) {
	var old map[string]*Team
	if p := ts.byID.Load(); p != nil {
		old = *p
	}
	next := make(map[string]*Team, len(c.Teams))
	for _, configured := range c.Teams {
		t := old[configured.ID]
		if t == nil {
			t = &Team{ID: configured.ID}
		}
		t.weight.Store(int64(configured.Weight))
		t.maxRequests.Store(int64(configured.MaxRequests))
		next[configured.ID] = t
	}
	ts.byID.Store(&next)
}

// Get returns the team with the given id. It fails with result.UnknownTeam if the
// configuration has no such team.
func (ts *Teams) Get(id string) (*Team, error) {
	if p := ts.byID.Load(); p != nil {
		if t, ok := (*p)[id]; ok {
			return t, nil
		}
	}
	return nil, result.Errorf(result.UnknownTeam, "the current configuration has no team %q; use one of its teams", id)
}

// Counts returns the counters of all teams.
func (ts *Teams) Counts() map[string]TeamCounts {
	out := make(map[string]TeamCounts)
	if p := ts.byID.Load(); p != nil {
		for id, t := range *p {
			out[id] = TeamCounts{InFlight: t.inFlight.Sum(), Accepted: uint64(t.accepted.Sum()), Refused: t.refused.Load()}
		}
	}
	return out
}
