package members

import (
	"context"
	"time"

	"github.com/apex/log"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// livenessInterval is the maximum interval between two updates to a peer. Updates
// without changes show that this entry is alive.
const livenessInterval = time.Second

// handleHeartbeat serves wire.KindHeartbeat.
func (s *Service) handleHeartbeat(_ context.Context, hb *wire.Heartbeat) (*wire.HeartbeatReply, error) {
	heartbeatsReceived.Add(1)
	needState, err := s.table.ApplyHeartbeat(s.Clock(), hb)
	if err != nil {
		return nil, err
	}
	if hb.State != nil {
		statesReceived.Add(1)
		s.observeEpoch(hb.State.Epoch)
		s.offerConfigFrom(hb.State.ConfigVersion, hb.State.Address)
	}
	s.OnFreeSlots(hb.Worker, hb.FreeSlots)
	if len(hb.Events) > 0 {
		s.acceptGangEvents(hb)
	}
	reply := &wire.HeartbeatReply{
		NeedState:     needState,
		ConfigVersion: s.configVersion(),
		AckedEventSeq: s.relay.AckedSeq(hb.Worker, hb.Incarnation),
	}
	if list := s.entriesForAgents(); list.hash != hb.EntriesHash {
		reply.Entries = list.entries
	}
	return reply, nil
}

// acceptGangEvents records the events of a heartbeat if this entry is the planner.
// Otherwise it sends them to the planner's entry without waiting for ExchangeInterval.
func (s *Service) acceptGangEvents(hb *wire.Heartbeat) {
	if sink := s.sink.Load(); sink != nil {
		if planner, _ := (*sink).PlannerState(); planner {
			seq := (*sink).RecordGangEvents(hb.Worker, hb.Incarnation, hb.Events)
			s.relay.RecordAcks([]wire.EventAck{{Worker: hb.Worker, Incarnation: hb.Incarnation, Seq: seq}})
			return
		}
	}
	if !s.relay.AddPending(hb.Worker, hb.Incarnation, hb.Events) {
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
		l.sendSoon()
	}
}

// handlePeerUpdate serves wire.KindPeerUpdate.
func (s *Service) handlePeerUpdate(_ context.Context, u *wire.PeerUpdate) (*wire.PeerReply, error) {
	updatesReceived.Add(1)
	needFull, err := s.table.ApplyPeerUpdate(s.Clock(), u)
	if err != nil {
		return nil, err
	}
	statesReceived.Add(int64(len(u.States)))
	for i := range u.States {
		s.observeEpoch(u.States[i].Epoch)
	}
	s.observeEpoch(u.PlannerEpoch)
	s.offerConfigFrom(u.ConfigVersion, u.From.Address)
	reply := &wire.PeerReply{NeedFull: needFull, ConfigVersion: s.configVersion()}
	if u.Full {
		reply.Entries = s.View().EntryList()
	}
	if sink := s.sink.Load(); sink != nil {
		for _, e := range u.Events {
			if seq := (*sink).RecordGangEvents(e.Worker, e.Incarnation, e.Events); seq > 0 {
				reply.Acks = append(reply.Acks, wire.EventAck{Worker: e.Worker, Incarnation: e.Incarnation, Seq: seq})
			}
		}
	}
	return reply, nil
}

// peerLink sends updates to one peer, one at a time.
type peerLink struct {
	service *Service
	info    wire.EntryInfo
	cancel  context.CancelFunc
	wake    chan struct{} // receives a value when an update must be sent soon

	needsFull    bool      // the next update must be a full one
	sentChanges  uint64    // value of Table.changes up to which the peer has all changes
	lastSent     time.Time // time of the last update, delivered or not
	lastSentSelf SelfState // state of this entry in the last update
}

// ensureLinks keeps one link to each other entry in the view. Dead entries keep theirs,
// since only a successful call shows that they have returned.
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
		l := &peerLink{service: s, info: e.Info, cancel: cancel, wake: make(chan struct{}, 1), needsFull: true}
		s.links[id] = l
		s.startLoop(lctx, l.loop)
	}
}

// sendSoon makes the loop send an update without waiting for ExchangeInterval.
func (l *peerLink) sendSoon() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *peerLink) loop(ctx context.Context) {
	t := time.NewTicker(ExchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-l.wake:
		}
		l.sendUpdate(ctx)
	}
}

// sendUpdate sends an update if there are changes to send or livenessInterval has
// passed since the last update.
func (l *peerLink) sendUpdate(ctx context.Context) {
	u, next, due := l.buildUpdate()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.lastSent = l.service.Clock()
	var reply wire.PeerReply
	updatesSent.Add(1)
	if err := l.service.Pool.Call(ctx, l.info.Address, wire.KindPeerUpdate, u, &reply); err != nil {
		updatesFailed.Add(1)
		l.needsFull = true
		log.WithFields(log.Fields{"event": "peer_update_failed", "peer": l.info.ID, "code": int(result.CodeOf(err)), "error": err.Error()}).Debug("the update to a peer was not delivered; a full update follows")
		return
	}
	l.needsFull = reply.NeedFull
	l.sentChanges = next
	l.service.relay.RecordAcks(reply.Acks)
	l.service.offerConfigFrom(reply.ConfigVersion, l.info.Address)
	l.service.table.AddListedEntries(l.service.Clock(), reply.Entries)
}

// buildUpdate returns the next update, the value of sentChanges after its delivery, and
// whether it must be sent now.
func (l *peerLink) buildUpdate() (u *wire.PeerUpdate, next uint64, due bool) {
	now := l.service.Clock()
	self := l.service.View().Entries[l.service.Self.ID]
	own := l.service.table.ownWorkers(now, l.sentChanges, l.needsFull)
	u = &wire.PeerUpdate{
		From:           l.service.Self,
		Full:           l.needsFull,
		States:         own.states,
		Silent:         own.silent,
		OwnWorkersHash: own.hash,
		ConfigVersion:  self.ConfigVersion,
		Planner:        self.Planner,
		PlannerEpoch:   max(self.PlannerEpoch, l.epochToForward(self)),
	}
	if p, ok := l.service.View().Planner(); ok && p.Info.ID == l.info.ID {
		u.Events = l.service.relay.TakePending()
	}
	state := SelfState{ConfigVersion: u.ConfigVersion, Planner: u.Planner, PlannerEpoch: u.PlannerEpoch}
	due = l.needsFull || len(own.states) > 0 || len(u.Events) > 0 || state != l.lastSentSelf || now.Sub(l.lastSent) >= livenessInterval
	l.lastSentSelf = state
	return u, own.next, due
}

// epochToForward returns the highest epoch seen. It returns 0 if this entry is the
// planner, since a planner sends the epoch of its own term.
func (l *peerLink) epochToForward(self *Entry) uint64 {
	if self.Planner {
		return 0
	}
	return l.service.HighestEpoch()
}
