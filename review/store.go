package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. Its fault
// switches are set by POST /rig/fault on a second address, which only the driver calls.

// maxPageItems is the number of items on a page of a range ("at most about 500 items or 1 MB").
const maxPageItems = 500

type record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createdAt,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// fault is the state of the fault switches.
type fault struct {
	// Down resets every call. Leases pause meanwhile.
	Down bool `json:"down"`
	// LatePrefix makes writes that put a key with this prefix get no answer. They are carried out
	// LateMs after their arrival if their conditions still hold then.
	LatePrefix string `json:"latePrefix"`
	LateMs     int64  `json:"lateMs"`
}

type store struct {
	mu       sync.Mutex
	items    map[string]record
	history  []record
	revision uint64
	leases   map[uint64]*storeLease
	changed  chan struct{}
	fault    fault
	downAt   time.Time
	losing   bool // answers are being lost
	lost     int  // writes without an answer, and answered those with one, while losing
	answered int
}

func runStore(args []string) {
	f := flag.NewFlagSet("store", flag.ExitOnError)
	address, control := f.String("listen", "", "address of the store"), f.String("control", "", "address of the fault switches")
	_ = f.Parse(args)
	s := &store{items: map[string]record{}, leases: map[uint64]*storeLease{}, revision: 100, changed: make(chan struct{})}
	switches := http.NewServeMux()
	switches.HandleFunc("POST /rig/fault", s.setFault)
	switches.HandleFunc("GET /rig/state", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, map[string]int{"lost": s.lost, "answered": s.answered})
	})
	// The operator writes here, past the fault switches.
	switches.HandleFunc("POST /rig/put", func(w http.ResponseWriter, r *http.Request) {
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := s.commit(&t)
		reply(w, status, body)
	})
	go serveOrExit(*control, switches)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.read(s.getKey))
	mux.HandleFunc("GET /api/kv-range", s.read(s.getRange))
	mux.HandleFunc("GET /api/kv-watch", s.read(s.watch))
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.read(s.grant))
	mux.HandleFunc("POST /api/kv-keep/{id}", s.read(s.keep))
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.read(s.endLease))
	serveOrExit(*address, mux)
}

func serveOrExit(address string, h http.Handler) {
	fmt.Fprintln(os.Stderr, http.ListenAndServe(address, h))
	os.Exit(exitCannotRun)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) setFault(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.fault.Down
	s.fault = fault{}
	if json.NewDecoder(r.Body).Decode(&s.fault) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.fault.LatePrefix != "" {
		s.lost, s.answered = 0, 0
	}
	s.losing = s.fault.LatePrefix != ""
	switch {
	case s.fault.Down && !was:
		s.downAt = time.Now()
		s.wake() // waiting watches are cut
	case !s.fault.Down && was:
		for _, l := range s.leases {
			l.expires = l.expires.Add(time.Since(s.downAt))
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Down
}

// read returns a handler for a call that is no transaction.
func (s *store) read(f func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			panic(http.ErrAbortHandler)
		}
		status, body := f(r)
		if s.isDown() {
			panic(http.ErrAbortHandler)
		}
		reply(w, status, body)
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	if s.fault.Down {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id uint64) {
	delete(s.leases, id)
	for _, k := range s.keys("") {
		if s.items[k].Lease == id {
			s.revision++
			s.remove(k)
		}
	}
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, record{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) keys(prefix string) []string {
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

func (s *store) getKey(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, it
}

func (s *store) getRange(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	after := r.URL.Query().Get("after")
	items, more := []record{}, false
	for _, k := range s.keys(r.URL.Query().Get("pathPrefix")) {
		if k <= after {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, s.items[k])
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events, changed, revision := []record{}, s.changed, s.revision
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, q.Get("pathPrefix")) {
				events = append(events, s.history[i])
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(until) || s.isDown() {
			for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
				events[i], events[j] = events[j], events[i]
			}
			return http.StatusOK, map[string]any{"events": events, "currentRev": revision}
		}
		select {
		case <-changed:
		case <-time.After(min(20*time.Millisecond, max(time.Until(until), time.Millisecond))):
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

type txn struct {
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

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.fault
	late := false
	for _, p := range t.Puts {
		late = late || f.LatePrefix != "" && strings.HasPrefix(p.Key, f.LatePrefix)
	}
	if late {
		s.lost++
	} else if s.losing {
		s.answered++
	}
	s.mu.Unlock()
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	if late {
		time.AfterFunc(time.Duration(f.LateMs)*time.Millisecond, func() { s.commit(&t) })
		<-r.Context().Done() // the connection returns nothing further
		return
	}
	status, body := s.commit(&t)
	reply(w, status, body)
}

func (s *store) commit(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, hold := []record{}, true
	for _, c := range t.Precondition {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		hold = hold && it.Revision == c.Revision
	}
	if !hold {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		it := record{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			it.Created = old.Created
		}
		s.items[p.Key] = it
		s.history = append(s.history, it)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var m struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(max(m.TTLMs, 1000)) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": ttl.Milliseconds()}
}

func (s *store) keep(r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}

func (s *store) endLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.drop(id)
	return http.StatusOK, map[string]any{}
}
