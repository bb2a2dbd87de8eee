package members

import (
	"context"
	"time"

	"github.com/apex/log"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// livenessInterval is the longest time between two updates to a peer.
const livenessInterval = time.Second

// heartbeat serves KindHeartbeat.
func (s *Service) heartbeat(_ context.Context, hb *wire.Heartbeat) (*wire.HeartbeatReply, error) {
	heartbeatsReceived.Add(1)
	needState, err := s.table.Heartbeat(s.Clock(), hb)
	if err != nil {
		return nil, err
	}
	if hb.State != nil {
		statesReceived.Add(1)
		s.observeEpoch(hb.State.Epoch)
		s.offerConfig(hb.State.ConfigVersion, hb.State.Address)
	}
	s.OnFreeSlots(hb.Worker, hb.FreeSlots)
	if len(hb.Events) > 0 {
		s.gangEvents(hb)
	}
	reply := &wire.HeartbeatReply{
		NeedState:     needState,
		ConfigVersion: s.configVersion(),
		AckedEvents:   s.relay.Acked(hb.Worker, hb.Incarnation),
	}
	if list := s.entries(); list.hash != hb.EntriesHash {
		reply.Entries = list.entries
	}
	return reply, nil
}

// gangEvents records events here if this entry is the planner, else it passes
// them on to the planner's entry at once.
func (s *Service) gangEvents(hb *wire.Heartbeat) {
	if sink := s.sink.Load(); sink != nil {
		if planner, _ := (*sink).PlannerState(); planner {
			seq := (*sink).GangEvents(hb.Worker, hb.Incarnation, hb.Events)
			s.relay.Ack([]wire.EventAck{{Worker: hb.Worker, Incarnation: hb.Incarnation, Seq: seq}})
			return
		}
	}
	if !s.relay.Add(hb.Worker, hb.Incarnation, hb.Events) {
		return
	}
	p, ok := s.View().Planner()
	if !ok {
		return
	}
	s.mu.Lock()
	l := s.links[p.Info.ID]
	s.mu.Unlock()
	if l != nil {
		l.kickNow()
	}
}

// peerUpdate serves KindPeerUpdate.
func (s *Service) peerUpdate(_ context.Context, u *wire.PeerUpdate) (*wire.PeerReply, error) {
	updatesReceived.Add(1)
	needFull, err := s.table.Peer(s.Clock(), u)
	if err != nil {
		return nil, err
	}
	statesReceived.Add(int64(len(u.States)))
	for i := range u.States {
		s.observeEpoch(u.States[i].Epoch)
	}
	s.observeEpoch(u.PlannerEpoch)
	s.offerConfig(u.ConfigVersion, u.From.Address)
	reply := &wire.PeerReply{NeedFull: needFull, ConfigVersion: s.configVersion()}
	if u.Full {
		reply.Entries = s.View().EntryList()
	}
	if sink := s.sink.Load(); sink != nil {
		for _, e := range u.Events {
			if seq := (*sink).GangEvents(e.Worker, e.Incarnation, e.Events); seq > 0 {
				reply.Acks = append(reply.Acks, wire.EventAck{Worker: e.Worker, Incarnation: e.Incarnation, Seq: seq})
			}
		}
	}
	return reply, nil
}

// link sends updates to one peer, one at a time.
type link struct {
	svc    *Service
	info   wire.EntryInfo
	cancel context.CancelFunc
	kick   chan struct{}

	full     bool
	since    uint64 // Table.changes up to which the peer has everything
	lastSent time.Time
	lastSelf SelfState
}

// ensureLinks keeps one link for each other entry that is not dead, and for a
// dead one too, since only a call shows that it has returned.
func (s *Service) ensureLinks(ctx context.Context, view *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.links {
		if e := view.Entries[id]; e == nil || e.Info.Incarnation != l.info.Incarnation || e.Info.Address != l.info.Address {
			l.cancel()
			delete(s.links, id)
		}
	}
	for id, e := range view.Entries {
		if id == s.Self.ID || s.links[id] != nil {
			continue
		}
		lctx, cancel := context.WithCancel(ctx)
		l := &link{svc: s, info: e.Info, cancel: cancel, kick: make(chan struct{}, 1), full: true}
		s.links[id] = l
		s.run(lctx, l.loop)
	}
}

func (l *link) kickNow() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (l *link) loop(ctx context.Context) {
	t := time.NewTicker(ExchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-l.kick:
		}
		l.send(ctx)
	}
}

// send sends an update if there is something to tell or livenessInterval has
// passed.
func (l *link) send(ctx context.Context) {
	u, next, due := l.update()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.lastSent = l.svc.Clock()
	var reply wire.PeerReply
	updatesSent.Add(1)
	if err := l.svc.Pool.Call(ctx, l.info.Address, wire.KindPeerUpdate, u, &reply); err != nil {
		updatesFailed.Add(1)
		l.full = true
		log.WithFields(log.Fields{"event": "peer_update_failed", "peer": l.info.ID, "code": int(result.CodeOf(err)), "error": err.Error()}).Debug("update not delivered")
		return
	}
	l.full = reply.NeedFull
	l.since = next
	l.svc.relay.Ack(reply.Acks)
	l.svc.offerConfig(reply.ConfigVersion, l.info.Address)
	l.svc.table.Listed(l.svc.Clock(), reply.Entries)
}

func (l *link) update() (u *wire.PeerUpdate, next uint64, due bool) {
	now := l.svc.Clock()
	self := l.svc.View().Entries[l.svc.Self.ID]
	own := l.svc.table.own(now, l.since, l.full)
	u = &wire.PeerUpdate{
		From:          l.svc.Self,
		Full:          l.full,
		States:        own.states,
		Silent:        own.silent,
		OwnHash:       own.hash,
		ConfigVersion: self.ConfigVersion,
		Planner:       self.Planner,
		PlannerEpoch:  max(self.PlannerEpoch, l.epochToPass(self)),
	}
	if p, ok := l.svc.View().Planner(); ok && p.Info.ID == l.info.ID {
		u.Events = l.svc.relay.Take()
	}
	state := SelfState{ConfigVersion: u.ConfigVersion, Planner: u.Planner, PlannerEpoch: u.PlannerEpoch}
	due = l.full || len(own.states) > 0 || len(u.Events) > 0 || state != l.lastSelf || now.Sub(l.lastSent) >= livenessInterval
	l.lastSelf = state
	return u, own.next, due
}

// epochToPass returns the highest epoch seen, unless this entry is the planner
// itself: the epoch of a planner names its own term.
func (l *link) epochToPass(self *Entry) uint64 {
	if self.Planner {
		return 0
	}
	return l.svc.HighestEpoch()
}
