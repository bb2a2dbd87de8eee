package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// itemsPerPage is the number of items on a page of a range read. It is small so that
// tests read several pages.
const itemsPerPage = 5

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", e.readHandler(e.store.getKey))
	mux.HandleFunc("GET /api/kv-range", e.readHandler(e.store.getRange))
	mux.HandleFunc("GET /api/kv-watch", e.readHandler(func(r *http.Request) (int, any) { return e.store.watch(r, e) }))
	mux.HandleFunc("POST /api/kv-txn", e.writeHandler(func(r *http.Request) func() (int, any) {
		var t txn
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			return func() (int, any) { return http.StatusBadRequest, nil }
		}
		return func() (int, any) { return e.store.commitTxn(&t) }
	}))
	mux.HandleFunc("POST /api/kv-lease", e.writeHandler(func(r *http.Request) func() (int, any) {
		var m struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			return func() (int, any) { return http.StatusBadRequest, nil }
		}
		return func() (int, any) { return e.store.grantLease(time.Duration(m.TTLMs) * time.Millisecond) }
	}))
	mux.HandleFunc("POST /api/kv-keep/{id}", e.writeHandler(func(r *http.Request) func() (int, any) {
		id := r.PathValue("id")
		return func() (int, any) { return e.store.renewLease(id) }
	}))
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", e.writeHandler(func(r *http.Request) func() (int, any) {
		id := r.PathValue("id")
		return func() (int, any) { return e.store.revokeLease(id) }
	}))
	return mux
}

// applyFaults counts a call and applies the faults Down and CallDelay. It reports
// whether the call is over: it got a response or was dropped, and must not reach the
// store.
func (e *Endpoint) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	e.store.mu.Lock()
	e.store.callCounts[r.URL.Path]++
	e.store.mu.Unlock()
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	switch f.Down {
	case DownUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case DownTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case DownReset:
		panic(http.ErrAbortHandler)
	case DownSilent:
		<-r.Context().Done()
	default:
		time.Sleep(f.CallDelay)
		return false
	}
	return true
}

func (e *Endpoint) readHandler(f func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.applyFaults(w, r) {
			status, body := f(r)
			writeResponse(w, status, body)
		}
	}
}

// writeHandler returns a handler that decodes a write with prepare and runs the
// function that prepare returns, with the faults LoseResponses and LostWriteDelay
// applied.
func (e *Endpoint) writeHandler(prepare func(*http.Request) func() (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.applyFaults(w, r) {
			return
		}
		apply := prepare(r)
		e.mu.Lock()
		lose, delay := e.faults.LoseResponses > 0, e.faults.LostWriteDelay
		if lose {
			e.faults.LoseResponses--
		}
		e.mu.Unlock()
		switch {
		case lose && delay > 0:
			e.store.addLateWrites(1)
			time.AfterFunc(delay, func() {
				apply()
				e.store.addLateWrites(-1)
			})
			<-r.Context().Done()
		case lose:
			apply()
			<-r.Context().Done()
		default:
			status, body := apply()
			writeResponse(w, status, body)
		}
	}
}

func writeResponse(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) getKey(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, it
}

func (s *Store) getRange(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	after := r.URL.Query().Get("after")
	page, more := []item{}, false
	for _, key := range s.sortedKeys(r.URL.Query().Get("pathPrefix")) {
		if key <= after {
			continue
		}
		if len(page) == itemsPerPage {
			more = true
			break
		}
		page = append(page, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": page, "hasMore": more, "currentRev": s.revision}
}

func (s *Store) watch(r *http.Request, e *Endpoint) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		e.mu.Lock()
		stale := e.faults.StaleWatch
		e.mu.Unlock()
		s.mu.Lock()
		s.expireLeases()
		events, changed, revision := s.eventsSince(q.Get("pathPrefix"), after), s.changed, s.revision
		historyDropped := after < s.droppedRevision
		s.mu.Unlock()
		if historyDropped {
			return http.StatusGone, nil
		}
		if len(events) > 0 && !stale {
			return http.StatusOK, map[string]any{"events": events, "currentRev": revision}
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval): // leases expire without a call
		case <-timeout:
			if stale {
				revision = after
			}
			return http.StatusOK, map[string]any{"events": []item{}, "currentRev": revision}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// leaseCheckInterval is the interval at which a waiting watch checks for expired
// leases.
const leaseCheckInterval = 20 * time.Millisecond

// eventsSince returns the changes with a revision above after, of keys that start with
// prefix. The caller holds s.mu.
func (s *Store) eventsSince(prefix string, after uint64) []item {
	events := []item{}
	for _, it := range s.history {
		if it.Revision > after && len(it.Key) >= len(prefix) && it.Key[:len(prefix)] == prefix {
			events = append(events, it)
		}
	}
	return events
}

func (s *Store) grantLease(ttl time.Duration) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()}
}

func (s *Store) renewLease(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}

func (s *Store) revokeLease(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.removeLease(id)
	return http.StatusOK, nil
}
