package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"snipegw/internal/agent/tickets"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// harness is a gate behind a transport server and a client pool that calls it.
type harness struct {
	gate    *Gate
	tickets *tickets.Store
	offset  atomic.Int64 // nanoseconds by which the gate's clock is ahead
	server  *transport.Server
	pool    *transport.Pool
	ctx     context.Context
	close   func()
}

func newHarness(tb testing.TB) *harness {
	r := &harness{}
	base := time.Now()
	now := func() time.Time { return base.Add(time.Duration(r.offset.Load())) }
	if _, bench := tb.(*testing.B); bench {
		now = time.Now
	}
	r.tickets = tickets.NewStore("w1", "inc", now)
	r.gate = New(r.tickets, now, func() {})
	creds, err := transport.NewCredentials(transport.Security{Mode: transport.ModeDevelopment})
	requireNoError(tb, err)
	mux := new(transport.Mux)
	mux.Handle(wire.KindRequest, transport.HandlerFunc(func(ctx context.Context, _ wire.Kind, s *transport.Stream) error {
		return r.gate.ServeRequest(ctx, s)
	}))
	mux.Handle(wire.KindTicketQuery, transport.HandlerFunc(func(ctx context.Context, _ wire.Kind, s *transport.Stream) error {
		return r.gate.ServeTicketQuery(ctx, s)
	}))
	r.server, err = transport.Listen("127.0.0.1:0", creds, mux)
	requireNoError(tb, err)
	r.pool, err = transport.NewPool("127.0.0.1:0", creds)
	requireNoError(tb, err)
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
	r.close = func() {
		cancel()
		_ = r.pool.Close()
		_ = r.server.Close()
	}
	return r
}

func requireNoError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

func (r *harness) advanceClock(d time.Duration) { r.offset.Add(int64(d)) }

// streamResult is everything received on a request or query stream.
type streamResult struct {
	admission wire.Admission
	head      wire.ResponseHead
	body      string
	err       error // the stream broke
}

// newHead returns a request head with defaults for the empty fields.
func newHead(h wire.RequestHead, body string) *wire.RequestHead {
	h.Service = "svc"
	if h.Team == "" {
		h.Team = "red"
	}
	if h.Method == "" {
		h.Method = http.MethodPost
	}
	if h.Target == "" {
		h.Target = "/"
	}
	if h.TimeoutMS == 0 {
		h.TimeoutMS = 10_000
	}
	h.ID = "req-1"
	h.BodyBytes = int64(len(body))
	return &h
}

func (r *harness) open(h wire.RequestHead, body string) *transport.Stream {
	s, _, err := r.pool.Open(r.ctx, r.server.Addr(), wire.KindRequest, newHead(h, body))
	if err != nil {
		panic(err)
	}
	return s
}

func (r *harness) do(h wire.RequestHead, body string) streamResult {
	s := r.open(h, body)
	w := s.BodyWriter(false)
	_, _ = io.WriteString(w, body)
	_ = w.Close()
	_ = s.CloseWrite()
	return receive(s)
}

func receive(s *transport.Stream) streamResult {
	var a streamResult
	if a.err = s.Receive(&a.admission); a.err != nil || a.admission.Fault != nil {
		return a
	}
	if a.err = s.Receive(&a.head); a.err != nil || a.head.Fault != nil {
		return a
	}
	data, err := io.ReadAll(s.Body())
	a.body, a.err = string(data), err
	return a
}

func (r *harness) queryTicket(ticket, team string) streamResult {
	s, done, err := r.pool.Open(r.ctx, r.server.Addr(), wire.KindTicketQuery, &wire.TicketQuery{Ticket: ticket, Team: team})
	if err != nil {
		panic(err)
	}
	defer done()
	_ = s.CloseWrite()
	return receive(s)
}

// backendServer answers with raw bytes, so that a test can end a response anywhere.
type backendServer struct {
	ln           net.Listener
	requestCount atomic.Int32
	reply        atomic.Pointer[replyFunc]
}

// replyFunc returns the bytes of the n-th answer and whether the connection
// stays open after it.
type replyFunc func(n int32, r *http.Request, body string) (raw string, keep bool)

func (b *backendServer) setReply(f replyFunc) { b.reply.Store(&f) }

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newBackendServer(tb testing.TB) *backendServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(tb, err)
	b := &backendServer{ln: ln}
	b.setReply(func(int32, *http.Request, string) (string, bool) { return okReply, true })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backendServer) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		raw, keep := (*b.reply.Load())(b.requestCount.Add(1), req, string(body))
		if _, err := io.Copy(conn, strings.NewReader(raw)); err != nil || !keep {
			return
		}
	}
}

func (b *backendServer) announce(g *Gate, instance string, slots int) {
	err := g.Announce(Announcement{Service: "svc", Address: b.ln.Addr().String(), Slots: slots, Instance: instance})
	if err != nil {
		panic(err)
	}
}
