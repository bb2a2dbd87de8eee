package members

import (
	"time"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// peerRecord is the state of an entry in a Table, guarded by Table.mu.
type peerRecord struct {
	entry Entry
	// hasFullUpdate is set once a full update from this incarnation was applied.
	hasFullUpdate bool
	// lastFullRequest is the last time at which shouldRequestFull reported true.
	lastFullRequest time.Time
}

// SelfState is the state of an entry that it sends to other entries.
type SelfState struct {
	ConfigVersion uint64
	Planner       bool
	PlannerEpoch  uint64
}

// SetSelf updates the record of this entry.
func (t *Table) SetSelf(now time.Time, s SelfState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &t.peers[t.self].entry
	e.LastSeen = now
	t.setEntryState(e, s)
}

// setEntryState applies s to e and marks the view as out of date if e changes.
func (t *Table) setEntryState(e *Entry, s SelfState) {
	if e.ConfigVersion == s.ConfigVersion && e.Planner == s.Planner && e.PlannerEpoch == s.PlannerEpoch {
		return
	}
	e.ConfigVersion = s.ConfigVersion
	e.Planner = s.Planner
	e.PlannerEpoch = s.PlannerEpoch
	t.markDirty()
}

// AddListedEntries adds the entries of a directory or a peer's list that are not known
// yet, or only in an earlier incarnation. Their time without contact starts at now.
func (t *Table) AddListedEntries(now time.Time, infos []wire.EntryInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, info := range infos {
		p := t.peers[info.ID]
		if p != nil && p.entry.Info.Incarnation >= info.Incarnation {
			continue
		}
		t.peers[info.ID] = &peerRecord{entry: Entry{Info: info, LastSeen: now, Health: Alive}}
		t.markDirty()
	}
}

// ApplyPeerUpdate applies an update from another entry. It reports whether the peer must
// send a full update next. It fails with result.StaleIncarnation if the update comes
// from an earlier process of the peer.
func (t *Table) ApplyPeerUpdate(now time.Time, u *wire.PeerUpdate) (needFull bool, err error) {
	if u.From.ID == "" || u.From.ID == t.self {
		return false, result.Errorf(result.BadRequest, "update from an entry named %q, which is empty or the receiver's own id", u.From.ID)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, err := t.findOrAddPeer(now, u.From)
	if err != nil {
		return false, err
	}
	t.recordPeerContact(p, now)
	t.setEntryState(&p.entry, SelfState{ConfigVersion: u.ConfigVersion, Planner: u.Planner, PlannerEpoch: u.PlannerEpoch})
	if !u.Full && !p.hasFullUpdate {
		return true, nil
	}
	listed := make(map[string]bool, len(u.States))
	for i := range u.States {
		t.applyWorkerState(now, u.From.ID, &u.States[i])
		listed[u.States[i].Worker.ID] = true
	}
	if u.Full {
		p.hasFullUpdate = true
		t.clearHome(u.From.ID, listed)
	}
	t.refreshLiveness(now, u)
	return t.shouldRequestFull(now, p, u), nil
}

// minFullRequestInterval is the minimum interval between two requests for a full update
// because two entries disagree on the home of workers.
const minFullRequestInterval = time.Second

// shouldRequestFull reports whether this entry and the sender of u disagree on the
// workers whose home is the sender. It reports true at most once in
// minFullRequestInterval. Without the check a dead worker could stay alive forever in
// two tables that name each other's entry as its home, since an update lists only the
// silent workers of its sender.
func (t *Table) shouldRequestFull(now time.Time, p *peerRecord, u *wire.PeerUpdate) bool {
	if u.OwnWorkersHash == t.homeHash(u.From.ID) || now.Sub(p.lastFullRequest) < minFullRequestInterval {
		return false
	}
	p.lastFullRequest = now
	return true
}

// findOrAddPeer returns the record of the entry from, a new one for a new incarnation.
// It fails with result.StaleIncarnation for an earlier incarnation.
func (t *Table) findOrAddPeer(now time.Time, from wire.EntryInfo) (*peerRecord, error) {
	p := t.peers[from.ID]
	if p != nil && from.Incarnation < p.entry.Info.Incarnation {
		return nil, result.Errorf(result.StaleIncarnation, "entry %s has the newer incarnation %s", from.ID, p.entry.Info.Incarnation)
	}
	if p == nil || from.Incarnation > p.entry.Info.Incarnation {
		p = &peerRecord{entry: Entry{Info: from, LastSeen: now, Health: Alive}}
		t.peers[from.ID] = p
		t.markDirty()
	}
	return p, nil
}

// recordPeerContact marks the peer as alive.
func (t *Table) recordPeerContact(p *peerRecord, now time.Time) {
	p.entry.LastSeen = now
	if p.entry.Health != Alive {
		p.entry.Health = Alive
		t.markDirty()
	}
}

// applyWorkerState applies the state of a worker that, according to the entry from,
// sends its heartbeats there.
func (t *Table) applyWorkerState(now time.Time, from string, s *wire.WorkerState) {
	if s.Worker.ID == "" {
		return
	}
	r := t.workers[s.Worker.ID]
	if r == nil {
		r = &workerRecord{}
		t.workers[s.Worker.ID] = r
	}
	if isNewerState(&r.state, s) {
		r.state = *s
		r.home = from
		t.recordChange(r)
		t.recordContact(r, now, now)
		return
	}
	same := s.Incarnation == r.state.Incarnation && s.Seq == r.state.Seq
	// Recent heartbeats to this entry take precedence over the claim of another entry.
	ours := r.home == t.self && now.Sub(r.lastSeen) < silenceThreshold
	if same && !ours && r.home != from {
		r.home = from
		t.recordChange(r)
		t.recordContact(r, now, now)
	}
}

// clearHome clears the home of the workers that a full update no longer lists. They
// become dead by age unless an entry reports them again.
func (t *Table) clearHome(from string, listed map[string]bool) {
	for id, r := range t.workers {
		if r.home == from && !listed[id] {
			r.home = ""
			t.recordChange(r)
		}
	}
}

// refreshLiveness records contact with the workers whose home is the sender of u. The
// contact with a silent worker is as old as the update says.
func (t *Table) refreshLiveness(now time.Time, u *wire.PeerUpdate) {
	silent := make(map[string]time.Duration, len(u.Silent))
	for _, s := range u.Silent {
		silent[s.Worker] = time.Duration(max(0, s.AgeMS)) * time.Millisecond
	}
	for id, r := range t.workers {
		if r.home == u.From.ID {
			t.recordContact(r, now.Add(-silent[id]), now)
		}
	}
}

// tickPeers updates the health of the other entries and removes those that have been
// dead for deadRetention.
func (t *Table) tickPeers(now time.Time) {
	for id, p := range t.peers {
		if id == t.self {
			continue
		}
		if now.Sub(p.entry.LastSeen) > DeadAfter+deadRetention {
			delete(t.peers, id)
			t.markDirty()
			continue
		}
		if h := healthAt(p.entry.LastSeen, now); h != p.entry.Health {
			p.entry.Health = h
			t.markDirty()
		}
	}
}

// EntryList returns the entries that are not dead, this one included, in no
// particular order.
func (v *View) EntryList() []wire.EntryInfo {
	list := make([]wire.EntryInfo, 0, len(v.Entries))
	for _, e := range v.Entries {
		if e.Health != Dead {
			list = append(list, e.Info)
		}
	}
	return list
}
