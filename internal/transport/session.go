package transport

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/quic-go/quic-go"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Periodic calls share one long-lived stream of a connection, the session. A
// stream per call would cost two more packets: after each stream the peer raises
// the stream limit, and that frame is acknowledged.

// kindSession opens a session: a sequence of unary calls, each preceded by its
// kind byte and answered before the next one starts.
const kindSession wire.Kind = 255

// usesSession reports whether calls of the kind use the session.
func usesSession(kind wire.Kind) bool {
	return kind == wire.KindHeartbeat || kind == wire.KindPeerUpdate
}

// session is the client side of a session. mu serializes its calls.
type session struct {
	mu     sync.Mutex
	conn   *quic.Conn
	stream *Stream
}

// callInSession performs a unary call on the session of the first connection to
// addr. ok is false, and the call was not sent, if the session is in use by
// another call; the caller then opens a stream for this call. Errors are of type
// *result.Error, from the peer, or *CallError.
func (p *Pool) callInSession(ctx context.Context, addr string, kind wire.Kind, msg, reply any) (ok bool, err error) {
	pr := p.beginCall(addr)
	defer pr.endCall()
	pc := pr.pooledConn(0)
	defer pc.endCall()
	s := &pc.session
	if !s.mu.TryLock() {
		return false, nil
	}
	defer s.mu.Unlock()
	if err := pc.openSession(ctx, p, addr); err != nil {
		return true, &CallError{Address: addr, Err: err}
	}
	err = s.call(ctx, kind, msg, reply)
	var re *result.Error
	if err == nil || errors.As(err, &re) {
		return true, err
	}
	s.stream.Abort()
	s.stream = nil
	return true, &CallError{Address: addr, Sent: true, Err: err}
}

// openSession opens the session stream unless it is open on the current
// connection.
func (pc *pooledConn) openSession(ctx context.Context, p *Pool, addr string) error {
	c, err := pc.openConn(ctx, p, addr)
	if err != nil {
		return err
	}
	s := &pc.session
	if s.stream != nil && s.conn == c {
		return nil
	}
	qs, err := c.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	s.conn, s.stream = c, newStream(qs)
	return s.stream.bw.WriteByte(byte(kindSession))
}

// call performs one unary call on the open session. After an error other than a
// *result.Error of the peer the stream must not be used again.
func (s *session) call(ctx context.Context, kind wire.Kind, msg, reply any) error {
	if err := s.stream.bw.WriteByte(byte(kind)); err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	if err := s.stream.SetDeadline(deadline); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.stream.Abort)
	err := s.stream.Send(msg)
	if err == nil {
		err = s.stream.Receive(reply)
	}
	if !stop() && err == nil {
		return ctx.Err() // ctx ended after the reply; the stream may be aborted
	}
	return err
}

// serveSession serves the calls of a session until the peer ends it.
func (s *Server) serveSession(ctx context.Context, st *Stream) {
	defer st.Abort()
	for {
		kind, err := st.br.ReadByte()
		if err != nil || !usesSession(wire.Kind(kind)) {
			return
		}
		if !s.serveSessionCall(ctx, wire.Kind(kind), st) {
			return
		}
	}
}

// serveSessionCall serves one call of a session and reports whether the session
// can continue.
func (s *Server) serveSessionCall(ctx context.Context, kind wire.Kind, st *Stream) bool {
	s.activeCalls.Add(1)
	defer s.activeCalls.Add(-1)
	err := s.serveCall(ctx, kind, st)
	var re *result.Error
	switch {
	case err == nil:
		return true
	case errors.As(err, &re):
		return st.SendFault(re) == nil
	case !errors.Is(err, io.EOF):
		s.logFailedCall(kind, err)
	}
	return false
}
