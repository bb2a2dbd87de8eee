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
	// maxTCPConns limits the TCP connections to one address; calls beyond it
	// use QUIC. With 60 callers, 64 connections gave no higher request rate
	// than 16.
	maxTCPConns = 16
	// tcpDialTimeout is the timeout of connecting including the TLS handshake.
	tcpDialTimeout = 500 * time.Millisecond
	// tcpDialBackoff is the backoff after a failed dial, during which calls use
	// QUIC.
	tcpDialBackoff = 10 * time.Second
	// idleCheckAfter is the idle time after which a connection is checked
	// before it is used, since the peer may have restarted. Under load,
	// connections are not idle for that long and skip the check.
	idleCheckAfter = 100 * time.Millisecond
)

// tcpPeer holds the TCP connections to one address. Only dialing and closing a
// connection take its lock; calls do not.
type tcpPeer struct {
	idleTop      atomic.Pointer[idleNode]
	connCount    atomic.Int32 // connections open or being dialed
	useQUICUntil atomic.Int64 // Unix nanoseconds until which calls use QUIC

	mu   sync.Mutex
	open map[*tcpConn]struct{}
}

// idleNode is an element of the lock-free stack of idle connections. Nodes are
// never reused, which avoids the ABA problem in the compare-and-swap of the top.
type idleNode struct {
	conn      *tcpConn
	idleSince time.Time
	next      *idleNode
}

// pushIdle puts a connection on top of the stack of idle connections.
func (tp *tcpPeer) pushIdle(n *idleNode) {
	for {
		n.next = tp.idleTop.Load()
		if tp.idleTop.CompareAndSwap(n.next, n) {
			return
		}
	}
}

// popIdle returns the most recently used idle connection that is still usable,
// nil if there is none.
func (tp *tcpPeer) popIdle() *tcpConn {
	for {
		n := tp.idleTop.Load()
		if n == nil {
			return nil
		}
		if !tp.idleTop.CompareAndSwap(n, n.next) {
			continue
		}
		if n.conn.ctx.Err() != nil {
			continue
		}
		if time.Since(n.idleSince) > idleCheckAfter && n.conn.isUnusable() {
			n.conn.close()
			continue
		}
		return n.conn
	}
}

// connection returns an idle or a new connection. It returns nil without an error
// if the call has to use QUIC. The only error is that of ctx.
func (tp *tcpPeer) connection(ctx context.Context, creds *Credentials, addr string) (*tcpConn, error) {
	if c := tp.popIdle(); c != nil {
		return c, nil
	}
	if time.Now().UnixNano() < tp.useQUICUntil.Load() {
		return nil, nil
	}
	if tp.connCount.Add(1) > maxTCPConns {
		tp.connCount.Add(-1)
		return nil, nil
	}
	c, err := tp.dial(ctx, creds, addr)
	if err == nil {
		return c, nil
	}
	tp.connCount.Add(-1)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	tp.useQUICUntil.Store(time.Now().Add(tcpDialBackoff).UnixNano())
	return nil, nil
}

// dial opens a connection and completes its TLS handshake.
func (tp *tcpPeer) dial(ctx context.Context, creds *Credentials, addr string) (*tcpConn, error) {
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
	c := newTCPConn(raw.(*net.TCPConn), t, tp.removeConn)
	tp.mu.Lock()
	defer tp.mu.Unlock()
	if tp.open == nil {
		tp.open = make(map[*tcpConn]struct{})
	}
	tp.open[c] = struct{}{}
	return c, nil
}

// removeConn removes a connection that was closed.
func (tp *tcpPeer) removeConn(c *tcpConn) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	delete(tp.open, c)
	tp.connCount.Add(-1)
}

// beginCall starts a call and buffers its kind and msg. It returns nil without
// an error if the call has to use QUIC.
func (tp *tcpPeer) beginCall(ctx context.Context, creds *Credentials, addr string, msg any) (*Stream, error) {
	c, err := tp.connection(ctx, creds, addr)
	if c == nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = c.raw.SetDeadline(deadline)
	c.received, c.closedBeforeReply = false, false
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

// endTCPCall ends a call. The connection becomes idle, or is closed if it may
// not be at a frame boundary where the next call could start.
func (pr *peer) endTCPCall(s *Stream) {
	if !s.releaseBuffers() {
		return
	}
	defer pr.endCall()
	if !s.canReuseConn() {
		closedBeforeReply := s.tcp.conn.closedBeforeReply
		s.Abort()
		if closedBeforeReply { // the peer has probably closed the other idle connections as well
			pr.tcp.closeIdleConns(time.Now().Add(2 * PoolIdleTimeout))
		}
		return
	}
	if !s.tcp.endCall() {
		return // aborted
	}
	s.br, s.bw = nil, nil // a late use must not affect another call
	pr.tcp.pushIdle(&idleNode{conn: s.tcp.conn, idleSince: time.Now()})
}

// closeIdleConns closes connections that have been idle for PoolIdleTimeout and
// reports whether none is left, idle or in use.
func (tp *tcpPeer) closeIdleConns(now time.Time) bool {
	var keep []*idleNode
	for n := tp.idleTop.Swap(nil); n != nil; n = n.next {
		if now.Sub(n.idleSince) > PoolIdleTimeout {
			n.conn.close()
			continue
		}
		keep = append(keep, &idleNode{conn: n.conn, idleSince: n.idleSince})
	}
	for _, n := range slices.Backward(keep) { // most recently used on top
		tp.pushIdle(n)
	}
	return tp.connCount.Load() == 0
}

// closeAll closes all connections, including those with a call in progress.
func (tp *tcpPeer) closeAll() {
	tp.idleTop.Store(nil)
	tp.mu.Lock()
	var all []*tcpConn
	for c := range tp.open {
		all = append(all, c)
	}
	tp.mu.Unlock()
	for _, c := range all {
		c.close()
	}
}
