package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// maxConnsPerPeer limits the QUIC connections to one peer.
	maxConnsPerPeer = 4
	// callsPerConn is the number of concurrent calls per connection above which
	// another connection is opened. All packets of a connection are handled by one
	// goroutine, so that under load several connections are faster: with 60
	// concurrent calls, four connections reduce the median latency by a third;
	// with 8 calls, two reduce it by a fifth. Control traffic alone needs only one
	// connection.
	callsPerConn = 4
)

// errConnectionsClosed is the error of a call to a peer whose connections CloseConnections
// has just closed.
var errConnectionsClosed = errors.New("transport: the connection was closed by this process")

// Pool opens calls to peers. It dials on demand, keeps one QUIC connection per
// address and up to maxConnsPerPeer under load, and closes connections without
// a call for PoolIdleTimeout. Requests use TCP connections of their own. It is
// safe for concurrent use.
type Pool struct {
	creds         *Credentials
	udp           *net.UDPConn
	quicTransport *quic.Transport
	peers         sync.Map // address -> *peer
	stop          context.CancelFunc

	connTracker connTracker
}

// callCounter counts the calls in progress that use a peer or connection. The
// object is retired, and then closed, only while there are none.
type callCounter struct {
	activeCalls atomic.Int64
	retired     atomic.Bool
}

// beginCall counts a call and returns true, or returns false if the object is
// retired or being retired.
func (cc *callCounter) beginCall() bool {
	cc.activeCalls.Add(1)
	if cc.retired.Load() {
		cc.activeCalls.Add(-1)
		return false
	}
	return true
}

// endCall ends a call counted by beginCall.
func (cc *callCounter) endCall() { cc.activeCalls.Add(-1) }

// tryRetire retires the object if no call is in progress and reports whether it
// did. From then on beginCall fails.
func (cc *callCounter) tryRetire() bool {
	cc.retired.Store(true)
	if cc.activeCalls.Load() == 0 {
		return true
	}
	cc.retired.Store(false)
	return false
}

// peer holds the connections to one address. Calls use the QUIC connections in
// rotation.
type peer struct {
	callCounter
	roundRobin atomic.Uint64
	conns      [maxConnsPerPeer]atomic.Pointer[pooledConn]
	tcp        tcpPeer
}

// pooledConn is one QUIC connection, dialed on demand.
type pooledConn struct {
	callCounter
	lastUsed atomic.Int64 // start of the latest call, Unix nanoseconds
	conn     atomic.Pointer[quic.Conn]
	mu       sync.Mutex // serializes dialing
	closed   bool       // guarded by mu

	session session // used on the first connection only
}

// NewPool returns a Pool whose QUIC connections share one UDP socket bound to the
// address local (for example "0.0.0.0:0").
func NewPool(local string, creds *Credentials) (*Pool, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", local)
	if err != nil {
		return nil, fmt.Errorf("pool address %s: %w", local, err)
	}
	udp, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, fmt.Errorf("pool address %s: %w", local, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{creds: creds, udp: udp, quicTransport: &quic.Transport{Conn: udp}, stop: cancel}
	go p.closeIdleConns(ctx)
	return p, nil
}

// Close closes all connections.
func (p *Pool) Close() error {
	p.stop()
	p.peers.Range(func(_, v any) bool {
		v.(*peer).tcp.closeAll()
		return true
	})
	return errors.Join(p.quicTransport.Close(), p.udp.Close())
}

// Connections returns the number of open QUIC connections.
func (p *Pool) Connections() int {
	n := 0
	p.peers.Range(func(_, v any) bool {
		for i := range maxConnsPerPeer {
			if pc := v.(*peer).conns[i].Load(); pc != nil && pc.liveConn() != nil {
				n++
			}
		}
		return true
	})
	return n
}

// CloseConnections closes all connections to addr. It is used for a peer that is known to
// be gone.
func (p *Pool) CloseConnections(addr string) {
	v, ok := p.peers.Load(addr)
	if !ok {
		return
	}
	v.(*peer).tcp.closeAll()
	for i := range maxConnsPerPeer {
		if pc := v.(*peer).conns[i].Swap(nil); pc != nil {
			pc.close()
		}
	}
}

// closeIdleConns closes idle connections until ctx is done.
func (p *Pool) closeIdleConns(ctx context.Context) {
	t := time.NewTicker(PoolIdleTimeout / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.peers.Range(func(k, v any) bool {
				if v.(*peer).closeIdleConns(now) && v.(*peer).tryRetire() {
					p.peers.CompareAndDelete(k, v)
					v.(*peer).tcp.closeAll() // a call may have ended since closeIdleConns
				}
				return true
			})
		}
	}
}

// closeIdleConns closes connections that had no call for PoolIdleTimeout and
// reports whether none is left.
func (pr *peer) closeIdleConns(now time.Time) bool {
	empty := pr.tcp.closeIdleConns(now)
	for i := range maxConnsPerPeer {
		pc := pr.conns[i].Load()
		if pc == nil {
			continue
		}
		if now.UnixNano()-pc.lastUsed.Load() > int64(PoolIdleTimeout) && pc.tryRetire() {
			pr.conns[i].CompareAndSwap(pc, nil)
			pc.close()
			continue
		}
		empty = false
	}
	return empty
}

// beginCall returns the peer of addr with a call counted on it.
func (p *Pool) beginCall(addr string) *peer {
	for {
		v, ok := p.peers.Load(addr)
		if !ok {
			v, _ = p.peers.LoadOrStore(addr, &peer{})
		}
		if pr := v.(*peer); pr.beginCall() {
			return pr
		}
		runtime.Gosched() // closeIdleConns removes or reactivates the peer without waiting
	}
}

// pooledConn returns connection i, which may not be dialed yet, with a call
// counted on it.
func (pr *peer) pooledConn(i int) *pooledConn {
	for {
		pc := pr.conns[i].Load()
		if pc == nil {
			pr.conns[i].CompareAndSwap(nil, &pooledConn{})
			continue
		}
		if pc.beginCall() {
			pc.lastUsed.Store(time.Now().UnixNano())
			return pc
		}
		runtime.Gosched()
	}
}

// chooseConn returns an open connection with a call counted on it. It rotates
// through as many connections as the number of concurrent calls requires. While one
// call dials an additional connection, others use the first one.
func (pr *peer) chooseConn(ctx context.Context, p *Pool, addr string) (*pooledConn, *quic.Conn, error) {
	connsNeeded := min(uint64(1+(pr.activeCalls.Load()-1)/callsPerConn), maxConnsPerPeer)
	if i := int(pr.roundRobin.Add(1) % connsNeeded); i > 0 {
		pc := pr.pooledConn(i)
		if c := pc.liveConn(); c != nil {
			return pc, c, nil
		}
		if pc.mu.TryLock() {
			c, err := pc.dial(ctx, p, addr)
			pc.mu.Unlock()
			if err == nil {
				return pc, c, nil
			}
		}
		pc.endCall()
	}
	pc := pr.pooledConn(0)
	c, err := pc.openConn(ctx, p, addr)
	if err != nil {
		pc.endCall()
		return nil, nil, err
	}
	return pc, c, nil
}

// liveConn returns the connection if it is open, else nil.
func (pc *pooledConn) liveConn() *quic.Conn {
	if c := pc.conn.Load(); c != nil && c.Context().Err() == nil {
		return c
	}
	return nil
}

// openConn returns the open connection, which it dials if necessary.
func (pc *pooledConn) openConn(ctx context.Context, p *Pool, addr string) (*quic.Conn, error) {
	if c := pc.liveConn(); c != nil {
		return c, nil
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if c := pc.liveConn(); c != nil {
		return c, nil
	}
	return pc.dial(ctx, p, addr)
}

// resolve returns the UDP address of host:port. Unlike net.ResolveUDPAddr it ends with ctx: the
// address may come from a record of another writer, and its host be a name that nobody resolves.
func resolve(ctx context.Context, addr string) (*net.UDPAddr, error) {
	if literal, err := netip.ParseAddrPort(addr); err == nil {
		return net.UDPAddrFromAddrPort(literal), nil
	}
	host, service, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	port, err := net.DefaultResolver.LookupPort(ctx, "udp", service)
	if err != nil {
		return nil, err
	}
	ips, err := net.DefaultResolver.LookupNetIP(ctx, "ip", host)
	if err != nil {
		return nil, err
	}
	ip := ips[0]
	if i := slices.IndexFunc(ips, func(a netip.Addr) bool { return a.Unmap().Is4() }); i >= 0 {
		ip = ips[i]
	}
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip.Unmap(), uint16(port))), nil
}

// dial opens the connection. The caller holds mu.
func (pc *pooledConn) dial(ctx context.Context, p *Pool, addr string) (*quic.Conn, error) {
	if pc.closed {
		return nil, errConnectionsClosed
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	udpAddr, err := resolve(ctx, addr)
	if err != nil {
		return nil, err
	}
	c, err := p.quicTransport.Dial(ctx, udpAddr, p.creds.clientConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	p.connTracker.track(c)
	pc.conn.Store(c)
	return c, nil
}

// close closes the connection and prevents it from being dialed again.
func (pc *pooledConn) close() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.closed = true
	if c := pc.conn.Load(); c != nil {
		_ = c.CloseWithError(closeNormal, "")
	}
}

// Open starts a call of the given kind and buffers msg as its first message, which
// is sent with the first flush (Send, BodyWriter.Close, CloseWrite). Errors are of
// type *CallError. The caller must end the call with done once no other goroutine
// reads from the stream.
func (p *Pool) Open(ctx context.Context, addr string, kind wire.Kind, msg any) (s *Stream, done func(), err error) {
	pr := p.beginCall(addr)
	if kind == wire.KindRequest {
		s, err := pr.tcp.beginCall(ctx, p.creds, addr, msg)
		if err != nil {
			pr.endCall()
			return nil, nil, &CallError{Address: addr, Err: err}
		}
		if s != nil {
			return s, func() { pr.endTCPCall(s) }, nil
		}
	}
	pc, c, err := pr.chooseConn(ctx, p, addr)
	if err != nil {
		pr.endCall()
		return nil, nil, &CallError{Address: addr, Err: err}
	}
	s, err = openStream(ctx, c, kind, msg)
	if err != nil {
		pc.endCall()
		pr.endCall()
		return nil, nil, &CallError{Address: addr, Err: err}
	}
	done = func() {
		if s.releaseBuffers() {
			pc.endCall()
			pr.endCall()
		}
	}
	return s, done, nil
}

// openStream opens a QUIC stream for a call and buffers its kind and msg.
func openStream(ctx context.Context, c *quic.Conn, kind wire.Kind, msg any) (*Stream, error) {
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

// Call performs a unary call: it sends msg and decodes the reply into reply. The
// error is the *result.Error sent by the peer, or a *CallError. The call has no
// timeout other than that of ctx.
func (p *Pool) Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error {
	if usesSession(kind) {
		if ok, err := p.callInSession(ctx, addr, kind, msg, reply); ok {
			return err
		}
	}
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
		s.carrier.stopReading()
		var re *result.Error
		if errors.As(err, &re) {
			return re
		}
		return &CallError{Address: addr, Sent: true, Err: err}
	}
	s.carrier.stopReading()
	return nil
}
