package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"snipegw/internal/result"
)

// maxBufferedBodyBytes is the maximum size of a request body that is held in memory
// whole, so that the request can be sent again to another worker.
const maxBufferedBodyBytes = 64 << 10

// ErrCallerDisconnected is returned when the caller canceled the request or its
// connection failed.
var ErrCallerDisconnected = errors.New("forward: the caller disconnected")

var bodyBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, 4<<10)) }}

// body is the body of a request: a buffer with all of it if it is small, otherwise a
// buffer with its first part and a reader of the rest.
type body struct {
	buffer *bytes.Buffer
	rest   io.Reader // nil if the buffer holds the whole body
	// consumed is set once a part of rest may have been read. The request can then
	// not be sent again.
	consumed bool
	length   int64 // -1 if unknown
}

// readBody reads up to maxBufferedBodyBytes of src. The length is that of the whole
// body, or -1 if unknown, and limit its maximum; both are in bytes. It fails with
// result.BodyTooLarge, with the error of src if that has a code, or with
// ErrCallerDisconnected.
func readBody(src io.Reader, length, limit int64) (*body, error) {
	if length > limit {
		return nil, result.Errorf(result.BodyTooLarge, "the body of %d bytes exceeds the limit of %d; send a smaller one", length, limit)
	}
	b := &body{buffer: bodyBuffers.Get().(*bytes.Buffer), length: length}
	b.buffer.Reset()
	if length == 0 || src == nil {
		b.length = 0
		return b, nil
	}
	n, err := io.CopyN(b.buffer, src, maxBufferedBodyBytes)
	switch {
	case errors.Is(err, io.EOF):
		if length >= 0 && n != length {
			b.returnBuffer()
			return nil, ErrCallerDisconnected
		}
		b.length = n
	case err != nil:
		b.returnBuffer()
		if result.HasCode(err) {
			return nil, err
		}
		return nil, fmt.Errorf("%w: %w", ErrCallerDisconnected, err)
	case n == length:
	default:
		b.rest = src
	}
	if int64(b.buffer.Len()) > limit {
		b.returnBuffer()
		return nil, result.Errorf(result.BodyTooLarge, "the body exceeds the limit of %d bytes; send a smaller one", limit)
	}
	return b, nil
}

func (b *body) returnBuffer() {
	bodyBuffers.Put(b.buffer)
	b.buffer = nil
}

// replayable reports whether the body can still be sent from its start.
func (b *body) replayable() bool { return !b.consumed }

// errBodyTooLarge is returned when a streamed body exceeds its limit after a part
// of it was sent.
var errBodyTooLarge = errors.New("forward: the streamed body exceeds its limit")

// writeTo writes the whole body to w. Errors in reading the body from the caller
// are wrapped in sourceError.
func (b *body) writeTo(w io.Writer, limit int64) error {
	if b.buffer.Len() > 0 {
		if _, err := w.Write(b.buffer.Bytes()); err != nil {
			return err
		}
	}
	if b.rest == nil {
		return nil
	}
	b.consumed = true
	left := limit - int64(b.buffer.Len())
	n, err := io.Copy(w, sourceReader{io.LimitReader(b.rest, left+1)})
	if err != nil {
		return err
	}
	if n > left {
		return &sourceError{errBodyTooLarge}
	}
	return nil
}

// sourceError marks an error in reading the caller's body, as opposed to an error in
// writing to the worker.
type sourceError struct{ err error }

func (e *sourceError) Error() string { return e.err.Error() }
func (e *sourceError) Unwrap() error { return e.err }

// sourceReader wraps the errors of r in sourceError.
type sourceReader struct{ r io.Reader }

func (s sourceReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil && err != io.EOF {
		err = &sourceError{err}
	}
	return n, err
}
