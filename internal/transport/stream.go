package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Frame types. A frame is a type byte, a 4-byte big-endian length and the
// payload.
const (
	frameMessage byte = 1 // one CBOR message
	frameBody    byte = 2 // a piece of a body
	frameEnd     byte = 3 // end of a body: 8-byte big-endian total
	frameFault   byte = 4 // a CBOR wire.Fault in place of a message
)

const (
	frameHeaderBytes = 5
	endPayloadBytes  = 8
	// maxBodyFrameBytes bounds one body frame.
	maxBodyFrameBytes = 64 << 10
	// streamBufferBytes is the size of the buffers of a stream. Heads are shorter
	// and bodies bypass the buffers; larger ones cost more in garbage collection
	// than they save.
	streamBufferBytes = 1 << 10
)

// Codes with which a stream is reset.
const (
	resetAborted quic.StreamErrorCode = 1
)

// ErrBroken is returned when a body ends before its end frame or with another
// length than the end frame states.
var ErrBroken = errors.New("transport: body broken off before its end")

// Stream is one call. It is not safe for concurrent use, except that one
// goroutine may read while another writes.
type Stream struct {
	qs *quic.Stream
	br *bufio.Reader
	bw *bufio.Writer
}

func newStream(qs *quic.Stream) *Stream {
	return &Stream{
		qs: qs,
		br: bufio.NewReaderSize(qs, streamBufferBytes),
		bw: bufio.NewWriterSize(qs, streamBufferBytes),
	}
}

// SetDeadline bounds all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.qs.SetDeadline(t) }

// Context ends when the peer resets the stream or the connection ends.
func (s *Stream) Context() context.Context { return s.qs.Context() }

// Send writes a message and flushes it.
func (s *Stream) Send(v any) error {
	if err := s.SendBuffered(v); err != nil {
		return err
	}
	return s.bw.Flush()
}

// SendBuffered writes a message that goes out with the next flush.
func (s *Stream) SendBuffered(v any) error {
	data, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeFrame(frameMessage, data)
}

// SendFault writes err in place of a message and flushes it.
func (s *Stream) SendFault(err error) error {
	data, merr := wire.Marshal(wire.FaultOf(err))
	if merr != nil {
		return merr
	}
	if werr := s.writeFrame(frameFault, data); werr != nil {
		return werr
	}
	return s.bw.Flush()
}

// Flush sends what is buffered.
func (s *Stream) Flush() error { return s.bw.Flush() }

func (s *Stream) writeFrame(kind byte, payload []byte) error {
	var head [frameHeaderBytes]byte
	head[0] = kind
	binary.BigEndian.PutUint32(head[1:], uint32(len(payload)))
	if _, err := s.bw.Write(head[:]); err != nil {
		return err
	}
	_, err := s.bw.Write(payload)
	return err
}

func (s *Stream) readHeader() (kind byte, length int, err error) {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.br, head[:]); err != nil {
		return 0, 0, err
	}
	return head[0], int(binary.BigEndian.Uint32(head[1:])), nil
}

// Receive reads a message into v. A fault sent in its place is returned as a
// *result.Error.
func (s *Stream) Receive(v any) error {
	kind, length, err := s.readHeader()
	if err != nil {
		return err
	}
	if length > wire.MaxMessageBytes {
		return fmt.Errorf("transport: message of %d bytes exceeds the limit of %d", length, wire.MaxMessageBytes)
	}
	if kind != frameMessage && kind != frameFault {
		return fmt.Errorf("transport: frame of type %d in place of a message", kind)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(s.br, data); err != nil {
		return err
	}
	if kind == frameMessage {
		return wire.Unmarshal(data, v)
	}
	var f wire.Fault
	if err := wire.Unmarshal(data, &f); err != nil {
		return err
	}
	return f.Err()
}

// BodyWriter returns the writer of a body. Close writes the end frame and
// flushes; a body that is not closed is broken for the reader. flushEach makes
// every Write visible to the peer at once.
func (s *Stream) BodyWriter(flushEach bool) io.WriteCloser {
	return &bodyWriter{s: s, flushEach: flushEach}
}

type bodyWriter struct {
	s         *Stream
	flushEach bool
	total     uint64
}

// Write implements io.Writer.
func (w *bodyWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), maxBodyFrameBytes)]
		if err := w.s.writeFrame(frameBody, piece); err != nil {
			return written, err
		}
		written += len(piece)
		p = p[len(piece):]
	}
	w.total += uint64(written)
	if w.flushEach {
		return written, w.s.bw.Flush()
	}
	return written, nil
}

// Close writes the end frame.
func (w *bodyWriter) Close() error {
	var end [endPayloadBytes]byte
	binary.BigEndian.PutUint64(end[:], w.total)
	if err := w.s.writeFrame(frameEnd, end[:]); err != nil {
		return err
	}
	return w.s.bw.Flush()
}

// Body returns the reader of the body that comes next. It returns io.EOF only
// after an end frame with the right length, and ErrBroken for a body that
// breaks off.
func (s *Stream) Body() io.Reader { return &bodyReader{s: s} }

type bodyReader struct {
	s     *Stream
	left  int // bytes left of the current frame
	total uint64
	done  bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for r.left == 0 {
		if r.done {
			return 0, io.EOF
		}
		if err := r.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := r.s.br.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.total += uint64(n)
	if err != nil {
		return n, brokenBody(err)
	}
	return n, nil
}

func (r *bodyReader) nextFrame() error {
	kind, length, err := r.s.readHeader()
	if err != nil {
		return brokenBody(err)
	}
	switch {
	case kind == frameBody && length <= maxBodyFrameBytes:
		r.left = length
		return nil
	case kind == frameEnd && length == endPayloadBytes:
		return r.readEnd()
	}
	return fmt.Errorf("%w: frame of type %d with %d bytes", ErrBroken, kind, length)
}

func (r *bodyReader) readEnd() error {
	var end [endPayloadBytes]byte
	if _, err := io.ReadFull(r.s.br, end[:]); err != nil {
		return brokenBody(err)
	}
	if total := binary.BigEndian.Uint64(end[:]); total != r.total {
		return fmt.Errorf("%w: %d bytes in place of %d", ErrBroken, r.total, total)
	}
	r.done = true
	return nil
}

func brokenBody(err error) error {
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// CloseWrite ends the sending direction after a flush.
func (s *Stream) CloseWrite() error {
	if err := s.bw.Flush(); err != nil {
		return err
	}
	return s.qs.Close()
}

// Close ends the call in both directions after a flush. Unread data of the
// peer is refused.
func (s *Stream) Close() error {
	s.qs.CancelRead(resetAborted)
	return s.CloseWrite()
}

// Abort resets the stream in both directions; the peer sees a broken body.
func (s *Stream) Abort() {
	s.qs.CancelRead(resetAborted)
	s.qs.CancelWrite(resetAborted)
}

// CallError tells whether a failed call may have reached the peer.
type CallError struct {
	Address string
	// Sent is false only if no byte of the call left this process, so that the
	// peer cannot have acted on it.
	Sent bool
	Err  error
}

// Error describes the call.
func (e *CallError) Error() string {
	if e.Sent {
		return fmt.Sprintf("call to %s failed after it was sent: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("call to %s failed before it was sent: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotSent reports whether err proves that the peer never saw the call: it could
// not be sent, or the peer answered with a code that says not run.
func NotSent(err error) bool {
	var ce *CallError
	if errors.As(err, &ce) {
		return !ce.Sent
	}
	var re *result.Error
	return errors.As(err, &re) && re.Code.NotRun()
}
