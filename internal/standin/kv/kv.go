// Package kv is a stand-in for the key-value store that entries reach through
// internal/store/consulkv, for the job index, the directory of entries and the
// configuration. It serves the KV and session endpoints of the Consul v1 HTTP API from
// one process, with call counts, rate limits and fault switches. The metadata store
// that workflows use has another interface; its stand-in is package platformstore.
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
	// historyRetention is how long replaced versions of a key are kept, and so the
	// age of the oldest state that StaleMS can serve.
	historyRetention = 30 * time.Second
	// minTTL and maxTTL are the limits of a session TTL in the Consul API.
	minTTL = 10 * time.Second
	maxTTL = 24 * time.Hour
)

// Settings are the settings of the stand-in.
type Settings struct {
	// Address is the listen address as host:port; port 0 selects a free one.
	Address string `json:"address"`
	// WritesPerSecond and ReadsPerSecond are rate limits; 0 is no limit. A call
	// above its limit is refused with status 429.
	WritesPerSecond int `json:"writes_per_second,omitempty"`
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
	// Seed makes random faults reproducible.
	Seed uint64 `json:"seed,omitempty"`
}

// Provision fills in defaults.
func (s *Settings) Provision() {}

// Validate adds the problems of s to errs.
func (s *Settings) Validate(errs *kernel.ValidationErrors) {
	if s.Address == "" {
		errs.Add("address", "required")
	}
	if s.WritesPerSecond < 0 || s.ReadsPerSecond < 0 {
		errs.Add("writes_per_second", "rates must not be negative")
	}
}

// Faults are the fault switches.
type Faults struct {
	// Down closes every connection without a response or an effect.
	Down bool `json:"down"`
	// SlowMS delays every call by this many milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseResponses is the share of writes, 0 to 1, whose response is lost after they
	// were performed; LoseNext is the number of next writes whose response is lost.
	LoseResponses float64 `json:"lose_answers"`
	LoseNext      int     `json:"lose_next"`
	// StaleMS serves reads from the state of this many milliseconds ago.
	StaleMS int `json:"stale_ms"`
	// IgnoreCAS makes every compare-and-swap succeed. No real service does this: the
	// switch tests that a checker detects lost updates.
	IgnoreCAS bool `json:"ignore_cas"`
	// LapseSessions expires all sessions when it is set, and then reads as false.
	LapseSessions bool `json:"lapse_sessions"`
}

// version is the state of a key from writtenAt until the next version. An absent key
// has index 0.
type version struct {
	writtenAt    time.Time
	value        []byte
	createdIndex uint64
	index        uint64
	lockIndex    uint64 // number of times a session acquired the key
	session      string
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

// Server is a running stand-in.
type Server struct {
	httpServer *standin.HTTPServer
	settings   Settings

	mu            sync.Mutex
	index         uint64
	versions      map[string][]version // history of each key, the newest version last
	sessions      map[string]*session
	changed       chan struct{} // closed and replaced at every change
	faults        Faults
	random        *rand.Rand
	callCounts    map[string]uint64
	refusedCalls  uint64
	lostResponses uint64
	writeLimit    tokenBucket
	readLimit     tokenBucket
	stop          chan struct{}
	stopOnce      sync.Once
}

// Start starts a stand-in.
func Start(s Settings) (*Server, error) {
	now := time.Now()
	srv := &Server{
		settings:   s,
		versions:   make(map[string][]version),
		sessions:   make(map[string]*session),
		changed:    make(chan struct{}),
		random:     rand.New(rand.NewPCG(s.Seed, 1)),
		callCounts: make(map[string]uint64),
		writeLimit: tokenBucket{rate: s.WritesPerSecond, tokens: float64(s.WritesPerSecond), lastRefill: now},
		readLimit:  tokenBucket{rate: s.ReadsPerSecond, tokens: float64(s.ReadsPerSecond), lastRefill: now},
		stop:       make(chan struct{}),
	}
	httpServer, err := standin.Listen(s.Address, srv.handler())
	if err != nil {
		return nil, err
	}
	srv.httpServer = httpServer
	go srv.expireSessions()
	return srv, nil
}

// Addr returns the listen address as host:port.
func (s *Server) Addr() string { return s.httpServer.Addr() }

// URL returns the base URL.
func (s *Server) URL() string { return s.httpServer.URL() }

// Close ends the stand-in at once.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	return s.httpServer.Close()
}

// Stop ends the stand-in at once; watches in progress get no response.
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
	s.wakeWatches()
	set := s.faults
	s.mu.Unlock()
	if down {
		s.httpServer.CloseConnectionsSoon()
	}
	return set, nil
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	_, _ = s.ChangeFaults(func(current *Faults) { *current = f })
}

// Counts are the numbers of calls since the start.
type Counts struct {
	// Calls is the number of calls by operation: get, watch, put, cas, acquire, release,
	// delete, session_create, session_renew, session_end.
	Calls map[string]uint64 `json:"calls"`
	// Refused is the number of calls above a rate limit, Lost the number of lost
	// responses.
	Refused uint64 `json:"refused"`
	Lost    uint64 `json:"lost"`
}

// Counts returns the numbers of calls since the start. A watch counts as one call,
// however long it waits.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Calls: make(map[string]uint64, len(s.callCounts)), Refused: s.refusedCalls, Lost: s.lostResponses}
	for op, n := range s.callCounts {
		c.Calls[op] = n
	}
	return c
}

// tokenBucket limits a rate and allows a burst of one second's calls. A rate of 0 is
// no limit.
type tokenBucket struct {
	rate       int
	tokens     float64
	lastRefill time.Time
}

// allow uses one token and reports whether there was one.
func (b *tokenBucket) allow(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(float64(b.rate), b.tokens+now.Sub(b.lastRefill).Seconds()*float64(b.rate))
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wakeWatches makes all blocking queries look at their key again. The caller holds
// s.mu.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentVersion returns the newest version of key. The caller holds s.mu.
func (s *Server) currentVersion(key string) version {
	history := s.versions[key]
	if len(history) == 0 {
		return version{}
	}
	return history[len(history)-1]
}

// visibleVersion returns the version of key that a read sees now, which is an older
// one if StaleMS is set, and the index to return with it. The caller holds s.mu.
func (s *Server) visibleVersion(key string) (version, uint64) {
	if s.faults.StaleMS == 0 {
		return s.currentVersion(key), s.index
	}
	at := time.Now().Add(-time.Duration(s.faults.StaleMS) * time.Millisecond)
	history := s.versions[key]
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].writtenAt.After(at) {
			return history[i], history[i].index
		}
	}
	return version{}, 1
}

// addVersion makes v the newest version of key, and drops versions older than
// historyRetention. The caller holds s.mu.
func (s *Server) addVersion(key string, v version) {
	s.index++
	v.writtenAt = time.Now()
	v.index = s.index
	old := s.currentVersion(key)
	v.createdIndex = old.createdIndex
	if old.index == 0 {
		v.createdIndex = s.index
	}
	history := append(s.versions[key], v)
	expired := 0
	for expired < len(history)-1 && v.writtenAt.Sub(history[expired+1].writtenAt) > historyRetention {
		expired++
	}
	s.versions[key] = append([]version(nil), history[expired:]...)
	s.wakeWatches()
}

// endSession removes a session and releases the keys that it holds. The caller holds
// s.mu.
func (s *Server) endSession(id string) {
	delete(s.sessions, id)
	for key := range s.versions {
		if v := s.currentVersion(key); v.session == id && id != "" {
			v.session = ""
			s.addVersion(key, v)
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
