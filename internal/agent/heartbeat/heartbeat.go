// Package heartbeat reports the state of an agent to its home entry and takes
// the entry list, acknowledgements and the configuration version from the
// replies.
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
	// replyTimeout is the time after which a reply counts as missed, shorter
	// than members.HeartbeatInterval.
	replyTimeout = 800 * time.Millisecond
	// minInterval limits the heartbeats that are sent at once after a change.
	minInterval = 50 * time.Millisecond
	// preferAfter is the time after which an agent that has fallen back tries
	// its preferred entry again.
	preferAfter = 10 * time.Second
	// configTimeout bounds a fetch of the configuration.
	configTimeout = 2 * time.Second
)

// Caller sends calls to entries; transport.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error
	// Forget closes the connection to addr.
	Forget(addr string)
}

// Source is the state of the agent.
type Source interface {
	// State returns the present state; Seq is ignored.
	State() wire.WorkerState
	FreeSlots() int
	Events() []wire.GangEvent
	Acknowledge(seq uint64)
	ConfigVersion() uint64
	// AdoptConfig takes over a document if it is newer than the present one.
	AdoptConfig(version uint64, document []byte)
}

// Config holds what a Sender needs.
type Config struct {
	Worker        string
	Incarnation   string
	FailureDomain string
	Seeds         []string
	Caller        Caller
	Source        Source
	Now           func() time.Time
}

// Sender sends the heartbeats of one agent. Beat is called by one goroutine;
// the other methods are safe for concurrent use.
type Sender struct {
	Config
	kick chan struct{}

	mu        sync.Mutex
	entries   []wire.EntryInfo
	home      string
	homeSince time.Time
	missed    int
	acked     uint64 // Seq that home has acknowledged; 0 is none
	lastReply time.Time
	sent      uint64
	last      wire.WorkerState
	seq       uint64
}

// New returns a Sender without a home entry.
func New(c Config) *Sender { return &Sender{Config: c, kick: make(chan struct{}, 1)} }

// Changed has a heartbeat sent soon. It does not block.
func (s *Sender) Changed() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		wait := members.HeartbeatInterval
		if !s.Beat(ctx, false) {
			wait = minInterval * 4 // try the next entry soon
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minInterval):
		}
		select {
		case <-ctx.Done():
		case <-s.kick:
		case <-time.After(wait - time.Since(begun)):
		}
	}
}

// Beat sends one heartbeat, and a second one with the full state if the entry
// asks for it. It reports whether the entry answered.
func (s *Sender) Beat(ctx context.Context, leaving bool) bool {
	home := s.choose()
	if home == "" {
		return false
	}
	for range 2 {
		msg := s.message(leaving)
		var reply wire.HeartbeatReply
		callCtx, cancel := context.WithTimeout(ctx, replyTimeout)
		err := s.Caller.Call(callCtx, home, wire.KindHeartbeat, msg, &reply)
		cancel()
		if err != nil {
			s.failed(home, err)
			return false
		}
		s.answered(ctx, home, msg, &reply)
		if !reply.NeedState {
			break
		}
	}
	return true
}

// choose returns the home entry: the preferred one, or after missed replies the
// next in the order of preference.
func (s *Sender) choose() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	order := rank(s.Worker, s.FailureDomain, s.entries, s.Seeds)
	if len(order) == 0 {
		return ""
	}
	now := s.Now()
	if s.missed > 0 && now.Sub(s.homeSince) > preferAfter && s.home != "" && s.lastReply.After(s.homeSince) {
		s.missed = 0
	}
	want := order[s.missed%len(order)]
	if want == s.home {
		return want
	}
	if s.home != "" {
		s.Caller.Forget(s.home)
	}
	s.home = want
	s.homeSince = now
	s.acked = 0
	return want
}

func (s *Sender) message(leaving bool) *wire.Heartbeat {
	state := s.Source.State()
	state.Seq = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seq == 0 || !reflect.DeepEqual(state, s.last) {
		s.last = state
		s.seq++
	}
	msg := &wire.Heartbeat{
		Worker: s.Worker, Incarnation: s.Incarnation, Seq: s.seq,
		Events: s.Source.Events(), FreeSlots: s.Source.FreeSlots(), Leaving: leaving,
	}
	if len(s.entries) > 0 {
		msg.EntriesHash = wire.HashEntries(s.entries)
	}
	if s.acked != s.seq {
		state.Seq = s.seq
		msg.State = &state
	}
	s.sent++
	return msg
}

func (s *Sender) failed(home string, err error) {
	s.mu.Lock()
	s.missed++
	s.acked = 0
	s.homeSince = s.Now()
	missed := s.missed
	s.mu.Unlock()
	log.WithFields(log.Fields{"event": "heartbeat_missed", "entry": home, "missed": missed, "code": int(result.CodeOf(err))}).Warn(err.Error())
}

func (s *Sender) answered(ctx context.Context, home string, msg *wire.Heartbeat, reply *wire.HeartbeatReply) {
	s.mu.Lock()
	s.lastReply = s.Now()
	s.acked = msg.Seq
	if reply.NeedState {
		s.acked = 0
	}
	if n := len(reply.Entries); n > 0 && n <= maxEntries && !slices.Equal(reply.Entries, s.entries) {
		s.takeEntries(reply.Entries)
	}
	s.mu.Unlock()
	s.Source.Acknowledge(reply.AckedEvents)
	if reply.ConfigVersion > s.Source.ConfigVersion() {
		s.fetchConfig(ctx, home)
	}
}

// takeEntries takes over a changed list. Renewal times change all the time and
// are no reason to choose a new home.
func (s *Sender) takeEntries(entries []wire.EntryInfo) {
	before := rank(s.Worker, s.FailureDomain, s.entries, s.Seeds)
	s.entries = slices.Clone(entries)
	if !slices.Equal(before, rank(s.Worker, s.FailureDomain, s.entries, s.Seeds)) {
		s.missed = 0
		log.WithFields(log.Fields{"event": "entries_changed", "entries": len(entries)}).Info("the list of entries has changed")
	}
}

func (s *Sender) fetchConfig(ctx context.Context, home string) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var reply wire.ConfigReply
	have := s.Source.ConfigVersion()
	if err := s.Caller.Call(ctx, home, wire.KindConfigFetch, &wire.ConfigFetch{Have: have, OmitHistory: true}, &reply); err != nil {
		log.WithFields(log.Fields{"event": "config_fetch_failed", "entry": home, "code": int(result.CodeOf(err))}).Warn(err.Error())
		return
	}
	if reply.Version > have && len(reply.Document) > 0 {
		s.Source.AdoptConfig(reply.Version, reply.Document)
		s.Changed()
	}
}

// Connected reports whether the home entry has answered lately.
func (s *Sender) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastReply.IsZero() && s.Now().Sub(s.lastReply) < members.SuspectAfter
}

// Stats describes the sender for the state dump.
type Stats struct {
	Home      string           `json:"home"`
	Missed    int              `json:"missed"`
	Seq       uint64           `json:"seq"`
	Acked     uint64           `json:"acked"`
	Sent      uint64           `json:"sent"`
	LastReply time.Time        `json:"last_reply,omitzero"`
	Entries   []wire.EntryInfo `json:"entries"`
}

// Stats returns the present values.
func (s *Sender) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Home: s.home, Missed: s.missed, Seq: s.seq, Acked: s.acked, Sent: s.sent, LastReply: s.lastReply, Entries: s.entries}
}
