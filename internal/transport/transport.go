// Package transport carries calls between the processes of snipegw: QUIC with
// mutual TLS 1.3, one stream per call, framed CBOR messages and bodies.
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/quic-go/quic-go"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// maxIdle ends a connection on which the peer sends nothing. It bounds the
	// time in which a dead peer is noticed by calls without a deadline.
	maxIdle = 4 * time.Second
	// keepAlive keeps a connection open while it is in the pool.
	keepAlive = 1500 * time.Millisecond
	// maxStreams bounds the concurrent calls of one connection.
	maxStreams = 4096
	// streamWindowBytes is the initial flow control window of a stream.
	streamWindowBytes = 64 << 10
	// connWindowBytes is the initial flow control window of a connection.
	connWindowBytes = 256 << 10
	// PoolIdle closes a pooled connection without calls.
	PoolIdle = 30 * time.Second
	// dialTimeout bounds a handshake.
	dialTimeout = 1 * time.Second
	// maxIdleWorkers bounds the goroutines that wait for the next stream.
	maxIdleWorkers = 64
)

const closeNormal quic.ApplicationErrorCode = 0

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 maxIdle,
		KeepAlivePeriod:                keepAlive,
		HandshakeIdleTimeout:           dialTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     8 << 20,
		MaxStreamReceiveWindow:         2 << 20,
		// Path MTU discovery sends probes on every connection; paths between
		// hosts of one platform carry the default packet size.
		DisablePathMTUDiscovery: true,
	}
}

// Handler serves one call. Kind has been read; the handler reads the message
// that belongs to it. An error is sent to the peer as a fault if nothing has
// been sent yet. The stream is closed after the handler returns.
type Handler interface {
	ServeCall(ctx context.Context, kind wire.Kind, s *Stream) error
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, kind wire.Kind, s *Stream) error

// ServeCall implements Handler.
func (f HandlerFunc) ServeCall(ctx context.Context, kind wire.Kind, s *Stream) error {
	return f(ctx, kind, s)
}

// Server accepts calls.
type Server struct {
	handler Handler
	udp     *net.UDPConn
	tr      *quic.Transport
	ln      *quic.Listener
	cancel  context.CancelFunc
	active  atomic.Int64
	idle    atomic.Int64
	streams chan *quic.Stream // to an idle goroutine
	tracker tracker
}

// Listen opens addr (UDP) and serves calls until Close.
func Listen(addr string, creds *Credentials, h Handler) (*Server, error) {
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	udp, err := net.ListenUDP("udp", ua)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	tr := &quic.Transport{Conn: udp, StatelessResetKey: creds.resetKey()}
	ln, err := tr.Listen(creds.serverConfig(), quicConfig())
	if err != nil {
		_ = udp.Close()
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{handler: h, udp: udp, tr: tr, ln: ln, cancel: cancel, streams: make(chan *quic.Stream)}
	go s.accept(ctx)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.udp.LocalAddr().String() }

// Active returns the number of calls in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Close ends all connections at once.
func (s *Server) Close() error {
	s.cancel()
	err := errors.Join(s.ln.Close(), s.tr.Close())
	return errors.Join(err, s.udp.Close())
}

func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.ln.Accept(ctx)
		if err != nil {
			return
		}
		s.tracker.watch(conn)
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	for {
		qs, err := conn.AcceptStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(closeNormal, "")
			return
		}
		select {
		case s.streams <- qs:
		default:
			go s.work(ctx, qs)
		}
	}
}

// work serves a stream and then, while few goroutines are idle, those that come
// next. A new goroutine for each stream spends 6% of the processor time of a
// request on growing its stack.
func (s *Server) work(ctx context.Context, qs *quic.Stream) {
	for {
		s.serveStream(ctx, qs)
		if s.idle.Add(1) > maxIdleWorkers {
			s.idle.Add(-1)
			return
		}
		select {
		case qs = <-s.streams:
			s.idle.Add(-1)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) serveStream(ctx context.Context, qs *quic.Stream) {
	s.active.Add(1)
	defer s.active.Add(-1)
	st := newStream(qs)
	defer st.release()
	kind, err := st.br.ReadByte()
	if err != nil {
		st.Abort()
		return
	}
	if err := s.handler.ServeCall(ctx, wire.Kind(kind), st); err != nil {
		s.fail(st, wire.Kind(kind), err)
		return
	}
	_ = st.Close()
}

func (s *Server) fail(st *Stream, kind wire.Kind, err error) {
	var re *result.Error
	if errors.As(err, &re) {
		_ = st.SendFault(re)
		_ = st.Close()
		return
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		log.WithFields(log.Fields{"event": "call_failed", "kind": int(kind), "code": int(result.CodeOf(err)), "error": err.Error()}).Debug("call failed")
	}
	st.breakOff()
}

// Pool opens calls to peers. It holds at most one connection per address, dials
// on demand, and closes connections that had no call for PoolIdle. It is safe
// for concurrent use.
type Pool struct {
	creds *Credentials
	udp   *net.UDPConn
	tr    *quic.Transport
	conns sync.Map // address -> *pooled
	stop  context.CancelFunc

	tracker tracker
}

type pooled struct {
	mu   sync.Mutex // serialises dialing
	conn atomic.Pointer[quic.Conn]
	used atomic.Int64 // Unix nanoseconds of the latest call
	busy atomic.Int64 // calls in progress
}

// NewPool returns a Pool whose connections share one UDP socket bound to local
// (for example "0.0.0.0:0").
func NewPool(local string, creds *Credentials) (*Pool, error) {
	ua, err := net.ResolveUDPAddr("udp", local)
	if err != nil {
		return nil, fmt.Errorf("pool address %s: %w", local, err)
	}
	udp, err := net.ListenUDP("udp", ua)
	if err != nil {
		return nil, fmt.Errorf("pool address %s: %w", local, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{creds: creds, udp: udp, tr: &quic.Transport{Conn: udp}, stop: cancel}
	go p.closeIdle(ctx)
	return p, nil
}

// Close ends all connections.
func (p *Pool) Close() error {
	p.stop()
	return errors.Join(p.tr.Close(), p.udp.Close())
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	n := 0
	p.conns.Range(func(_, v any) bool {
		if v.(*pooled).conn.Load() != nil {
			n++
		}
		return true
	})
	return n
}

// Forget closes the connection to addr, for a peer that is known to be gone.
func (p *Pool) Forget(addr string) {
	if v, ok := p.conns.LoadAndDelete(addr); ok {
		if c := v.(*pooled).conn.Load(); c != nil {
			_ = c.CloseWithError(closeNormal, "")
		}
	}
}

func (p *Pool) closeIdle(ctx context.Context) {
	t := time.NewTicker(PoolIdle / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.conns.Range(func(k, v any) bool {
				e := v.(*pooled)
				if e.busy.Load() == 0 && now.UnixNano()-e.used.Load() > int64(PoolIdle) {
					p.Forget(k.(string))
				}
				return true
			})
		}
	}
}

func (p *Pool) entry(addr string) *pooled {
	if v, ok := p.conns.Load(addr); ok {
		return v.(*pooled)
	}
	v, _ := p.conns.LoadOrStore(addr, &pooled{})
	return v.(*pooled)
}

func (p *Pool) connection(ctx context.Context, addr string, e *pooled) (*quic.Conn, error) {
	if c := e.conn.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.conn.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.tr.Dial(ctx, ua, p.creds.clientConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	p.tracker.watch(c)
	e.conn.Store(c)
	return c, nil
}

// Open begins a call of the given kind and buffers msg as its first message;
// it goes out with the first flush (Send, BodyWriter.Close, CloseWrite). Errors
// are *CallError. The caller ends the call with done, when no other goroutine
// reads from the stream any more.
func (p *Pool) Open(ctx context.Context, addr string, kind wire.Kind, msg any) (s *Stream, done func(), err error) {
	e := p.entry(addr)
	e.busy.Add(1)
	e.used.Store(time.Now().UnixNano())
	s, err = p.openStream(ctx, addr, e, kind, msg)
	if err != nil {
		e.busy.Add(-1)
		return nil, nil, &CallError{Address: addr, Err: err}
	}
	done = func() {
		s.release()
		e.busy.Add(-1)
	}
	return s, done, nil
}

func (p *Pool) openStream(ctx context.Context, addr string, e *pooled, kind wire.Kind, msg any) (*Stream, error) {
	c, err := p.connection(ctx, addr, e)
	if err != nil {
		return nil, err
	}
	qs, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	s := newStream(qs)
	if deadline, ok := ctx.Deadline(); ok {
		_ = qs.SetDeadline(deadline)
	}
	if err := s.bw.WriteByte(byte(kind)); err != nil {
		return nil, err
	}
	if err := s.SendBuffered(msg); err != nil {
		s.Abort()
		return nil, err
	}
	return s, nil
}

// Call sends msg and decodes the one reply into reply. It returns a
// *result.Error that the peer sent, or a *CallError. Bound it with ctx.
func (p *Pool) Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error {
	s, done, err := p.Open(ctx, addr, kind, msg)
	if err != nil {
		return err
	}
	defer done()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.CloseWrite(); err != nil {
		s.Abort()
		return &CallError{Address: addr, Sent: true, Err: err}
	}
	if err := s.Receive(reply); err != nil {
		s.qs.CancelRead(resetAborted)
		var re *result.Error
		if errors.As(err, &re) {
			return re
		}
		return &CallError{Address: addr, Sent: true, Err: err}
	}
	s.qs.CancelRead(resetAborted)
	return nil
}
