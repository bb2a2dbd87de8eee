package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Frame types. A frame consists of a type byte, a 4-byte big-endian payload length
// and the payload.
const (
	frameMessage byte = 1 // one CBOR message
	frameBody    byte = 2 // a piece of a body
	frameEnd     byte = 3 // end of a body: its 8-byte big-endian length
	frameFault   byte = 4 // a CBOR wire.Fault in place of a message
)

const (
	frameHeaderBytes = 5
	endPayloadBytes  = 8
	// maxBodyFrameBytes limits the payload of one body frame.
	maxBodyFrameBytes = 64 << 10
	// streamBufferBytes is the size of the read and write buffers of a stream.
	// Request and response heads are shorter and bodies bypass the buffers; larger
	// buffers cost more in garbage collection than they save.
	streamBufferBytes = 1 << 10
)

// Error codes with which a stream is reset.
const (
	resetAborted quic.StreamErrorCode = 1
)

// ErrTruncatedBody is returned for a truncated body: it ends without an end frame,
// or its length differs from the length in the end frame.
var ErrTruncatedBody = errors.New("transport: truncated body")

// Stream carries the messages and bodies of one call. It is not safe for
// concurrent use, except that one goroutine may read while another writes.
type Stream struct {
	carrier callCarrier
	br      *bufio.Reader
	bw      *bufio.Writer
	// tcp is the state of a call over TCP, nil for a call over QUIC.
	tcp *tcpCall
	// lastBody is the latest body reader. It may use br until the end of the body.
	lastBody *bodyReader
	// writeClosed is set when CloseWrite has finished, after which nothing uses bw.
	writeClosed atomic.Bool
	released    atomic.Bool
}

// Pools of the buffers of QUIC streams.
var (
	readBuffers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}
	writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, streamBufferBytes) }}
)

func newStream(qs *quic.Stream) *Stream {
	s := &Stream{carrier: quicCarrier{qs}, br: readBuffers.Get().(*bufio.Reader), bw: writeBuffers.Get().(*bufio.Writer)}
	s.br.Reset(qs)
	s.bw.Reset(qs)
	return s
}

// releaseBuffers returns unused buffers to their pools after the call has ended. It
// returns true only the first time. A buffer that another goroutine may still use,
// because a body was not read to its end or the sending direction was not closed,
// is left to the garbage collector.
func (s *Stream) releaseBuffers() bool {
	if s.released.Swap(true) {
		return false
	}
	if s.tcp != nil {
		return true // the buffers belong to the connection
	}
	if s.lastBody == nil || s.lastBody.complete.Load() {
		s.br.Reset(nil)
		readBuffers.Put(s.br)
		s.br = nil // a late use must not read the data of another call
	}
	if s.writeClosed.Load() {
		s.bw.Reset(nil)
		writeBuffers.Put(s.bw)
		s.bw = nil
	}
	return true
}

// SetDeadline sets the deadline of all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.carrier.SetDeadline(t) }

// Context returns a context that is cancelled when the peer resets the stream or
// the connection closes.
func (s *Stream) Context() context.Context { return s.carrier.Context() }

// encodeBuffers pools the buffers in which messages are encoded.
var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Send writes a message and flushes it.
func (s *Stream) Send(v any) error {
	if err := s.SendBuffered(v); err != nil {
		return err
	}
	return s.bw.Flush()
}

// SendBuffered buffers a message, which is sent with the next flush.
func (s *Stream) SendBuffered(v any) error {
	buf := encodeBuffers.Get().(*bytes.Buffer)
	defer encodeBuffers.Put(buf)
	buf.Reset()
	if err := wire.MarshalTo(buf, v); err != nil {
		return err
	}
	return s.writeFrame(frameMessage, buf.Bytes())
}

// SendFault writes err as a fault frame instead of a message and flushes it.
func (s *Stream) SendFault(err error) error {
	data, encodeErr := wire.Marshal(wire.FaultOf(err))
	if encodeErr != nil {
		return encodeErr
	}
	if writeErr := s.writeFrame(frameFault, data); writeErr != nil {
		return writeErr
	}
	return s.bw.Flush()
}

// Flush sends buffered data.
func (s *Stream) Flush() error { return s.bw.Flush() }

func (s *Stream) writeFrame(frameType byte, payload []byte) error {
	if s.tcp != nil {
		s.tcp.recordSent(frameType)
	}
	if s.bw.Available() < frameHeaderBytes {
		if err := s.bw.Flush(); err != nil {
			return err
		}
	}
	head := append(s.bw.AvailableBuffer(), frameType)
	head = binary.BigEndian.AppendUint32(head, uint32(len(payload)))
	if _, err := s.bw.Write(head); err != nil {
		return err
	}
	_, err := s.bw.Write(payload)
	return err
}

func (s *Stream) readHeader() (frameType byte, length int, err error) {
	head, err := s.br.Peek(frameHeaderBytes)
	if err != nil {
		if err == io.EOF && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	frameType, length = head[0], int(binary.BigEndian.Uint32(head[1:]))
	_, err = s.br.Discard(frameHeaderBytes)
	return frameType, length, err
}

// Receive reads a message into v. A fault frame instead of a message is returned as
// a *result.Error.
func (s *Stream) Receive(v any) error {
	frameType, length, err := s.readHeader()
	if err != nil {
		return err
	}
	if length > wire.MaxMessageBytes {
		return fmt.Errorf("transport: message of %d bytes exceeds the limit of %d", length, wire.MaxMessageBytes)
	}
	if frameType != frameMessage && frameType != frameFault {
		return fmt.Errorf("transport: received a frame of type %d, expected a message", frameType)
	}
	if length <= streamBufferBytes {
		return s.decodeBuffered(frameType, length, v)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(s.br, data); err != nil {
		return err
	}
	return decode(frameType, data, v)
}

// decodeBuffered decodes a short message directly from the read buffer. The decoder
// copies the data that it keeps.
func (s *Stream) decodeBuffered(frameType byte, length int, v any) error {
	data, err := s.br.Peek(length)
	if err != nil {
		if err == io.EOF && len(data) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	err = decode(frameType, data, v)
	_, _ = s.br.Discard(length)
	return err
}

// decode decodes a message into v, or returns the error that a fault frame carries.
func decode(frameType byte, data []byte, v any) error {
	if frameType == frameMessage {
		return wire.Unmarshal(data, v)
	}
	var f wire.Fault
	if err := wire.Unmarshal(data, &f); err != nil {
		return err
	}
	return f.Err()
}

// BodyWriter returns a writer for a body. Its Close writes the end frame and
// flushes; the peer reads a body that is not closed as truncated. If flushEach is
// set, every Write is flushed.
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

// Close writes the end frame and flushes.
func (w *bodyWriter) Close() error {
	var end [endPayloadBytes]byte
	binary.BigEndian.PutUint64(end[:], w.total)
	if err := w.s.writeFrame(frameEnd, end[:]); err != nil {
		return err
	}
	return w.s.bw.Flush()
}

// Body returns a reader for the next body. It returns io.EOF only after an end
// frame with the right length, and ErrTruncatedBody for a truncated body.
func (s *Stream) Body() io.Reader {
	s.lastBody = &bodyReader{s: s}
	return s.lastBody
}

type bodyReader struct {
	s              *Stream
	frameBytesLeft int // bytes left of the current frame
	total          uint64
	complete       atomic.Bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for r.frameBytesLeft == 0 {
		if r.complete.Load() {
			return 0, io.EOF
		}
		if err := r.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := r.s.br.Read(p[:min(len(p), r.frameBytesLeft)])
	r.frameBytesLeft -= n
	r.total += uint64(n)
	if err != nil {
		return n, truncatedBodyError(err)
	}
	return n, nil
}

func (r *bodyReader) nextFrame() error {
	frameType, length, err := r.s.readHeader()
	if err != nil {
		return truncatedBodyError(err)
	}
	switch {
	case frameType == frameBody && length <= maxBodyFrameBytes:
		r.frameBytesLeft = length
		return nil
	case frameType == frameEnd && length == endPayloadBytes:
		return r.readEnd()
	}
	return fmt.Errorf("%w: unexpected frame of type %d with %d bytes", ErrTruncatedBody, frameType, length)
}

func (r *bodyReader) readEnd() error {
	end, err := r.s.br.Peek(endPayloadBytes)
	if err != nil {
		return truncatedBodyError(err)
	}
	total := binary.BigEndian.Uint64(end)
	_, _ = r.s.br.Discard(endPayloadBytes)
	if total != r.total {
		return fmt.Errorf("%w: received %d bytes, expected %d", ErrTruncatedBody, r.total, total)
	}
	if r.s.tcp != nil {
		r.s.tcp.bodyReceived()
	}
	r.complete.Store(true)
	return nil
}

func truncatedBodyError(err error) error {
	return fmt.Errorf("%w: %w", ErrTruncatedBody, err)
}

// CloseWrite flushes and ends the sending direction. It is not an error if the peer
// has stopped reading, since it may have replied already; the caller learns the
// outcome when it reads.
func (s *Stream) CloseWrite() error {
	if s.writeClosed.Load() {
		return nil
	}
	if err := s.bw.Flush(); err != nil && !stoppedByPeer(err) {
		return err
	}
	_ = s.carrier.Close() // fails only if the direction is closed already
	s.writeClosed.Store(true)
	return nil
}

// stoppedByPeer reports whether err means that the peer has stopped reading the
// stream.
func stoppedByPeer(err error) bool {
	var se *quic.StreamError
	return errors.As(err, &se) && se.Remote
}

// Close flushes and ends the call in both directions. Unread data of the peer is
// discarded.
func (s *Stream) Close() error {
	s.carrier.stopReading()
	return s.CloseWrite()
}

// endTruncated ends the call without an end frame, so that the peer sees a
// truncated body. Unlike a reset, it delivers the data sent before, such as an
// admission with its ticket.
func (s *Stream) endTruncated() {
	if s.tcp != nil {
		s.tcp.truncated = true
	}
	_ = s.Close()
}

// Abort resets the stream in both directions. The peer sees a truncated body.
func (s *Stream) Abort() {
	s.carrier.abort()
}

// CallError is the error of a call that failed without a reply. It says whether the
// peer may have received the call.
type CallError struct {
	Address string
	// Sent is false only if no byte of the call was sent, so that the peer cannot
	// have acted on it.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Sent {
		return fmt.Sprintf("call to %s failed after it was sent: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("call to %s failed before it was sent: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotRun reports whether err guarantees that the peer did not execute the call: it
// was not sent, or the peer replied with a code that guarantees it.
func NotRun(err error) bool {
	var ce *CallError
	if errors.As(err, &ce) {
		return !ce.Sent
	}
	var re *result.Error
	return errors.As(err, &re) && re.Code.NotRun()
}
