package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Requests run over pooled TLS connections on TCP, one call at a time on a
// connection, with the frames of a QUIC stream. QUIC takes more than three times
// the processor time for a small request.

const (
	// breakLimit bounds the drain after a broken response. A close with unread
	// data makes TCP discard what the peer has not read, such as an admission.
	breakLimit = time.Second
	// tcpProbe and tcpProbes end a connection to a dead host after 4 s, as
	// maxIdle does on QUIC.
	tcpProbe  = time.Second
	tcpProbes = 3
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: tcpProbe, Interval: tcpProbe, Count: tcpProbes}
}

// tcpConn is one TLS connection. Its buffers outlive a call: after a refusal
// the next call may lie behind the rest of a body.
type tcpConn struct {
	raw    *net.TCPConn
	tls    *tls.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	// onClose is called once.
	onClose func(*tcpConn)
	closing sync.Once

	// received and lost describe the latest call: whether any byte came, and
	// whether the peer ended the connection before. Used by the reading goroutine.
	received, lost bool
}

func newTCPConn(raw *net.TCPConn, t *tls.Conn, onClose func(*tcpConn)) *tcpConn {
	c := &tcpConn{raw: raw, tls: t, onClose: onClose}
	c.br = bufio.NewReaderSize(c, streamBufferBytes)
	c.bw = bufio.NewWriterSize(t, streamBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Read implements io.Reader for the buffer.
func (c *tcpConn) Read(p []byte) (int, error) {
	n, err := c.tls.Read(p)
	if n > 0 {
		c.received = true
	}
	if err != nil && !c.received && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lost = true
	}
	return n, err
}

// endedByPeer reports whether the peer has closed an idle connection, or sent
// what no call asked for. Control is used since RawConn.Read fails after the deadline of the latest call.
func (c *tcpConn) endedByPeer() bool {
	rc, err := c.raw.SyscallConn()
	if err != nil {
		return true
	}
	var rerr error
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || rerr != syscall.EAGAIN
}

// close ends the connection without a TLS alert, whose write may block.
func (c *tcpConn) close() {
	c.closing.Do(func() {
		c.cancel()
		_ = c.raw.Close()
		c.onClose(c)
	})
}

// breakOff closes the connection after the peer could read what was flushed.
func (c *tcpConn) breakOff() {
	defer c.close()
	_ = c.raw.SetDeadline(time.Now().Add(breakLimit))
	if err := c.bw.Flush(); err != nil {
		return
	}
	_ = c.raw.CloseWrite()
	_, _ = io.Copy(io.Discard, c.raw)
}

// States of a call. Abort and the end of the call exclude each other, so that
// a late abort never reaches the next call of the connection.
const (
	callActive int32 = iota
	callAborted
	callEnded
)

// tcpCall is one call on a TCP connection.
type tcpCall struct {
	conn   *tcpConn
	server bool
	state  atomic.Int32
	// peeked is closed when the read after the request's body returned; nil
	// before the end of that body. Only on the server.
	peeked chan struct{}
	// peeking is set with peeked; the read deadline is then not that of the call.
	peeking atomic.Bool

	messages int // sent
	faulty   bool
	pieces   bool // a body frame was sent
	ended    bool // the end frame of the sent body was written
	refused  bool // client: the peer refused the call before admission
	broken   bool // server: the response is incomplete
}

func newTCPStream(c *tcpConn, server bool) *Stream {
	call := &tcpCall{conn: c, server: server}
	return &Stream{c: call, tcp: call, br: c.br, bw: c.bw}
}

// sent records a frame that is written.
func (t *tcpCall) sent(kind byte) {
	switch kind {
	case frameMessage:
		t.messages++
	case frameFault:
		t.faulty = true
	case frameBody:
		t.pieces = true
	case frameEnd:
		t.ended = true
	}
}

// bodyRead is called at the end frame of a received body. On the server it
// waits for the next byte, which is that of the next call or tells that the peer
// has gone.
func (t *tcpCall) bodyRead() {
	if !t.server {
		return
	}
	t.peeked = make(chan struct{})
	t.peeking.Store(true)
	_ = t.conn.raw.SetReadDeadline(time.Time{})
	go func() {
		defer close(t.peeked)
		if _, err := t.conn.br.Peek(1); err != nil {
			t.conn.cancel()
		}
	}()
}

// SetDeadline implements carrier.
func (t *tcpCall) SetDeadline(d time.Time) error {
	if t.peeking.Load() {
		return t.conn.raw.SetWriteDeadline(d)
	}
	return t.conn.raw.SetDeadline(d)
}

// Context implements carrier.
func (t *tcpCall) Context() context.Context { return t.conn.ctx }

// Close implements carrier. The connection stays open for the next call; the
// end frame tells the end of the body.
func (t *tcpCall) Close() error { return nil }

func (t *tcpCall) stopReading() {}

func (t *tcpCall) abort() {
	if t.state.CompareAndSwap(callActive, callAborted) {
		t.conn.close()
	}
}

// end ends the call and reports whether it was not aborted before.
func (t *tcpCall) end() bool { return t.state.CompareAndSwap(callActive, callEnded) }

// Refused ends a call whose first message from the peer was a refusal. It ends
// a body that was not sent, so that the connection can carry the next call.
func (s *Stream) Refused() {
	if s.tcp == nil {
		s.Abort()
		return
	}
	s.tcp.refused = true
	if s.tcp.ended {
		return
	}
	if s.tcp.pieces || s.BodyWriter(false).Close() != nil || s.CloseWrite() != nil {
		s.Abort()
	}
}

// reusable reports whether the connection of a client's call is at the start of
// the next one: the own body was ended and flushed by a writer that has
// returned, and the answer was read to its end.
func (s *Stream) reusable() bool {
	if !s.closed.Load() || !s.tcp.ended {
		return false
	}
	return s.tcp.refused || s.body != nil && s.body.done.Load()
}
