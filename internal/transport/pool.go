package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// maxLinks limits the QUIC connections to one peer.
	maxLinks = 4
	// callsPerLink is the number of concurrent calls per connection above which
	// another connection is opened. All packets of a connection are handled by one
	// goroutine, so that under load several connections are faster: with 60
	// concurrent calls, four connections reduce the median latency by a third;
	// with 8 calls, two reduce it by a fifth. Control traffic alone needs only one
	// connection.
	callsPerLink = 4
)

// errForgotten is the error of a call to a peer whose connections Forget has just
// closed.
var errForgotten = errors.New("transport: the connection was closed by this process")

// Pool opens calls to peers. It dials on demand, keeps one QUIC connection per
// address and up to maxLinks under load, and closes connections without a call
// for PoolIdle. Requests use TCP connections of their own. It is safe for
// concurrent use.
type Pool struct {
	creds *Credentials
	udp   *net.UDPConn
	tr    *quic.Transport
	peers sync.Map // address -> *peer
	stop  context.CancelFunc

	tracker tracker
}

// usage counts the calls in progress that use a peer or connection, so that it is
// not closed under them.
type usage struct {
	busy    atomic.Int64
	retired atomic.Bool
}

// begin counts a call, or returns false if the object is retired or being retired.
func (u *usage) begin() bool {
	u.busy.Add(1)
	if u.retired.Load() {
		u.busy.Add(-1)
		return false
	}
	return true
}

// end ends a call counted by begin.
func (u *usage) end() { u.busy.Add(-1) }

// retire retires the object if no call is in progress and reports whether it did;
// from then on begin fails.
func (u *usage) retire() bool {
	u.retired.Store(true)
	if u.busy.Load() == 0 {
		return true
	}
	u.retired.Store(false)
	return false
}

// peer holds the connections to one address. turn numbers the calls, which use
// the connections in rotation.
type peer struct {
	usage
	turn  atomic.Uint64
	links [maxLinks]atomic.Pointer[link]
	tcp   tcpPeer
}

// link is one QUIC connection, dialed on demand.
type link struct {
	usage
	used   atomic.Int64 // start of the latest call, Unix nanoseconds
	conn   atomic.Pointer[quic.Conn]
	mu     sync.Mutex // serializes dialing
	closed bool       // guarded by mu

	session session // used on the first connection only
}

// NewPool returns a Pool whose QUIC connections share one UDP socket bound to the
// address local (for example "0.0.0.0:0").
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

// Close closes all connections.
func (p *Pool) Close() error {
	p.stop()
	p.peers.Range(func(_, v any) bool {
		v.(*peer).tcp.closeAll()
		return true
	})
	return errors.Join(p.tr.Close(), p.udp.Close())
}

// Connections returns the number of open QUIC connections.
func (p *Pool) Connections() int {
	n := 0
	p.peers.Range(func(_, v any) bool {
		for i := range maxLinks {
			if l := v.(*peer).links[i].Load(); l != nil && l.live() != nil {
				n++
			}
		}
		return true
	})
	return n
}

// Forget closes all connections to addr. It is used for a peer that is known to
// be gone.
func (p *Pool) Forget(addr string) {
	v, ok := p.peers.Load(addr)
	if !ok {
		return
	}
	v.(*peer).tcp.closeAll()
	for i := range maxLinks {
		if l := v.(*peer).links[i].Swap(nil); l != nil {
			l.close()
		}
	}
}

// closeIdle closes idle connections until ctx is done.
func (p *Pool) closeIdle(ctx context.Context) {
	t := time.NewTicker(PoolIdle / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.peers.Range(func(k, v any) bool {
				if v.(*peer).closeIdle(now) && v.(*peer).retire() {
					p.peers.CompareAndDelete(k, v)
					v.(*peer).tcp.closeAll() // a call may have ended since closeIdle
				}
				return true
			})
		}
	}
}

// closeIdle closes connections that had no call for PoolIdle and reports whether
// none is left.
func (e *peer) closeIdle(now time.Time) bool {
	empty := e.tcp.closeIdle(now)
	for i := range maxLinks {
		l := e.links[i].Load()
		if l == nil {
			continue
		}
		if now.UnixNano()-l.used.Load() > int64(PoolIdle) && l.retire() {
			e.links[i].CompareAndSwap(l, nil)
			l.close()
			continue
		}
		empty = false
	}
	return empty
}

// begin returns the peer of addr with a call counted on it.
func (p *Pool) begin(addr string) *peer {
	for {
		v, ok := p.peers.Load(addr)
		if !ok {
			v, _ = p.peers.LoadOrStore(addr, &peer{})
		}
		if e := v.(*peer); e.begin() {
			return e
		}
		runtime.Gosched() // closeIdle removes or reactivates the peer without waiting
	}
}

// link returns connection i, which may not be dialed yet, with a call counted on
// it.
func (e *peer) link(i int) *link {
	for {
		l := e.links[i].Load()
		if l == nil {
			e.links[i].CompareAndSwap(nil, &link{})
			continue
		}
		if l.begin() {
			l.used.Store(time.Now().UnixNano())
			return l
		}
		runtime.Gosched()
	}
}

// choose returns an open connection with a call counted on it. It uses as many
// connections in rotation as the number of concurrent calls requires. While one
// call dials an additional connection, others use the first one.
func (e *peer) choose(ctx context.Context, p *Pool, addr string) (*link, *quic.Conn, error) {
	width := min(uint64(1+(e.busy.Load()-1)/callsPerLink), maxLinks)
	if i := int(e.turn.Add(1) % width); i > 0 {
		l := e.link(i)
		if c := l.live(); c != nil {
			return l, c, nil
		}
		if l.mu.TryLock() {
			c, err := l.dial(ctx, p, addr)
			l.mu.Unlock()
			if err == nil {
				return l, c, nil
			}
		}
		l.end()
	}
	l := e.link(0)
	c, err := l.connection(ctx, p, addr)
	if err != nil {
		l.end()
		return nil, nil, err
	}
	return l, c, nil
}

// live returns the connection if it is open, else nil.
func (l *link) live() *quic.Conn {
	if c := l.conn.Load(); c != nil && c.Context().Err() == nil {
		return c
	}
	return nil
}

// connection returns the open connection, which it dials if necessary.
func (l *link) connection(ctx context.Context, p *Pool, addr string) (*quic.Conn, error) {
	if c := l.live(); c != nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.live(); c != nil {
		return c, nil
	}
	return l.dial(ctx, p, addr)
}

// dial opens the connection. The caller holds mu.
func (l *link) dial(ctx context.Context, p *Pool, addr string) (*quic.Conn, error) {
	if l.closed {
		return nil, errForgotten
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
	l.conn.Store(c)
	return c, nil
}

// close closes the connection and prevents it from being dialed again.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if c := l.conn.Load(); c != nil {
		_ = c.CloseWithError(closeNormal, "")
	}
}

// Open starts a call of the given kind and buffers msg as its first message, which
// is sent with the first flush (Send, BodyWriter.Close, CloseWrite). Errors are of
// type *CallError. The caller must end the call with done once no other goroutine
// reads from the stream.
func (p *Pool) Open(ctx context.Context, addr string, kind wire.Kind, msg any) (s *Stream, done func(), err error) {
	e := p.begin(addr)
	if kind == wire.KindRequest {
		s, err := e.tcp.begin(ctx, p.creds, addr, msg)
		if err != nil {
			e.end()
			return nil, nil, &CallError{Address: addr, Err: err}
		}
		if s != nil {
			return s, func() { e.endTCP(s) }, nil
		}
	}
	l, c, err := e.choose(ctx, p, addr)
	if err != nil {
		e.end()
		return nil, nil, &CallError{Address: addr, Err: err}
	}
	s, err = openStream(ctx, c, kind, msg)
	if err != nil {
		l.end()
		e.end()
		return nil, nil, &CallError{Address: addr, Err: err}
	}
	done = func() {
		if s.release() {
			l.end()
			e.end()
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
	if inSession(kind) {
		if ok, err := p.callSession(ctx, addr, kind, msg, reply); ok {
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
		s.c.stopReading()
		var re *result.Error
		if errors.As(err, &re) {
			return re
		}
		return &CallError{Address: addr, Sent: true, Err: err}
	}
	s.c.stopReading()
	return nil
}
