package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"snipegw/internal/standin"
)

const (
	// DigestHeader carries the digest of the request that a response answers.
	DigestHeader = "X-Digest"
	// RequestIDHeader carries the id that is recorded for a request.
	RequestIDHeader = "Snipegw-Request-Id"
	// maxRequestBytes limits a request body, maxResponseBytes a response body.
	maxRequestBytes  = 64 << 20
	maxResponseBytes = 64 << 20
	// chunkBytes is the maximum size of a single write of a response body.
	chunkBytes = 16 << 10
)

// Digest returns the hexadecimal SHA-256 digest of a request.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	io.WriteString(h, method+"\n"+path+"\n")
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// ResponseBody returns the response body for a request with the given digest: n bytes
// generated from the digest, or a JSON object with the digest if n is 0.
func ResponseBody(digest string, n int) []byte {
	if n <= 0 {
		data, _ := json.Marshal(map[string]string{"digest": digest})
		return data
	}
	seed := sha256.Sum256([]byte(digest))
	body := make([]byte, n)
	_, _ = rand.NewChaCha8(seed).Read(body)
	return body
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET /standin/log", func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		standin.WriteJSON(w, s.Records(since))
	})
	standin.HandleFaults(mux, s.ChangeFaults)
	return mux
}

// responseOptions are the properties of a response that the query of the request asks
// for.
type responseOptions struct {
	delay     time.Duration
	bodyBytes int
	chunked   bool // without Content-Length
	broken    bool
	fails     bool
	short     bool // only half of the body, sent as complete
}

func parseQuery(q url.Values) responseOptions {
	delay, _ := strconv.Atoi(q.Get("delay_ms"))
	n, _ := strconv.Atoi(q.Get("bytes"))
	return responseOptions{
		delay: time.Duration(delay) * time.Millisecond, bodyBytes: min(n, maxResponseBytes),
		chunked: q.Get("chunked") == "1", broken: q.Get("break") == "1", fails: q.Get("fail") == "1",
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	want := parseQuery(r.URL.Query())
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		standin.Abort() // the request is incomplete and does not run
	}
	seq := s.recordStart(r, &want)
	outcome := "abandoned"
	defer func() { s.recordEnd(seq, outcome) }()
	if want.fails {
		outcome = "failed"
		http.Error(w, "backend fault", http.StatusInternalServerError)
		return
	}
	standin.Pause(r.Context(), want.delay)
	if r.Context().Err() != nil {
		return
	}
	digest := Digest(r.Method, r.URL.Path, body)
	out := ResponseBody(digest, want.bodyBytes)
	if want.short {
		out = out[:len(out)/2]
	}
	setResponseHeaders(w.Header(), digest, want, len(out))
	if want.broken {
		outcome = "broken"
		out = out[:len(out)/2]
	}
	if !writeInChunks(w, out) {
		return
	}
	if want.broken {
		_ = http.NewResponseController(w).Flush()
		standin.Abort()
	}
	outcome = "complete"
}

func setResponseHeaders(h http.Header, digest string, want responseOptions, length int) {
	h.Set(DigestHeader, digest)
	h.Set("Content-Type", "application/json")
	if want.bodyBytes > 0 {
		h.Set("Content-Type", "application/octet-stream")
	}
	if !want.chunked {
		h.Set("Content-Length", strconv.Itoa(length))
	}
}

// writeInChunks writes body in chunks and reports whether all writes succeeded.
func writeInChunks(w http.ResponseWriter, body []byte) bool {
	for len(body) > 0 {
		n := min(chunkBytes, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return false
		}
		body = body[n:]
	}
	return true
}

// recordStart records a request before it runs and adds the effects of the fault
// switches to want. It returns the sequence number of the record.
func (s *Server) recordStart(r *http.Request, want *responseOptions) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	want.delay += time.Duration(s.faults.DelayMS) * time.Millisecond
	want.fails = want.fails || s.faults.FailQuickly
	if s.faults.BreakNext > 0 {
		s.faults.BreakNext--
		want.broken = true
	} else if s.faults.Break > 0 && s.random.Float64() < s.faults.Break {
		want.broken = true
	}
	want.short = s.faults.Short > 0 && s.random.Float64() < s.faults.Short
	if len(s.records) >= maxRecords {
		s.records = append([]Record(nil), s.records[maxRecords/2:]...)
	}
	seq := uint64(1)
	if n := len(s.records); n > 0 {
		seq = s.records[n-1].Seq + 1
	}
	rec := Record{Seq: seq, RequestID: r.Header.Get(RequestIDHeader), Method: r.Method, Path: r.URL.Path, AtMS: time.Now().UnixMilli()}
	s.records = append(s.records, rec)
	s.runningRequests++
	s.appendToLogFile(rec)
	return seq
}

// recordEnd records the end of the request with sequence number seq.
func (s *Server) recordEnd(seq uint64, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningRequests--
	first := s.records[0].Seq
	if seq < first {
		return // the record has been dropped
	}
	rec := &s.records[seq-first]
	rec.EndedMS = time.Now().UnixMilli()
	rec.Outcome = outcome
	s.appendToLogFile(*rec)
}

// appendToLogFile writes a record to the log file. The caller holds s.mu.
func (s *Server) appendToLogFile(rec Record) {
	if s.logFile == nil {
		return
	}
	data, err := json.Marshal(rec)
	if err == nil {
		_, _ = s.logFile.Write(append(data, '\n'))
	}
}
