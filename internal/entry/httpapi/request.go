package httpapi

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/connlimit"
	"snipegw/internal/entry/auth"
	"snipegw/internal/entry/forward"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Defaults and upper bounds of limits that the configuration may set.
const (
	defaultTimeout = 30 * time.Second
	// maxTimeout is the longest timeout of a request. It must be shorter than
	// kernel.StopTimeout.
	maxTimeout          = 60 * time.Second
	defaultMaxBodyBytes = 8 << 20
	// maxHeaderFields is the maximum number of header fields passed on with a request.
	maxHeaderFields = 100
)

// requestIDs generates ids that are unique within a region. An id is a random prefix
// of the process and a counter.
type requestIDs struct {
	prefix atomic.Pointer[string]
	next   atomic.Uint64
}

func (g *requestIDs) newID() string {
	p := g.prefix.Load()
	if p == nil {
		text := strconv.FormatUint(rand.Uint64(), 36) + "-"
		g.prefix.CompareAndSwap(nil, &text)
		p = g.prefix.Load()
	}
	return *p + strconv.FormatUint(g.next.Add(1), 36)
}

// serveRequest forwards a request to the service and writes the response or error.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, service, target string) {
	id := s.ids.newID()
	resp := newResponder(w, r.Method, id)
	defer responders.Put(resp)
	ticket, err := s.forwardRequest(r, resp, id, service, target)
	switch {
	case err == nil:
	case errors.Is(err, forward.ErrResponseAborted), errors.Is(err, forward.ErrCallerDisconnected):
		// Aborts the connection, so that the caller cannot mistake a part of the
		// response for the complete response.
		panic(http.ErrAbortHandler)
	default:
		if ticket != "" {
			w.Header().Set(HeaderTicket, ticket)
		}
		if result.CodeOf(err) == result.Stopping {
			w.Header().Set("Connection", "close")
		}
		writeError(w, id, err)
	}
}

// forwardRequest authenticates and checks the request and forwards it. It returns the
// ticket of the request if there is one.
func (s *Server) forwardRequest(r *http.Request, resp *responder, id, service, target string) (ticket string, err error) {
	if s.refusing.Load() {
		return "", stoppingError()
	}
	caller, err := s.auth.Authenticate(r.Header.Get("Authorization"))
	if err != nil {
		return "", err
	}
	req, timeout, err := s.parseRequest(r, caller)
	if err != nil {
		return "", err
	}
	req.ID, req.Service, req.Target = id, service, target
	stripe, err := req.Team.Begin()
	if err != nil {
		return "", err
	}
	defer req.Team.End(stripe)
	req.Stripe = stripe
	connlimit.SetBodyTimeout(r.Context(), timeout+bodyGrace)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	return s.Forwarder.Do(ctx, req, resp)
}

// parseRequest returns the request to forward, without its ID, Service, Target and
// Stripe, and its timeout.
func (s *Server) parseRequest(r *http.Request, caller auth.Identity) (*forward.Request, time.Duration, error) {
	team, err := s.actingTeam(r, caller)
	if err != nil {
		return nil, 0, err
	}
	timeout, err := s.parseTimeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, 0, err
	}
	idempotent, set, err := parseBoolHeader(r.Header, HeaderIdempotent)
	if err != nil {
		return nil, 0, err
	}
	if !set {
		idempotent = isIdempotentMethod(r.Method)
	}
	header, err := forwardedHeader(r)
	if err != nil {
		return nil, 0, err
	}
	ticket := r.Header.Get(HeaderTicket)
	if ticket != "" {
		if _, err := wire.ParseTicket(ticket); err != nil {
			return nil, 0, err
		}
		idempotent = false
	}
	return &forward.Request{
		Team:         team,
		Method:       r.Method,
		Header:       header,
		Idempotent:   idempotent,
		Ticket:       ticket,
		Body:         r.Body,
		BodyBytes:    r.ContentLength,
		MaxBodyBytes: s.maxBodyBytes(),
		BeforeSend:   func() error { return connlimit.Keep(r.Context()) },
	}, timeout, nil
}

// isIdempotentMethod returns the default of HeaderIdempotent for the method. It is true
// for the idempotent methods of RFC 9110 except TRACE.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (s *Server) maxBodyBytes() int64 {
	if n := s.limits.Load().MaxBodyBytes; n > 0 {
		return n
	}
	return defaultMaxBodyBytes
}

// parseTimeout returns the timeout for the value of HeaderTimeout, which is in
// milliseconds. An empty value means the default. A value above the maximum is
// refused.
func (s *Server) parseTimeout(text string) (time.Duration, error) {
	l := s.limits.Load()
	longest := maxTimeout
	if ms := time.Duration(l.MaxTimeoutMS) * time.Millisecond; ms > 0 && ms < longest {
		longest = ms
	}
	if text == "" {
		t := defaultTimeout
		if ms := time.Duration(l.DefaultTimeoutMS) * time.Millisecond; ms > 0 {
			t = ms
		}
		return min(t, longest), nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 || time.Duration(ms)*time.Millisecond > longest {
		return 0, result.Errorf(result.BadRequest, "the header %s is %.40q and must be a whole number of milliseconds from 1 to %d", HeaderTimeout, text, longest.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// notForwarded holds the names of the header fields that are not passed on: those
// that belong to one connection (RFC 9110, section 7.6.1), and the bearer token, which
// is for this gateway only.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
}

// forwardedHeader returns the header fields that are passed on to the backend server.
func forwardedHeader(r *http.Request) ([]wire.HeaderField, error) {
	named := fieldsNamedByConnection(r.Header)
	fields := make([]wire.HeaderField, 0, min(len(r.Header), maxHeaderFields)+1)
	count := 0
	for name, values := range r.Header {
		if notForwarded[name] || strings.HasPrefix(name, headerPrefix) || named[name] {
			continue
		}
		if count += len(values); count > maxHeaderFields {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.HeaderField{Name: name, Value: v})
		}
	}
	if count > maxHeaderFields {
		return nil, result.Errorf(result.BadRequest, "the request has %d header fields and may have at most %d", count, maxHeaderFields)
	}
	if r.Host != "" {
		fields = append(fields, wire.HeaderField{Name: "X-Forwarded-Host", Value: r.Host})
	}
	return fields, nil
}

// fieldsNamedByConnection returns the names of the fields that the Connection field
// lists.
func fieldsNamedByConnection(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

var responders = sync.Pool{New: func() any { return new(responder) }}

// responder writes the answer of a worker to the caller.
type responder struct {
	w      http.ResponseWriter
	method string
	id     string
	ticket string
}

func newResponder(w http.ResponseWriter, method, id string) *responder {
	r := responders.Get().(*responder)
	*r = responder{w: w, method: method, id: id}
	return r
}

// SendTicket implements forward.Responder. It sends the ticket in a response 103 (Early
// Hints).
func (r *responder) SendTicket(ticket string) error {
	r.ticket = ticket
	r.w.Header().Set(HeaderTicket, ticket)
	r.w.WriteHeader(http.StatusEarlyHints)
	return nil
}

// SendHead implements forward.Responder.
func (r *responder) SendHead(h *wire.ResponseHead) error {
	out := r.w.Header()
	for _, f := range h.Header {
		if !notForwarded[f.Name] && !strings.HasPrefix(f.Name, headerPrefix) {
			out.Add(f.Name, f.Value)
		}
	}
	if h.BodyBytes >= 0 && statusAllowsBody(h.Status) {
		out.Set("Content-Length", strconv.FormatInt(h.BodyBytes, 10))
	}
	out.Set(HeaderRequestID, r.id)
	if r.ticket != "" {
		out.Set(HeaderTicket, r.ticket)
	}
	r.w.WriteHeader(h.Status)
	return nil
}

func statusAllowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Write implements io.Writer.
func (r *responder) Write(p []byte) (int, error) {
	if r.method == http.MethodHead {
		return len(p), nil
	}
	return r.w.Write(p)
}

// Flush implements forward.Responder.
func (r *responder) Flush() {
	_ = http.NewResponseController(r.w).Flush()
}

// issueTicket serves POST /v1/services/{service}/tickets.
func (s *Server) issueTicket(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	team, err := s.actingTeam(r, caller)
	if err != nil {
		return err
	}
	if err := connlimit.Keep(r.Context()); err != nil {
		return err
	}
	reply, err := s.Forwarder.IssueTicket(r.Context(), team.ID, r.PathValue("service"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusCreated, map[string]any{"ticket": reply.Ticket, "lifetime_ms": reply.LifetimeMS})
	return nil
}

// queryTicket serves GET /v1/tickets/{worker}/{incarnation}/{sequence}.
func (s *Server) queryTicket(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	team, err := s.actingTeam(r, caller)
	if err != nil {
		return err
	}
	text := r.PathValue("worker") + "/" + r.PathValue("incarnation") + "/" + r.PathValue("sequence")
	ticket, err := wire.ParseTicket(text)
	if err != nil {
		return err
	}
	timeout, err := s.parseTimeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	resp := newResponder(w, r.Method, s.ids.newID())
	defer responders.Put(resp)
	w.Header().Set(HeaderTicket, ticket.String())
	return s.Forwarder.QueryTicket(ctx, team.ID, ticket, resp)
}
