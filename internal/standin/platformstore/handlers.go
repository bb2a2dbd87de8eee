package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// pageItems is the number of items on a page of a list, small so that tests
// meet several pages.
const pageItems = 5

func (g *Gate) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", g.read(g.store.getKey))
	mux.HandleFunc("GET /api/kv-range", g.read(g.store.getRange))
	mux.HandleFunc("GET /api/kv-watch", g.read(func(r *http.Request) (int, any) { return g.store.watch(r, g) }))
	mux.HandleFunc("POST /api/kv-txn", g.write(func(r *http.Request) func() (int, any) {
		var t txn
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			return func() (int, any) { return http.StatusBadRequest, nil }
		}
		return func() (int, any) { return g.store.commit(&t) }
	}))
	mux.HandleFunc("POST /api/kv-lease", g.write(func(r *http.Request) func() (int, any) {
		var m struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			return func() (int, any) { return http.StatusBadRequest, nil }
		}
		return func() (int, any) { return g.store.grant(time.Duration(m.TTLMs) * time.Millisecond) }
	}))
	mux.HandleFunc("POST /api/kv-keep/{id}", g.write(func(r *http.Request) func() (int, any) {
		id := r.PathValue("id")
		return func() (int, any) { return g.store.keep(id) }
	}))
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", g.write(func(r *http.Request) func() (int, any) {
		id := r.PathValue("id")
		return func() (int, any) { return g.store.end(id) }
	}))
	return mux
}

// refuse plays the faults that keep a call from the store. It reports whether
// the call is over.
func (g *Gate) refuse(w http.ResponseWriter, r *http.Request) bool {
	g.store.mu.Lock()
	g.store.calls[r.URL.Path]++
	g.store.mu.Unlock()
	g.mu.Lock()
	f := g.faults
	g.mu.Unlock()
	switch f.Down {
	case DownBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case DownMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case DownReset:
		panic(http.ErrAbortHandler)
	case DownSilent:
		<-r.Context().Done()
	default:
		time.Sleep(f.Slow)
		return false
	}
	return true
}

func (g *Gate) read(f func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !g.refuse(w, r) {
			status, body := f(r)
			answer(w, status, body)
		}
	}
}

func (g *Gate) write(prepare func(*http.Request) func() (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if g.refuse(w, r) {
			return
		}
		do := prepare(r)
		g.mu.Lock()
		lose, late := g.faults.LoseAnswers > 0, g.faults.Late
		if lose {
			g.faults.LoseAnswers--
		}
		g.mu.Unlock()
		switch {
		case lose && late > 0:
			time.AfterFunc(late, func() { do() })
			<-r.Context().Done()
		case lose:
			do()
			<-r.Context().Done()
		default:
			status, body := do()
			answer(w, status, body)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) getKey(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, it
}

func (s *Store) getRange(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	after := r.URL.Query().Get("after")
	page, more := []item{}, false
	for _, key := range s.keys(r.URL.Query().Get("pathPrefix")) {
		if key <= after {
			continue
		}
		if len(page) == pageItems {
			more = true
			break
		}
		page = append(page, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": page, "hasMore": more, "currentRev": s.revision}
}

func (s *Store) watch(r *http.Request, g *Gate) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		g.mu.Lock()
		stale := g.faults.StaleWatch
		g.mu.Unlock()
		s.mu.Lock()
		s.expire()
		events, changed, revision := s.since(q.Get("pathPrefix"), after), s.changed, s.revision
		gone := after < s.dropped
		s.mu.Unlock()
		if gone {
			return http.StatusGone, nil
		}
		if len(events) > 0 && !stale {
			return http.StatusOK, map[string]any{"events": events, "currentRev": revision}
		}
		select {
		case <-changed:
		case <-time.After(leaseTick): // leases end without a call
		case <-end:
			if stale {
				revision = after
			}
			return http.StatusOK, map[string]any{"events": []item{}, "currentRev": revision}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// leaseTick is how often a waiting watch looks for leases that have ended.
const leaseTick = 20 * time.Millisecond

func (s *Store) since(prefix string, after uint64) []item {
	events := []item{}
	for _, it := range s.history {
		if it.Revision > after && len(it.Key) >= len(prefix) && it.Key[:len(prefix)] == prefix {
			events = append(events, it)
		}
	}
	return events
}

func (s *Store) grant(ttl time.Duration) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()}
}

func (s *Store) keep(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.end = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}

func (s *Store) end(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, nil
}
