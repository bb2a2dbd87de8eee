// Package transport implements calls between the processes of snipegw, with mutual
// TLS 1.3 and framed CBOR messages and bodies. Requests use pooled TCP connections,
// one call at a time per connection. All other calls use QUIC, with one stream per
// call or, for periodic calls, one shared stream per connection.
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

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// quicIdleTimeout is the timeout after which a QUIC connection is closed if
	// the peer sends nothing. Calls without a deadline to a dead peer fail
	// after that time.
	quicIdleTimeout = 4 * time.Second
	// quicKeepAliveInterval is the interval of the packets that keep a pooled
	// QUIC connection open.
	quicKeepAliveInterval = 1500 * time.Millisecond
	// maxStreamsPerConn limits the concurrent calls of one QUIC connection.
	maxStreamsPerConn = 4096
	// streamWindowBytes is the initial flow control window of a stream.
	streamWindowBytes = 64 << 10
	// connWindowBytes is the initial flow control window of a connection.
	connWindowBytes = 256 << 10
	// PoolIdleTimeout is the time without calls after which a pooled connection
	// is closed.
	PoolIdleTimeout = 30 * time.Second
	// handshakeTimeout is the timeout of a QUIC handshake, and of a TLS handshake on
	// the server.
	handshakeTimeout = 1 * time.Second
	// maxIdleGoroutines limits the server goroutines that wait for another stream.
	maxIdleGoroutines = 64
)

// closeNormal is the error code of a connection that is closed without an error.
const closeNormal quic.ApplicationErrorCode = 0

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 quicIdleTimeout,
		KeepAlivePeriod:                quicKeepAliveInterval,
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIncomingStreams:             maxStreamsPerConn,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     8 << 20,
		MaxStreamReceiveWindow:         2 << 20,
		// Path MTU discovery sends probe packets on every connection. It is not
		// needed, since paths between hosts of one platform carry the default
		// packet size.
		DisablePathMTUDiscovery: true,
	}
}

// Handler serves calls. The handler reads the messages of the call from s, without
// the kind byte, which the server has read. If the handler returns a *result.Error,
// it is sent to the peer as a fault; any other error ends the call so that the peer
// sees a truncated response. The stream is closed after the handler returns, except
// in a session, where it carries the next call.
type Handler interface {
	ServeCall(ctx context.Context, kind wire.Kind, s *Stream) error
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, kind wire.Kind, s *Stream) error

// ServeCall implements Handler.
func (f HandlerFunc) ServeCall(ctx context.Context, kind wire.Kind, s *Stream) error {
	return f(ctx, kind, s)
}

// Server accepts connections and serves calls.
type Server struct {
	handler        Handler
	udp            *net.UDPConn
	quicTransport  *quic.Transport
	quicListener   *quic.Listener
	cancel         context.CancelFunc
	activeCalls    atomic.Int64
	idleGoroutines atomic.Int64
	streams        chan *quic.Stream // hands streams to idle goroutines
	connTracker    connTracker
	tcp            *tcpServer
}

// Listen listens on addr for UDP, and for TCP with the same port, and serves calls
// with h until Close.
func Listen(addr string, creds *Credentials, h Handler) (*Server, error) {
	udp, tcp, err := listenBoth(addr)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	quicTransport := &quic.Transport{Conn: udp, StatelessResetKey: creds.resetKey()}
	quicListener, err := quicTransport.Listen(creds.serverConfig(), quicConfig())
	if err != nil {
		_ = udp.Close()
		_ = tcp.Close()
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{handler: h, udp: udp, quicTransport: quicTransport, quicListener: quicListener, cancel: cancel, streams: make(chan *quic.Stream)}
	s.tcp = newTCPServer(tcp, creds)
	go s.acceptQUIC(ctx)
	go s.acceptTCP(ctx)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.udp.LocalAddr().String() }

// Active returns the number of calls in progress.
func (s *Server) Active() int64 { return s.activeCalls.Load() }

// Close closes all connections immediately.
func (s *Server) Close() error {
	s.cancel()
	err := errors.Join(s.tcp.close(), s.quicListener.Close(), s.quicTransport.Close())
	return errors.Join(err, s.udp.Close())
}

func (s *Server) acceptQUIC(ctx context.Context) {
	for {
		conn, err := s.quicListener.Accept(ctx)
		if err != nil {
			return
		}
		s.connTracker.track(conn)
		go s.serveQUIC(ctx, conn)
	}
}

func (s *Server) serveQUIC(ctx context.Context, conn *quic.Conn) {
	for {
		qs, err := conn.AcceptStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(closeNormal, "")
			return
		}
		select {
		case s.streams <- qs:
		default:
			go s.serveStreams(ctx, qs)
		}
	}
}

// serveStreams serves a stream and, unless maxIdleGoroutines goroutines are
// already idle, waits for further ones. With a new goroutine for each stream,
// growing its stack takes 6% of the processor time of a request.
func (s *Server) serveStreams(ctx context.Context, qs *quic.Stream) {
	for {
		s.serveStream(ctx, qs)
		if s.idleGoroutines.Add(1) > maxIdleGoroutines {
			s.idleGoroutines.Add(-1)
			return
		}
		select {
		case qs = <-s.streams:
			s.idleGoroutines.Add(-1)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) serveStream(ctx context.Context, qs *quic.Stream) {
	st := newStream(qs)
	defer st.releaseBuffers()
	kind, err := st.br.ReadByte()
	if err != nil {
		st.Abort()
		return
	}
	if wire.Kind(kind) == kindSession {
		s.serveSession(ctx, st)
		return
	}
	s.activeCalls.Add(1)
	defer s.activeCalls.Add(-1)
	if err := s.serveCall(ctx, wire.Kind(kind), st); err != nil {
		s.endFailedCall(st, wire.Kind(kind), err)
		return
	}
	_ = st.Close()
}

// serveCall passes a call to the handler. A panic of the handler fails this call with
// code Internal, which leaves its outcome open, and not the process.
func (s *Server) serveCall(ctx context.Context, kind wire.Kind, st *Stream) (err error) {
	defer func() {
		if r := recover(); r != nil {
			kernel.LogPanic("call", r, log.Fields{"kind": int(kind)})
			err = result.Errorf(result.Internal, "the handler of calls of kind %d failed", kind)
		}
	}()
	return s.handler.ServeCall(ctx, kind, st)
}

// endFailedCall ends a call whose handler returned err. An error with a result
// code is sent to the peer as a fault; any other truncates the response.
func (s *Server) endFailedCall(st *Stream, kind wire.Kind, err error) {
	var re *result.Error
	if errors.As(err, &re) {
		_ = st.SendFault(re)
		_ = st.Close()
		return
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		s.logFailedCall(kind, err)
	}
	st.endTruncated()
}

func (s *Server) logFailedCall(kind wire.Kind, err error) {
	log.WithFields(log.Fields{"event": "call_failed", "kind": int(kind), "code": int(result.CodeOf(err)), "error": err.Error()}).Debug("call handler failed, the caller receives no complete response")
}
