package transport

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/wire"
)

const (
	// maxTCP bounds the TCP connections to one address; further calls use QUIC.
	// 64 in place of 16 gave no more requests per second with 60 callers.
	maxTCP = 16
	// tcpDialTimeout bounds connecting and the TLS handshake.
	tcpDialTimeout = 500 * time.Millisecond
	// tcpRetry is the time after a failed dial in which calls use QUIC.
	tcpRetry = 10 * time.Second
	// checkAfter is the idle time after which a connection is checked before its
	// use; the peer may have been restarted. Under load the check is not needed.
	checkAfter = 100 * time.Millisecond
)

// tcpPeer holds the TCP connections to one address. Calls take no lock; dialing
// and closing a connection does.
type tcpPeer struct {
	idle  atomic.Pointer[idleNode]
	count atomic.Int32 // open or being dialed
	down  atomic.Int64 // Unix nanoseconds until which calls use QUIC

	mu   sync.Mutex
	open map[*tcpConn]struct{}
}

// idleNode is an element of the stack of idle connections. It is never used
// again, so that a compare-and-swap of the top cannot meet an older state.
type idleNode struct {
	conn  *tcpConn
	since time.Time
	next  *idleNode
}

func (e *tcpPeer) push(n *idleNode) {
	for {
		n.next = e.idle.Load()
		if e.idle.CompareAndSwap(n.next, n) {
			return
		}
	}
}

func (e *tcpPeer) pop() *tcpConn {
	for {
		n := e.idle.Load()
		if n == nil {
			return nil
		}
		if !e.idle.CompareAndSwap(n, n.next) {
			continue
		}
		if n.conn.ctx.Err() != nil {
			continue
		}
		if time.Since(n.since) > checkAfter && n.conn.endedByPeer() {
			n.conn.close()
			continue
		}
		return n.conn
	}
}

// connection returns an idle or a new connection. It returns nil without an error if the call has to use
// QUIC.
func (e *tcpPeer) connection(ctx context.Context, creds *Credentials, addr string) (*tcpConn, error) {
	if c := e.pop(); c != nil {
		return c, nil
	}
	if time.Now().UnixNano() < e.down.Load() {
		return nil, nil
	}
	if e.count.Add(1) > maxTCP {
		e.count.Add(-1)
		return nil, nil
	}
	c, err := e.dial(ctx, creds, addr)
	if err == nil {
		return c, nil
	}
	e.count.Add(-1)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	e.down.Store(time.Now().Add(tcpRetry).UnixNano())
	return nil, nil
}

func (e *tcpPeer) dial(ctx context.Context, creds *Credentials, addr string) (*tcpConn, error) {
	ctx, cancel := context.WithTimeout(ctx, tcpDialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAliveConfig()}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	t := tls.Client(raw, creds.clientConfig())
	if err := t.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	c := newTCPConn(raw.(*net.TCPConn), t, e.closed)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil {
		e.open = make(map[*tcpConn]struct{})
	}
	e.open[c] = struct{}{}
	return c, nil
}

// closed removes a connection that was closed.
func (e *tcpPeer) closed(c *tcpConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, c)
	e.count.Add(-1)
}

// begin opens a call and buffers msg as its first message. A nil stream without
// an error says that the call has to use QUIC.
func (e *tcpPeer) begin(ctx context.Context, creds *Credentials, addr string, msg any) (*Stream, error) {
	c, err := e.connection(ctx, creds, addr)
	if c == nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = c.raw.SetDeadline(deadline)
	c.received, c.lost = false, false
	s := newTCPStream(c, false)
	if err := c.bw.WriteByte(byte(wire.KindRequest)); err != nil {
		s.Abort()
		return nil, err
	}
	if err := s.SendBuffered(msg); err != nil {
		s.Abort()
		return nil, err
	}
	return s, nil
}

// endTCP ends a call: the connection becomes idle, or is closed if it is not
// certain that the next call would start at a frame boundary.
func (e *peer) endTCP(s *Stream) {
	if !s.release() {
		return
	}
	defer e.end()
	if !s.reusable() {
		lost := s.tcp.conn.lost
		s.Abort()
		if lost { // the other idle connections have probably ended as well
			e.tcp.closeIdle(time.Now().Add(2 * PoolIdle))
		}
		return
	}
	if !s.tcp.end() {
		return // aborted
	}
	s.br, s.bw = nil, nil // a use after the end must not reach another call
	e.tcp.push(&idleNode{conn: s.tcp.conn, since: time.Now()})
}

// closeIdle closes connections that were idle for PoolIdle and reports whether
// none is open.
func (e *tcpPeer) closeIdle(now time.Time) bool {
	var keep []*idleNode
	for n := e.idle.Swap(nil); n != nil; n = n.next {
		if now.Sub(n.since) > PoolIdle {
			n.conn.close()
			continue
		}
		keep = append(keep, &idleNode{conn: n.conn, since: n.since})
	}
	for _, n := range slices.Backward(keep) { // the latest used one on top again
		e.push(n)
	}
	return e.count.Load() == 0
}

// closeAll closes all connections, also those with a call in progress.
func (e *tcpPeer) closeAll() {
	e.idle.Store(nil)
	e.mu.Lock()
	var all []*tcpConn
	for c := range e.open {
		all = append(all, c)
	}
	e.mu.Unlock()
	for _, c := range all {
		c.close()
	}
}
