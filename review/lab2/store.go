package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as in the settings of the deployments.
const (
	valueBytes     = 1 << 20
	maxTxnEntries  = 32
	maxRangeItems  = 500
	storeLatency   = 4 * time.Millisecond
	maxWatchWait   = 30 * time.Second
	historyEntries = 200_000
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	record *Record

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store {
	return &Store{record: r, revision: 10, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/api/kv-key":
		s.mu.Lock()
		s.expire()
		it, ok := s.items[q.Get("key")]
		rev := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"currentRev": rev})
			return
		}
		reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "createdAt": it.CreatedAt, "lease": it.Lease, "currentRev": rev})
	case r.URL.Path == "/api/kv-range":
		s.list(w, q.Get("pathPrefix"), q.Get("after"))
	case r.URL.Path == "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
		s.watch(w, r, q.Get("pathPrefix"), after, min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	case r.URL.Path == "/api/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/api/kv-lease":
		var m struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&m) != nil || m.TTLMs < 1000 {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		s.mu.Lock()
		s.revision++
		id := s.revision
		ttl := time.Duration(m.TTLMs) * time.Millisecond
		s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": m.TTLMs})
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/api/kv-keep/"), 10, 64)
		s.mu.Lock()
		s.expire()
		l := s.leases[id]
		if l != nil {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, nil)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	if v == nil {
		v = map[string]any{}
	}
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Run ends leases in time until the process ends.
func (s *Store) Run() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

// expire ends leases that have run out. The caller holds s.mu.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds s.mu.
func (s *Store) endLease(id uint64) {
	if _, ok := s.leases[id]; !ok || id == 0 {
		return
	}
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, k := range keys {
			s.remove(k)
		}
		s.notify()
	}
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) put(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) notify() {
	if over := len(s.history) - historyEntries; over > 0 {
		s.history = slices.Clone(s.history[over:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key for the operator.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, k := range keys {
		if len(items) == maxRangeItems || size > valueBytes {
			break
		}
		items = append(items, s.items[k])
		size += len(s.items[k].Value)
	}
	rev := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "currentRev": rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		s.expire()
		events := []any{}
		at, _ := slices.BinarySearchFunc(s.history, after+1, func(it item, rev uint64) int {
			switch {
			case it.Revision < rev:
				return -1
			case it.Revision > rev:
				return 1
			}
			return 0
		})
		for _, it := range s.history[at:] {
			if !strings.HasPrefix(it.Key, prefix) {
				continue
			}
			if it.Deleted {
				events = append(events, map[string]any{"key": it.Key, "revision": it.Revision, "deleted": true})
			} else {
				events = append(events, it)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || waited {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
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
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, p := range t.Puts {
		switch {
		case len(p.Value) > valueBytes || len(p.Key) > 200:
			s.record.Printf("store: refuses a value of %d bytes under %s", len(p.Value), p.Key)
			reply(w, http.StatusBadRequest, nil)
			return
		case strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/"):
			reply(w, http.StatusForbidden, nil)
			return
		case p.Lease != 0 && s.leases[p.Lease] == nil:
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	failed, current := false, []item{}
	for _, c := range t.Precondition {
		it, ok := s.items[c.Key]
		failed = failed || it.Revision != c.Revision
		if ok {
			current = append(current, it)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
