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

// Requests use pooled TLS connections over TCP, one call at a time per connection,
// with the same frames as on a QUIC stream. QUIC needs more than three times the
// processor time for a small request.

const (
	// drainTimeout is the timeout for reading and discarding data of the peer. If a
	// TCP connection is closed with such data unread, the peer may lose data that
	// it has not read yet, such as an admission.
	drainTimeout = time.Second
	// tcpKeepAliveInterval and tcpKeepAliveProbes are the interval and number
	// of keep-alive probes. They end a connection to a dead host after 4 s, as
	// quicIdleTimeout does for QUIC.
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveProbes   = 3
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: tcpKeepAliveInterval, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveProbes}
}

// tcpConn is one TLS connection. Its buffers are kept between calls: after a
// refusal, the rest of the refused body and the next call may already be in the
// read buffer.
type tcpConn struct {
	raw    *net.TCPConn
	tls    *tls.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	// onClose is called once, when the connection is closed.
	onClose   func(*tcpConn)
	closeOnce sync.Once

	// received is set if any byte of the reply to the latest call was received,
	// closedBeforeReply if the peer closed the connection before the first one.
	// Only the reading goroutine uses them.
	received, closedBeforeReply bool
}

func newTCPConn(raw *net.TCPConn, t *tls.Conn, onClose func(*tcpConn)) *tcpConn {
	c := &tcpConn{raw: raw, tls: t, onClose: onClose}
	c.br = bufio.NewReaderSize(c, streamBufferBytes)
	c.bw = bufio.NewWriterSize(t, streamBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Read implements io.Reader for the read buffer.
func (c *tcpConn) Read(p []byte) (int, error) {
	n, err := c.tls.Read(p)
	if n > 0 {
		c.received = true
	}
	if err != nil && !c.received && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.closedBeforeReply = true
	}
	return n, err
}

// isUnusable reports whether an idle connection is unusable since the peer has
// closed it or sent unexpected data. It uses RawConn.Control because RawConn.Read
// fails after the deadline of the latest call.
func (c *tcpConn) isUnusable() bool {
	rc, err := c.raw.SyscallConn()
	if err != nil {
		return true
	}
	var recvErr error
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || recvErr != syscall.EAGAIN
}

// close closes the connection without a TLS alert, since writing one may block.
func (c *tcpConn) close() {
	c.closeOnce.Do(func() {
		c.cancel()
		_ = c.raw.Close()
		c.onClose(c)
	})
}

// drainAndClose flushes, closes the sending direction, and closes the
// connection once the peer has done so or after drainTimeout. The peer can read
// all data until then.
func (c *tcpConn) drainAndClose() {
	defer c.close()
	_ = c.raw.SetDeadline(time.Now().Add(drainTimeout))
	if err := c.bw.Flush(); err != nil {
		return
	}
	_ = c.raw.CloseWrite()
	_, _ = io.Copy(io.Discard, c.raw)
}

// States of a call. A call is either aborted or ended, so that a late abort never
// affects the next call of the connection.
const (
	callActive int32 = iota
	callAborted
	callEnded
)

// tcpCall is the callCarrier of one call over TCP, with the state of the call.
type tcpCall struct {
	conn     *tcpConn
	isServer bool
	state    atomic.Int32
	// nextByteRead is used on the server only. It is nil before the end of the
	// request body, and closed when the read of the byte after the body has
	// returned.
	nextByteRead chan struct{}
	// readingNextByte is set together with nextByteRead. From then on
	// SetDeadline does not change the read deadline.
	readingNextByte atomic.Bool

	messagesSent  int
	faultSent     bool
	bodyFrameSent bool
	endFrameSent  bool
	refused       bool // client: the peer refused the call before admission
	truncated     bool // server: the response is incomplete
}

func newTCPStream(c *tcpConn, isServer bool) *Stream {
	call := &tcpCall{conn: c, isServer: isServer}
	return &Stream{carrier: call, tcp: call, br: c.br, bw: c.bw}
}

// recordSent records that a frame of the given type is sent.
func (t *tcpCall) recordSent(frameType byte) {
	switch frameType {
	case frameMessage:
		t.messagesSent++
	case frameFault:
		t.faultSent = true
	case frameBody:
		t.bodyFrameSent = true
	case frameEnd:
		t.endFrameSent = true
	}
}

// bodyReceived is called after the end frame of a received body. On the server it
// starts a read of the next byte: either it belongs to the next call, or the read
// fails since the peer has closed the connection, which cancels its context.
func (t *tcpCall) bodyReceived() {
	if !t.isServer {
		return
	}
	t.nextByteRead = make(chan struct{})
	t.readingNextByte.Store(true)
	_ = t.conn.raw.SetReadDeadline(time.Time{})
	go func() {
		defer close(t.nextByteRead)
		if _, err := t.conn.br.Peek(1); err != nil {
			t.conn.cancel()
		}
	}()
}

// SetDeadline implements callCarrier.
func (t *tcpCall) SetDeadline(d time.Time) error {
	if t.readingNextByte.Load() {
		return t.conn.raw.SetWriteDeadline(d)
	}
	return t.conn.raw.SetDeadline(d)
}

// Context implements callCarrier.
func (t *tcpCall) Context() context.Context { return t.conn.ctx }

// Close implements callCarrier. It does nothing: the connection stays open for the
// next call, and the end frame marks the end of the body.
func (t *tcpCall) Close() error { return nil }

// stopReading implements callCarrier. It does nothing: the end of the call decides
// whether the connection can be reused.
func (t *tcpCall) stopReading() {}

// abort implements callCarrier. It closes the connection unless the call has ended.
func (t *tcpCall) abort() {
	if t.state.CompareAndSwap(callActive, callAborted) {
		t.conn.close()
	}
}

// endCall ends the call. It returns false if the call was already aborted or ended.
func (t *tcpCall) endCall() bool { return t.state.CompareAndSwap(callActive, callEnded) }

// EndRefused is called by the client when the first message of the peer refuses the
// call. It sends the end frame of a body that was not started, so that the
// connection can be reused, and aborts the call if a body was started and not
// ended. A call over QUIC is always aborted.
func (s *Stream) EndRefused() {
	if s.tcp == nil {
		s.Abort()
		return
	}
	s.tcp.refused = true
	if s.tcp.endFrameSent {
		return
	}
	if s.tcp.bodyFrameSent || s.BodyWriter(false).Close() != nil || s.CloseWrite() != nil {
		s.Abort()
	}
}

// canReuseConn reports whether the connection of a client's call can carry another
// call: the request body was ended, flushed and has no writer left, and the
// response was read to its end.
func (s *Stream) canReuseConn() bool {
	if !s.writeClosed.Load() || !s.tcp.endFrameSent {
		return false
	}
	return s.tcp.refused || s.lastBody != nil && s.lastBody.complete.Load()
}
