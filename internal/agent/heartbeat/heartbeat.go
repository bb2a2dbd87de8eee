// Package heartbeat reports the state of an agent to its home entry. The replies
// carry the entry list, acknowledgements of gang events and the configuration
// version.
package heartbeat

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/members"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// replyTimeout bounds the wait for a reply. It is shorter than
	// members.HeartbeatInterval.
	replyTimeout = 800 * time.Millisecond
	// minBeatInterval is the minimum interval between heartbeats, which limits
	// those sent after changes.
	minBeatInterval = 50 * time.Millisecond
	// preferredRetryInterval is the time after which an agent that has fallen back
	// to another entry tries its preferred entry again.
	preferredRetryInterval = 10 * time.Second
	// configFetchTimeout bounds a fetch of the configuration document.
	configFetchTimeout = 2 * time.Second
)

// Caller calls entries. It is implemented by transport.Pool.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error
	// CloseConnections closes the connection to addr.
	CloseConnections(addr string)
}

// Source provides the state of the agent and receives what the replies carry.
type Source interface {
	// State returns the current state. The sender sets Seq.
	State() wire.WorkerState
	FreeSlots() int
	// Events returns the gang events to send.
	Events() []wire.GangEvent
	// Acknowledge is called with the sequence number up to which the entry has
	// acknowledged gang events.
	Acknowledge(seq uint64)
	ConfigVersion() uint64
	// AdoptConfig adopts a configuration document if it is newer than the current
	// one.
	AdoptConfig(version uint64, document []byte)
}

// Config holds the identity and the dependencies of a Sender.
type Config struct {
	Worker        string
	Incarnation   string
	FailureDomain string
	Seeds         []string // addresses of entries, used after those of the entry list
	Caller        Caller
	Source        Source
	Now           func() time.Time
}

// Sender sends the heartbeats of one agent. Beat must be called by one goroutine at
// a time; the other methods are safe for concurrent use.
type Sender struct {
	Config
	beatRequested chan struct{}

	mu            sync.Mutex
	entries       []wire.EntryInfo
	home          string
	homeSince     time.Time // latest change of home or missed reply
	missedReplies int
	ackedSeq      uint64 // Seq that home has acknowledged; 0 is none
	lastReply     time.Time
	sentCount     uint64
	lastState     wire.WorkerState
	seq           uint64
}

// New returns a Sender without a home entry.
func New(c Config) *Sender { return &Sender{Config: c, beatRequested: make(chan struct{}, 1)} }

// RequestBeat requests a heartbeat soon, to report a change. It does not block.
func (s *Sender) RequestBeat() {
	select {
	case s.beatRequested <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		wait := members.HeartbeatInterval
		if !s.Beat(ctx, false) {
			wait = minBeatInterval * 4 // retry soon, at the next entry
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minBeatInterval):
		}
		select {
		case <-ctx.Done():
		case <-s.beatRequested:
		case <-time.After(wait - time.Since(begun)):
		}
	}
}

// Beat sends a heartbeat to the home entry, and a second one with the full state if
// the entry asks for it. It reports whether the entry answered.
func (s *Sender) Beat(ctx context.Context, leaving bool) bool {
	home := s.chooseHome()
	if home == "" {
		return false
	}
	for range 2 {
		msg := s.newHeartbeat(leaving)
		var reply wire.HeartbeatReply
		callCtx, cancel := context.WithTimeout(ctx, replyTimeout)
		err := s.Caller.Call(callCtx, home, wire.KindHeartbeat, msg, &reply)
		cancel()
		if err != nil {
			s.recordMissedReply(home, err)
			return false
		}
		s.handleReply(ctx, home, msg, &reply)
		if !reply.NeedState {
			break
		}
	}
	return true
}

// chooseHome returns the address of the home entry, "" if no entry is known. This is
// the preferred entry, or after missed replies the next one in order of preference.
// It returns to the preferred entry if the current home has answered and there was
// no change or missed reply for preferredRetryInterval.
func (s *Sender) chooseHome() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	preferred := rankEntries(s.Worker, s.FailureDomain, s.entries, s.Seeds)
	if len(preferred) == 0 {
		return ""
	}
	now := s.Now()
	if s.missedReplies > 0 && now.Sub(s.homeSince) > preferredRetryInterval && s.home != "" && s.lastReply.After(s.homeSince) {
		s.missedReplies = 0
	}
	chosen := preferred[s.missedReplies%len(preferred)]
	if chosen == s.home {
		return chosen
	}
	if s.home != "" {
		s.Caller.CloseConnections(s.home)
	}
	s.home = chosen
	s.homeSince = now
	s.ackedSeq = 0
	return chosen
}

// newHeartbeat returns the next heartbeat. It carries the state of the agent only if
// the home entry has not acknowledged it.
func (s *Sender) newHeartbeat(leaving bool) *wire.Heartbeat {
	state := s.Source.State()
	state.Seq = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seq == 0 || !reflect.DeepEqual(state, s.lastState) {
		s.lastState = state
		s.seq++
	}
	msg := &wire.Heartbeat{
		Worker: s.Worker, Incarnation: s.Incarnation, Seq: s.seq,
		Events: s.Source.Events(), FreeSlots: s.Source.FreeSlots(), Leaving: leaving,
	}
	if len(s.entries) > 0 {
		msg.EntriesHash = wire.HashEntries(s.entries)
	}
	if s.ackedSeq != s.seq {
		state.Seq = s.seq
		msg.State = &state
	}
	s.sentCount++
	return msg
}

func (s *Sender) recordMissedReply(home string, err error) {
	s.mu.Lock()
	s.missedReplies++
	s.ackedSeq = 0
	s.homeSince = s.Now()
	missedReplies := s.missedReplies
	s.mu.Unlock()
	log.WithFields(log.Fields{"event": "heartbeat_missed", "entry": home, "missed": missedReplies, "code": int(result.CodeOf(err))}).Warn(err.Error())
}

func (s *Sender) handleReply(ctx context.Context, home string, msg *wire.Heartbeat, reply *wire.HeartbeatReply) {
	s.mu.Lock()
	s.lastReply = s.Now()
	s.ackedSeq = msg.Seq
	if reply.NeedState {
		s.ackedSeq = 0
	}
	if n := len(reply.Entries); n > 0 && n <= maxEntries && !slices.Equal(reply.Entries, s.entries) {
		s.adoptEntries(reply.Entries)
	}
	s.mu.Unlock()
	s.Source.Acknowledge(reply.AckedEventSeq)
	if reply.ConfigVersion > s.Source.ConfigVersion() {
		s.fetchConfig(ctx, home)
	}
}

// adoptEntries adopts a changed entry list. It returns to the preferred entry only if
// the order of preference changes, because every list has new renewal times.
func (s *Sender) adoptEntries(entries []wire.EntryInfo) {
	before := rankEntries(s.Worker, s.FailureDomain, s.entries, s.Seeds)
	s.entries = slices.Clone(entries)
	if !slices.Equal(before, rankEntries(s.Worker, s.FailureDomain, s.entries, s.Seeds)) {
		s.missedReplies = 0
		log.WithFields(log.Fields{"event": "entries_changed", "entries": len(entries)}).Info("entry list changed; returning to the preferred entry")
	}
}

func (s *Sender) fetchConfig(ctx context.Context, home string) {
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	var reply wire.ConfigReply
	currentVersion := s.Source.ConfigVersion()
	if err := s.Caller.Call(ctx, home, wire.KindConfigFetch, &wire.ConfigFetch{HaveVersion: currentVersion, OmitHistory: true}, &reply); err != nil {
		log.WithFields(log.Fields{"event": "config_fetch_failed", "entry": home, "code": int(result.CodeOf(err))}).Warn(err.Error())
		return
	}
	if reply.Version > currentVersion && len(reply.Document) > 0 {
		s.Source.AdoptConfig(reply.Version, reply.Document)
		s.RequestBeat()
	}
}

// Connected reports whether an entry has answered within members.SuspectAfter.
func (s *Sender) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastReply.IsZero() && s.Now().Sub(s.lastReply) < members.SuspectAfter
}

// Stats describes the sender in the state dump.
type Stats struct {
	Home      string           `json:"home"`
	Missed    int              `json:"missed"`
	Seq       uint64           `json:"seq"`
	Acked     uint64           `json:"acked"`
	Sent      uint64           `json:"sent"`
	LastReply time.Time        `json:"last_reply,omitzero"`
	Entries   []wire.EntryInfo `json:"entries"`
}

// Stats returns the current values for the state dump.
func (s *Sender) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Home: s.home, Missed: s.missedReplies, Seq: s.seq, Acked: s.ackedSeq, Sent: s.sentCount, LastReply: s.lastReply, Entries: s.entries}
}
