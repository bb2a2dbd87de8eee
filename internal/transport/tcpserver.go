package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"snipegw/internal/wire"
)

const (
	// maxDrainBytes limits the body of a refused request that is read and discarded
	// so that the connection can be reused.
	maxDrainBytes = 128 << 10
	// maxPortAttempts limits the attempts to find a port that is free for UDP
	// and TCP.
	maxPortAttempts = 50
)

// listenBoth listens on addr for UDP and TCP with the same port. For port 0 it
// tries up to maxPortAttempts ports.
func listenBoth(addr string) (*net.UDPConn, *net.TCPListener, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, nil, err
	}
	for try := 1; ; try++ {
		udp, err := net.ListenUDP("udp", udpAddr)
		if err != nil {
			return nil, nil, err
		}
		local := udp.LocalAddr().(*net.UDPAddr)
		config := net.ListenConfig{KeepAliveConfig: keepAliveConfig()}
		ln, err := config.Listen(context.Background(), "tcp", (&net.TCPAddr{IP: udpAddr.IP, Port: local.Port, Zone: udpAddr.Zone}).String())
		if err == nil {
			return udp, ln.(*net.TCPListener), nil
		}
		_ = udp.Close()
		if udpAddr.Port != 0 || try == maxPortAttempts {
			return nil, nil, err
		}
	}
}

// tcpServer holds the TCP listener of a Server and the connections it accepted.
type tcpServer struct {
	listener *net.TCPListener
	tls      *tls.Config
	mu       sync.Mutex
	open     map[*tcpConn]struct{} // nil after close
}

func newTCPServer(listener *net.TCPListener, creds *Credentials) *tcpServer {
	return &tcpServer{listener: listener, tls: creds.serverConfig(), open: make(map[*tcpConn]struct{})}
}

func (t *tcpServer) close() error {
	err := t.listener.Close()
	t.mu.Lock()
	open := t.open
	t.open = nil
	t.mu.Unlock()
	for c := range open {
		c.close()
	}
	return err
}

// add adds a connection. It returns false after close.
func (t *tcpServer) add(c *tcpConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		return false
	}
	t.open[c] = struct{}{}
	return true
}

func (t *tcpServer) remove(c *tcpConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open != nil {
		delete(t.open, c)
	}
}

func (s *Server) acceptTCP(ctx context.Context) {
	for {
		raw, err := s.tcp.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // for example, out of file descriptors
			continue
		}
		go s.serveTCP(ctx, raw)
	}
}

// serveTCP serves the requests of one TCP connection in sequence.
func (s *Server) serveTCP(ctx context.Context, raw *net.TCPConn) {
	c := newTCPConn(raw, tls.Server(raw, s.tcp.tls), s.tcp.remove)
	defer c.close()
	if !s.tcp.add(c) {
		return
	}
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := c.tls.HandshakeContext(ctx); err != nil {
		return
	}
	for {
		// The client closes an idle connection after PoolIdleTimeout, before
		// this deadline.
		_ = raw.SetDeadline(time.Now().Add(2 * PoolIdleTimeout))
		kind, err := c.br.ReadByte()
		if err != nil || wire.Kind(kind) != wire.KindRequest {
			return
		}
		_ = raw.SetDeadline(time.Time{})
		nextByteRead := s.serveRequest(ctx, c)
		if nextByteRead == nil {
			return
		}
		<-nextByteRead
		if c.ctx.Err() != nil {
			return
		}
	}
}

// serveRequest serves one call. It returns a channel that is closed when the next
// call has started or the peer has closed the connection, or nil if it has closed
// the connection itself. The call counts as active until its response is flushed,
// since Close would truncate it.
func (s *Server) serveRequest(ctx context.Context, c *tcpConn) <-chan struct{} {
	s.activeCalls.Add(1)
	defer s.activeCalls.Add(-1)
	st := newTCPStream(c, true)
	if err := s.serveCall(ctx, wire.KindRequest, st); err != nil {
		s.endFailedCall(st, wire.KindRequest, err)
	} else {
		_ = st.Close()
	}
	if !st.finishServerCall() {
		c.drainAndClose()
		return nil
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(2 * PoolIdleTimeout))
	return st.tcp.nextByteRead
}

// finishServerCall ends a call on the server and reports whether the connection
// can carry another one: the response is a refusal or complete, and the request
// body was read to its end.
func (s *Stream) finishServerCall() bool {
	t := s.tcp
	if t.truncated || t.faultSent || !t.endCall() || t.conn.bw.Flush() != nil {
		return false
	}
	refused := t.messagesSent == 1 && !t.bodyFrameSent
	if !refused && !t.endFrameSent {
		return false
	}
	if s.lastBody == nil {
		_ = t.conn.raw.SetReadDeadline(time.Now().Add(drainTimeout))
		n, err := io.Copy(io.Discard, io.LimitReader(s.Body(), maxDrainBytes+1))
		if err != nil || n > maxDrainBytes {
			return false
		}
	}
	return s.lastBody.complete.Load() // otherwise another goroutine may still be reading the body
}
