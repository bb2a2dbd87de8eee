package connlimit

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Estimated memory in bytes for what clients send.
const (
	// headerByte is the memory for a byte of a header: the read buffer and the copy in the parsed header.
	headerByte = 2
	// headerLine is the memory for a line of a header: the entry of a map that grows by doubling, a slice and two
	// strings. TestWeightOfHeaderLines measures it.
	headerLine = 160
	// bodyByte is the memory for a byte of a body that a handler reads into a growing buffer.
	bodyByte = 3
)

// Phases of a connection. Those before inProgress may be ended for others.
const (
	idlePhase int32 = iota
	receivingHeader
	receivingBody
	bodyLeft   // the handler has responded, and the server waits for the rest of the body before it sends that
	inProgress // arrived, or passed on in part
	refused
	closed
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// conn is the connection of a client.
type conn struct {
	net.Conn
	limiter *Limiter
	server  string
	phase   atomic.Int32
	since   atomic.Int64 // Unix nanoseconds of the start of the idle phase or the request
	readAt  atomic.Int64 // Unix nanoseconds of the latest read of data
	bytes   atomic.Int64 // memory that is counted in limiter.bytes
	// reserved is the memory that is counted in limiter.reserved.
	reserved atomic.Int64
	// lastRead is the memory for the latest bytes read. A part of them may belong to the next request.
	lastRead      atomic.Int64
	idleDeadlines atomic.Int32                       // read deadlines set in the idle phase
	cancel        atomic.Pointer[context.CancelFunc] // of the request whose body is being received
}

// Read implements net.Conn. It counts the bytes of headers; those of bodies are counted as the handler reads them.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.readAt.Store(time.Now().UnixNano())
	memory := int64(n)*headerByte + int64(bytes.Count(p[:n], []byte{'\n'}))*headerLine
	// The server reads a single byte ahead to notice the end of a connection.
	if len(p) == 1 {
		c.lastRead.Add(memory)
	} else {
		c.lastRead.Store(memory)
	}
	if c.phase.CompareAndSwap(idlePhase, receivingHeader) {
		c.since.Store(time.Now().UnixNano())
	}
	if c.phase.Load() == receivingHeader {
		c.hold(memory)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. Between two requests package http sets a deadline for the wait, and another
// one when the next request begins. If that hasn't read anything, the request was sent with the former one, and is a part of
// what was read last.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.phase.Load() == idlePhase && c.idleDeadlines.Add(1) == 2 && c.phase.CompareAndSwap(idlePhase, receivingHeader) {
		c.since.Store(time.Now().UnixNano())
		c.hold(c.lastRead.Load())
	}
	return c.Conn.SetReadDeadline(t)
}

// hold counts memory for the request of c, which may be refused for it.
func (c *conn) hold(memory int64) {
	c.bytes.Add(memory)
	if c.limiter.bytes.Add(memory) > c.limiter.maxBytes {
		c.limiter.relieve()
	}
}

// release ends the count of what c holds.
func (c *conn) release() {
	c.unreserve()
	c.limiter.bytes.Add(-c.bytes.Swap(0))
}

// setIdle is called after the response.
func (c *conn) setIdle() {
	c.release()
	c.idleDeadlines.Store(0)
	c.since.Store(time.Now().UnixNano())
	for _, p := range []int32{inProgress, bodyLeft, receivingBody, receivingHeader} {
		if c.phase.CompareAndSwap(p, idlePhase) {
			return
		}
	}
	_ = c.Conn.Close()
}

// close closes the connection, and reports false if its request has arrived in the meantime.
func (c *conn) close() bool {
	for _, p := range []int32{idlePhase, receivingHeader, receivingBody} {
		if c.phase.CompareAndSwap(p, closed) {
			c.cancelRequest()
			_ = c.Conn.Close()
			c.release()
			return true
		}
	}
	return false
}

// refuse ends the request of c: the handler can still respond if it has been called, else the connection is closed. It
// reports false if the request has arrived in the meantime.
func (c *conn) refuse() bool {
	if !c.phase.CompareAndSwap(receivingBody, refused) && !c.phase.CompareAndSwap(bodyLeft, refused) {
		return c.close()
	}
	_ = c.Conn.SetReadDeadline(past)
	c.cancelRequest()
	c.release()
	return true
}

// stall returns a measure of what c keeps from others: the memory that it holds, weighted by the time since it last sent
// something.
func (c *conn) stall(now time.Time) float64 {
	return float64(c.bytes.Load()) * max(1e3, float64(now.UnixNano()-c.readAt.Load()))
}

func (c *conn) cancelRequest() {
	if cancel := c.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// keep changes the phase from the given one to inProgress, and so protects the request of c from being refused. It reports false if
// the request has been refused, or is now since the requests in progress hold too much.
func (c *conn) keep(from int32) bool {
	if c.phase.Load() == inProgress {
		return true
	}
	if !c.limiter.reserve(c) {
		c.limiter.refuse(c)
		return false
	}
	if !c.phase.CompareAndSwap(from, inProgress) {
		c.unreserve()
		return false
	}
	return true
}

// unreserve ends the count of c among the requests in progress.
func (c *conn) unreserve() { c.limiter.reserved.Add(-c.reserved.Swap(0)) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.phase.Store(closed)
	c.limiter.remove(c)
	return c.Conn.Close()
}

// CloseWrite lets the server deliver a response before it closes a connection with unread data.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
