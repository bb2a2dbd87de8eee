package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"snipegw/internal/result"
)

type connKey struct{}

// Serve serves ln with s like http.Server.Serve, within the limits of l. The name of the server is that in reports. A
// body must arrive within bodyTimeout from its header on, which SetBodyTimeout changes for one request.
func (l *Limiter) Serve(s *http.Server, ln net.Listener, name string, bodyTimeout time.Duration) error {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(handler, bodyTimeout, w, r) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.setIdle()
		}
	}
	return s.Serve(&listener{Listener: ln, limiter: l, server: name})
}

type listener struct {
	net.Listener
	limiter *Limiter
	server  string
}

// Accept implements net.Listener.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		raw, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := ln.limiter.admit(raw, ln.server); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// serve calls the handler for a request whose header has arrived.
func serve(handler http.Handler, bodyTimeout time.Duration, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		handler.ServeHTTP(w, r)
		return
	}
	c.phase.CompareAndSwap(idlePhase, receivingHeader) // the header was read with the former request
	if r.Body == nil || r.Body == http.NoBody {
		if !c.keep(receivingHeader) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c.cancel.Store(&cancel)
	defer c.cancel.Store(nil)
	if !c.phase.CompareAndSwap(receivingHeader, receivingBody) {
		panic(http.ErrAbortHandler) // refused
	}
	SetBodyTimeout(ctx, bodyTimeout)
	b := &body{ReadCloser: r.Body, conn: c, request: r}
	r = r.WithContext(ctx)
	r.Body = b
	handler.ServeHTTP(w, r)
	if b.ended.Load() || c.phase.CompareAndSwap(receivingBody, bodyLeft) {
		return
	}
	// The server reads the rest of the body before it sends the response. If the rest is refused, it sends it at once.
	if c.phase.CompareAndSwap(inProgress, bodyLeft) {
		c.unreserve()
	}
}

// errRefused is the error of a request that is refused for the memory that it holds.
var errRefused = result.Errorf(result.Overloaded, "clients hold too much memory, and this request would add most to it; send it again later")

// body counts what the handler reads.
type body struct {
	io.ReadCloser
	conn    *conn
	request *http.Request // as package http has made it
	ended   atomic.Bool
}

// Read implements io.Reader. Its errors that have a code say that the request has not run, as long as Keep has not been
// called.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.conn.phase.Load() == receivingBody {
		b.conn.hold(int64(n) * bodyByte)
	}
	if err == io.EOF {
		b.request.Trailer = nil // up to 4 kB of lines that nothing reads and that are not counted
	}
	ended := err == io.EOF && b.conn.keep(receivingBody)
	if p := b.conn.phase.Load(); p == refused || p == closed {
		return n, errRefused
	}
	if ended {
		b.ended.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = result.Errorf(result.DeadlineNotRun, "the body has not arrived within the time limit: %w", err)
	}
	return n, err
}

// Keep must be called before the request of ctx is passed on: it protects the request from being refused, and ends the count
// of its body, which is no longer held. It fails with code Overloaded if the request has been refused.
func Keep(ctx context.Context) error {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && !c.keep(receivingBody) {
		return errRefused
	}
	return nil
}

// SetBodyTimeout sets the time, from now on, within which the rest of the body of the request of ctx must arrive, also if the
// handler doesn't read it: the server does, before it sends the response or reads the next request. Reads of a later rest fail
// with code DeadlineNotRun. Package http removes the deadline at the end of the body.
func SetBodyTimeout(ctx context.Context, timeout time.Duration) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && c.phase.Load() == receivingBody {
		_ = c.SetReadDeadline(time.Now().Add(timeout))
		if c.phase.Load() == refused {
			_ = c.SetReadDeadline(past) // refuse may have set it before
		}
	}
}
