// Package kv is a stand-in for the platform's store: the KV and session
// endpoints of the Consul v1 HTTP API on one process, with call counts, rate
// limits and fault switches.
package kv

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/standin"
)

const (
	// MaxValueBytes is the largest value that the service accepts.
	MaxValueBytes = 1 << 20
	// keepHistory is the age of the oldest state that can be served as stale.
	keepHistory = 30 * time.Second
	// minTTL and maxTTL are the bounds of a session's time to live in the
	// published API.
	minTTL = 10 * time.Second
	maxTTL = 24 * time.Hour
)

// Settings are the settings of the stand-in.
type Settings struct {
	// Address is host:port; port 0 takes a free one.
	Address string `json:"address"`
	// WritesPerSecond and ReadsPerSecond limit the rates; 0 is no limit. A call
	// above the limit is refused with status 429.
	WritesPerSecond int `json:"writes_per_second,omitempty"`
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
	// Seed makes random faults repeatable.
	Seed uint64 `json:"seed,omitempty"`
}

// Provision fills in defaults.
func (s *Settings) Provision() {}

// Validate appends the faults of s.
func (s *Settings) Validate(faults *kernel.ValidationErrors) {
	if s.Address == "" {
		faults.Add("address", "required")
	}
	if s.WritesPerSecond < 0 || s.ReadsPerSecond < 0 {
		faults.Add("writes_per_second", "rates must not be negative")
	}
}

// Faults are the fault switches.
type Faults struct {
	// Down breaks every connection without an answer or an effect.
	Down bool `json:"down"`
	// SlowMS delays every call by this many milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the share of writes, 0 to 1, whose answer is lost after
	// the effect; LoseNext is the number of next writes for which it is lost.
	LoseAnswers float64 `json:"lose_answers"`
	LoseNext    int     `json:"lose_next"`
	// StaleMS serves reads from the state of that many milliseconds ago.
	StaleMS int `json:"stale_ms"`
	// IgnoreCAS lets every compare-and-swap succeed. No real service does; it
	// shows that a checker detects lost updates.
	IgnoreCAS bool `json:"ignore_cas"`
	// LapseSessions ends all sessions when it is set; it then reads as false.
	LapseSessions bool `json:"lapse_sessions"`
}

// version is the state of a key from a time on. An absent key has index 0.
type version struct {
	at      time.Time
	value   []byte
	created uint64
	index   uint64
	lock    uint64 // number of acquisitions
	session string
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

// Server is a running stand-in.
type Server struct {
	host     *standin.Host
	settings Settings

	mu       sync.Mutex
	index    uint64
	keys     map[string][]version // history, the newest last
	sessions map[string]*session
	changed  chan struct{} // closed and replaced at every change
	faults   Faults
	random   *rand.Rand
	counts   map[string]uint64
	refused  uint64
	lost     uint64
	writes   bucket
	reads    bucket
	stop     chan struct{}
	stopOnce sync.Once
}

// Start runs a stand-in.
func Start(s Settings) (*Server, error) {
	now := time.Now()
	srv := &Server{
		settings: s,
		keys:     make(map[string][]version),
		sessions: make(map[string]*session),
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		counts:   make(map[string]uint64),
		writes:   bucket{rate: s.WritesPerSecond, tokens: float64(s.WritesPerSecond), last: now},
		reads:    bucket{rate: s.ReadsPerSecond, tokens: float64(s.ReadsPerSecond), last: now},
		stop:     make(chan struct{}),
	}
	host, err := standin.Listen(s.Address, srv.handler())
	if err != nil {
		return nil, err
	}
	srv.host = host
	go srv.expireSessions()
	return srv, nil
}

// Addr returns host:port.
func (s *Server) Addr() string { return s.host.Addr() }

// URL returns the base URL.
func (s *Server) URL() string { return s.host.URL() }

// Close ends the stand-in.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	return s.host.Close()
}

// Stop ends the stand-in; waiting watches are broken.
func (s *Server) Stop(context.Context) error { return s.Close() }

// ChangeFaults applies f to the fault switches and returns them as set.
func (s *Server) ChangeFaults(f func(*Faults)) (Faults, error) {
	s.mu.Lock()
	f(&s.faults)
	if s.faults.LapseSessions {
		s.faults.LapseSessions = false
		for id := range s.sessions {
			s.endSession(id)
		}
	}
	down := s.faults.Down
	s.notify()
	set := s.faults
	s.mu.Unlock()
	if down {
		s.host.BreakSoon()
	}
	return set, nil
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	_, _ = s.ChangeFaults(func(current *Faults) { *current = f })
}

// Counts is the number of calls so far.
type Counts struct {
	// Calls counts by operation: get, watch, put, cas, acquire, release,
	// delete, session_create, session_renew, session_end.
	Calls map[string]uint64 `json:"calls"`
	// Refused counts calls above a rate limit; Lost counts lost answers.
	Refused uint64 `json:"refused"`
	Lost    uint64 `json:"lost"`
}

// Counts returns the number of calls so far. A waiting watch is one call.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Calls: make(map[string]uint64, len(s.counts)), Refused: s.refused, Lost: s.lost}
	for op, n := range s.counts {
		c.Calls[op] = n
	}
	return c
}

// bucket limits a rate with a burst of one second.
type bucket struct {
	rate   int
	tokens float64
	last   time.Time
}

func (b *bucket) take(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(float64(b.rate), b.tokens+now.Sub(b.last).Seconds()*float64(b.rate))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// notify wakes all blocking queries. The caller holds s.mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the newest version of key. The caller holds s.mu.
func (s *Server) current(key string) version {
	h := s.keys[key]
	if len(h) == 0 {
		return version{}
	}
	return h[len(h)-1]
}

// visible returns the version of key and the index of the service that a read
// sees now, with stale reads applied. The caller holds s.mu.
func (s *Server) visible(key string) (version, uint64) {
	if s.faults.StaleMS == 0 {
		return s.current(key), s.index
	}
	at := time.Now().Add(-time.Duration(s.faults.StaleMS) * time.Millisecond)
	h := s.keys[key]
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].at.After(at) {
			return h[i], h[i].index
		}
	}
	return version{}, 1
}

// write adds a version of key. The caller holds s.mu.
func (s *Server) write(key string, v version) {
	s.index++
	v.at = time.Now()
	v.index = s.index
	old := s.current(key)
	v.created = old.created
	if old.index == 0 {
		v.created = s.index
	}
	h := append(s.keys[key], v)
	cut := 0
	for cut < len(h)-1 && v.at.Sub(h[cut+1].at) > keepHistory {
		cut++
	}
	s.keys[key] = append([]version(nil), h[cut:]...)
	s.notify()
}

// endSession removes a session and releases its keys. The caller holds s.mu.
func (s *Server) endSession(id string) {
	delete(s.sessions, id)
	for key := range s.keys {
		if v := s.current(key); v.session == id && id != "" {
			v.session = ""
			s.write(key, v)
		}
	}
}

func (s *Server) expireSessions() {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			s.mu.Lock()
			for id, ses := range s.sessions {
				if now.After(ses.expires) {
					s.endSession(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.get)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	mux.HandleFunc("PUT /v1/session/create", s.sessionCreate)
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.sessionRenew)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.sessionDestroy)
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, s.Counts())
	})
	standin.HandleFaults(mux, s.ChangeFaults)
	return mux
}
