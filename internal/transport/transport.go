// Package transport carries calls between the processes of snipegw with mutual
// TLS 1.3 and framed CBOR messages and bodies: requests over pooled TCP
// connections, one call at a time on each, all other calls over QUIC with one
// stream per call.
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	tcp     *tcpServer
}

// Listen opens addr (UDP, and TCP for requests) and serves calls until Close.
func Listen(addr string, creds *Credentials, h Handler) (*Server, error) {
	udp, tcp, err := listenBoth(addr)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	tr := &quic.Transport{Conn: udp, StatelessResetKey: creds.resetKey()}
	ln, err := tr.Listen(creds.serverConfig(), quicConfig())
	if err != nil {
		_ = udp.Close()
		_ = tcp.Close()
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{handler: h, udp: udp, tr: tr, ln: ln, cancel: cancel, streams: make(chan *quic.Stream)}
	s.tcp = newTCPServer(tcp, creds)
	go s.accept(ctx)
	go s.acceptTCP(ctx)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.udp.LocalAddr().String() }

// Active returns the number of calls in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Close ends all connections at once.
func (s *Server) Close() error {
	s.cancel()
	err := errors.Join(s.tcp.close(), s.ln.Close(), s.tr.Close())
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
	st := newStream(qs)
	defer st.release()
	kind, err := st.br.ReadByte()
	if err != nil {
		st.Abort()
		return
	}
	if wire.Kind(kind) == kindSession {
		s.serveSession(ctx, st)
		return
	}
	s.active.Add(1)
	defer s.active.Add(-1)
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
		s.logFailed(kind, err)
	}
	st.breakOff()
}

func (s *Server) logFailed(kind wire.Kind, err error) {
	log.WithFields(log.Fields{"event": "call_failed", "kind": int(kind), "code": int(result.CodeOf(err)), "error": err.Error()}).Debug("call failed")
}
