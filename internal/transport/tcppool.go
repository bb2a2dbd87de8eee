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
	// maxTCP limits the TCP connections to one address; calls beyond it use QUIC.
	// With 60 callers, 64 connections gave no higher request rate than 16.
	maxTCP = 16
	// tcpDialTimeout is the timeout of connecting including the TLS handshake.
	tcpDialTimeout = 500 * time.Millisecond
	// tcpRetry is the backoff after a failed dial, during which calls use QUIC.
	tcpRetry = 10 * time.Second
	// checkAfter is the idle time after which a connection is checked before it is
	// used, since the peer may have restarted. Connections under load are not idle
	// for so long and skip the check.
	checkAfter = 100 * time.Millisecond
)

// tcpPeer holds the TCP connections to one address. Only dialing and closing a
// connection take its lock; calls do not.
type tcpPeer struct {
	idle  atomic.Pointer[idleNode]
	count atomic.Int32 // connections open or being dialed
	down  atomic.Int64 // Unix nanoseconds until which calls use QUIC

	mu   sync.Mutex
	open map[*tcpConn]struct{}
}

// idleNode is an element of the lock-free stack of idle connections. Nodes are
// never reused, which avoids the ABA problem in the compare-and-swap of the top.
type idleNode struct {
	conn  *tcpConn
	since time.Time
	next  *idleNode
}

// push puts a connection on top of the stack of idle connections.
func (e *tcpPeer) push(n *idleNode) {
	for {
		n.next = e.idle.Load()
		if e.idle.CompareAndSwap(n.next, n) {
			return
		}
	}
}

// pop returns the most recently used idle connection that is still usable, nil if
// there is none.
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

// connection returns an idle or a new connection. It returns nil without an error
// if the call has to use QUIC.
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

// dial opens a connection and completes its TLS handshake.
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

// closed is called when a connection was closed and removes it.
func (e *tcpPeer) closed(c *tcpConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, c)
	e.count.Add(-1)
}

// begin starts a call and buffers its kind and msg. It returns nil without an error
// if the call has to use QUIC.
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

// endTCP ends a call. The connection becomes idle, or is closed if it may not be at
// a frame boundary where the next call could start.
func (e *peer) endTCP(s *Stream) {
	if !s.release() {
		return
	}
	defer e.end()
	if !s.reusable() {
		lost := s.tcp.conn.lost
		s.Abort()
		if lost { // the peer has probably closed the other idle connections as well
			e.tcp.closeIdle(time.Now().Add(2 * PoolIdle))
		}
		return
	}
	if !s.tcp.end() {
		return // aborted
	}
	s.br, s.bw = nil, nil // a late use must not affect another call
	e.tcp.push(&idleNode{conn: s.tcp.conn, since: time.Now()})
}

// closeIdle closes connections that have been idle for PoolIdle and reports whether
// none is left, idle or in use.
func (e *tcpPeer) closeIdle(now time.Time) bool {
	var keep []*idleNode
	for n := e.idle.Swap(nil); n != nil; n = n.next {
		if now.Sub(n.since) > PoolIdle {
			n.conn.close()
			continue
		}
		keep = append(keep, &idleNode{conn: n.conn, since: n.since})
	}
	for _, n := range slices.Backward(keep) { // most recently used on top
		e.push(n)
	}
	return e.count.Load() == 0
}

// closeAll closes all connections, including those with a call in progress.
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
