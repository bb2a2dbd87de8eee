package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the platform's store takes for an answer.
const storeLatency = 4 * time.Millisecond

// maxPageItems and maxValueBytes are the limits of the platform's store.
const (
	maxPageItems  = 500
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
	// maxHistoryBytes bounds the history. The store may drop it sooner than after its retention period.
	maxHistoryBytes = 64 << 20
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It has no faults.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	bytes    int    // of the values in history
	dropped  uint64 // highest revision that is no longer in history
	revision uint64
	leases   map[uint64]*storeLease
	changed  chan struct{}
	server   *http.Server
}

func startStore(address string) (*store, error) {
	s := &store{items: make(map[string]item), leases: make(map[uint64]*storeLease), revision: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) { s.reply(w, s.get(r)) })
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) { s.reply(w, s.list(r)) })
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.reply(w, s.watch(r)) })
	mux.HandleFunc("POST /api/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.reply(w, s.commit(r)) })
	mux.HandleFunc("POST /api/kv-lease", func(w http.ResponseWriter, r *http.Request) { s.reply(w, s.grant(r)) })
	mux.HandleFunc("POST /api/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) { s.reply(w, s.keep(r)) })
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) { s.reply(w, s.endLease(r)) })
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(ln) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

type answer struct {
	status int
	body   any
}

func (s *store) reply(w http.ResponseWriter, a answer) {
	time.Sleep(storeLatency)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	if a.body != nil {
		_ = json.NewEncoder(w).Encode(a.body)
	}
}

// put writes a record as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease uint64) {
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.bytes += len(value)
	for s.bytes > maxHistoryBytes {
		s.bytes -= len(s.history[0].Value)
		s.dropped, s.history = s.history[0].Revision, s.history[1:]
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// expire removes the leases that have ended, with their keys. s.mu is held.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

func (s *store) get(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return answer{http.StatusNotFound, map[string]any{"currentRev": s.revision}}
	}
	return answer{http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"currentRev"`
	}{it, s.revision}}
}

func (s *store) list(r *http.Request) answer {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, bytes, more := []item{}, 0, false
	for _, key := range keys {
		if len(page) == maxPageItems || bytes > maxValueBytes {
			more = true
			break
		}
		page = append(page, s.items[key])
		bytes += len(s.items[key].Value)
	}
	return answer{http.StatusOK, map[string]any{"items": page, "hasMore": more, "currentRev": s.revision}}
}

func (s *store) watch(r *http.Request) answer {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events, changed, revision := []item{}, s.changed, s.revision
		if after < s.dropped {
			s.mu.Unlock()
			return answer{http.StatusGone, nil}
		}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, q.Get("pathPrefix")) {
				events = append(events, s.history[i])
			}
		}
		s.mu.Unlock()
		slices.Reverse(events)
		if len(events) > 0 {
			return answer{http.StatusOK, map[string]any{"events": events, "currentRev": revision}}
		}
		select {
		case <-changed:
		case <-timeout:
			return answer{http.StatusOK, map[string]any{"events": events, "currentRev": revision}}
		case <-r.Context().Done():
			return answer{http.StatusServiceUnavailable, nil}
		}
	}
}

func (s *store) commit(r *http.Request) answer {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxTxnEntries {
		return answer{http.StatusBadRequest, nil}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, hold := []item{}, true
	for _, c := range t.Precondition {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		hold = hold && it.Revision == c.Revision
	}
	if !hold {
		return answer{http.StatusPreconditionFailed, map[string]any{"items": current}}
	}
	for _, p := range t.Puts {
		if len(p.Value) > maxValueBytes {
			return answer{http.StatusBadRequest, nil}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return answer{http.StatusNotFound, nil}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.wake()
	return answer{http.StatusOK, map[string]any{"revision": s.revision}}
}

func (s *store) grant(r *http.Request) answer {
	var m struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		return answer{http.StatusBadRequest, nil}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(max(m.TTLMs, 1000)) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return answer{http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": ttl.Milliseconds()}}
}

func (s *store) keep(r *http.Request) answer {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return answer{http.StatusNotFound, nil}
	}
	l.expires = time.Now().Add(l.ttl)
	return answer{http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}}
}

func (s *store) endLease(r *http.Request) answer {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return answer{http.StatusNotFound, nil}
	}
	s.dropLease(id)
	return answer{http.StatusOK, nil}
}
