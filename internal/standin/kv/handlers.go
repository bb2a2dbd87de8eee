package kv

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"snipegw/internal/standin"
)

const (
	indexHeader = "X-Consul-Index"
	// defaultWait and maxWait are the default and the maximum duration of a blocking
	// query in the Consul API.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	// stalePollInterval is the interval at which a watch of stale state checks its
	// key again.
	stalePollInterval = 50 * time.Millisecond
)

// admit counts a call and applies the rate limit and the fault switches that act
// before the call takes effect. It reports whether the call may proceed.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, op string, limit *tokenBucket) bool {
	s.mu.Lock()
	s.callCounts[op]++
	faults := s.faults
	allowed := limit.allow(time.Now())
	if !allowed {
		s.refusedCalls++
	}
	s.mu.Unlock()
	if faults.Down {
		standin.Abort()
	}
	if !allowed {
		http.Error(w, "rate limit exceeded, try again later", http.StatusTooManyRequests)
		return false
	}
	standin.Pause(r.Context(), time.Duration(faults.SlowMS)*time.Millisecond)
	if s.isDown() {
		standin.Abort()
	}
	return true
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// decideLostResponse decides whether the response to a write is lost, and counts it if
// so. The caller, which holds s.mu, has performed the write.
func (s *Server) decideLostResponse() bool {
	lose := s.faults.LoseNext > 0
	if lose {
		s.faults.LoseNext--
	} else if s.faults.LoseResponses > 0 {
		lose = s.random.Float64() < s.faults.LoseResponses
	}
	if lose {
		s.lostResponses++
	}
	return lose
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	op := "get"
	if after > 0 {
		op = "watch"
	}
	if !s.admit(w, r, op, &s.readLimit) {
		return
	}
	key := r.PathValue("key")
	v, index := s.awaitChange(r, key, after, waitTime(query))
	w.Header().Set(indexHeader, strconv.FormatUint(max(index, 1), 10))
	if v.index == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, []map[string]any{{
		"Key": key, "Value": v.value, "Flags": 0, "LockIndex": v.lockIndex,
		"CreateIndex": v.createdIndex, "ModifyIndex": v.index, "Session": v.session,
	}})
}

func waitTime(query url.Values) time.Duration {
	d, err := time.ParseDuration(query.Get("wait"))
	if err != nil || d <= 0 {
		return defaultWait
	}
	return min(d, maxWait)
}

// awaitChange returns the visible version of key and its index as soon as the index
// exceeds after, or when wait has passed. The index of an absent key is that of the
// service.
func (s *Server) awaitChange(r *http.Request, key string, after uint64, wait time.Duration) (version, uint64) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		v, index := s.visibleVersion(key)
		changed, down := s.changed, s.faults.Down
		var staleTick <-chan time.Time // stale state changes with time, without a write
		if s.faults.StaleMS > 0 {
			staleTick = time.After(stalePollInterval)
		}
		s.mu.Unlock()
		if down {
			standin.Abort()
		}
		if v.index > 0 {
			index = v.index
		}
		if after == 0 || index > after {
			return v, index
		}
		select {
		case <-changed:
		case <-staleTick:
		case <-timeout.C:
			return v, index
		case <-r.Context().Done():
			return v, index
		case <-s.stop:
			standin.Abort()
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	op := "put"
	for _, name := range []string{"cas", "acquire", "release"} {
		if query.Has(name) {
			op = name
		}
	}
	if !s.admit(w, r, op, &s.writeLimit) {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		standin.Abort()
	}
	if len(value) > MaxValueBytes {
		http.Error(w, fmt.Sprintf("Request body too large, max size: %d bytes", MaxValueBytes), http.StatusRequestEntityTooLarge)
		return
	}
	done, lost, err := s.applyWrite(op, r.PathValue("key"), query, value)
	switch {
	case lost:
		standin.Abort()
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		standin.WriteJSON(w, done)
	}
}

// applyWrite performs a write. It reports whether the write took effect and whether
// its response is to be lost.
func (s *Server) applyWrite(op, key string, query url.Values, value []byte) (done, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.currentVersion(key)
	v.value = value
	switch op {
	case "cas":
		expectedIndex, parseErr := strconv.ParseUint(query.Get("cas"), 10, 64)
		if parseErr != nil {
			return false, false, parseErr
		}
		done = v.index == expectedIndex || s.faults.IgnoreCAS
	case "acquire":
		id := query.Get("acquire")
		if _, ok := s.sessions[id]; !ok {
			return false, false, fmt.Errorf("invalid session %q", id)
		}
		done = v.session == "" || v.session == id
		if done && v.session == "" {
			v.lockIndex++
		}
		v.session = id
	case "release":
		done = v.session != "" && v.session == query.Get("release")
		v.session = ""
	default:
		done = true
	}
	if done {
		s.addVersion(key, v)
	}
	return done, s.decideLostResponse(), nil
}

func (s *Server) sessionCreate(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, "session_create", &s.writeLimit) {
		return
	}
	var body struct{ TTL, LockDelay, Behavior, Name string }
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&body); err != nil && err != io.EOF {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl < minTTL || ttl > maxTTL {
		http.Error(w, fmt.Sprintf("Invalid Session TTL '%s', must be between [%s=%s]", body.TTL, minTTL, maxTTL), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id := fmt.Sprintf("%08x-%04x-%04x-%04x-%012x", s.random.Uint32(), s.random.Uint32()>>16, s.random.Uint32()>>16, s.random.Uint32()>>16, s.random.Uint64()>>16)
	s.sessions[id] = &session{ttl: ttl, expires: time.Now().Add(ttl)}
	s.index++
	lost := s.decideLostResponse()
	s.mu.Unlock()
	if lost {
		standin.Abort()
	}
	standin.WriteJSON(w, map[string]string{"ID": id})
}

func (s *Server) sessionRenew(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, "session_renew", &s.writeLimit) {
		return
	}
	id := r.PathValue("id")
	s.mu.Lock()
	ses, ok := s.sessions[id]
	if ok {
		ses.expires = time.Now().Add(ses.ttl)
	}
	lost := s.decideLostResponse()
	s.mu.Unlock()
	switch {
	case lost:
		standin.Abort()
	case !ok:
		http.Error(w, fmt.Sprintf("Session id '%s' not found", id), http.StatusNotFound)
	default:
		standin.WriteJSON(w, []map[string]string{{"ID": id, "TTL": ses.ttl.String(), "Behavior": "release"}})
	}
}

func (s *Server) sessionDestroy(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, "session_end", &s.writeLimit) {
		return
	}
	s.mu.Lock()
	s.endSession(r.PathValue("id"))
	lost := s.decideLostResponse()
	s.mu.Unlock()
	if lost {
		standin.Abort()
	}
	standin.WriteJSON(w, true)
}
