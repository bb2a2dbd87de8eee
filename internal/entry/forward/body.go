package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"snipegw/internal/result"
)

// maxBufferedBodyBytes bounds the request bodies that are held in memory, so that the
// request can be sent again to another worker.
const maxBufferedBodyBytes = 64 << 10

// ErrCallerDisconnected is returned when the caller's connection failed.
var ErrCallerDisconnected = errors.New("forward: the caller is gone")

var bodyBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, 4<<10)) }}

// body is the body of a request: wholly buffered if it is small, else a prefix
// and the rest of the stream.
type body struct {
	buffer *bytes.Buffer
	rest   io.Reader // nil if the buffer holds everything
	// consumed is set once a part of rest was read; the request can then not
	// be sent again.
	consumed bool
	length   int64 // -1 if unknown
}

// readBody reads up to maxBufferedBodyBytes of src. Length is -1 if unknown, limit
// bounds the whole body.
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

// replayable reports whether the body can be sent (again) from its start.
func (b *body) replayable() bool { return !b.consumed }

// errBodyTooLarge reports that a streamed body exceeded its limit after a part of
// it was sent.
var errBodyTooLarge = errors.New("forward: the streamed body exceeds its limit")

// writeTo writes the whole body to w. Errors of the source are wrapped in
// sourceError.
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

// sourceError tells a fault of the caller's body from one of the worker.
type sourceError struct{ err error }

func (e *sourceError) Error() string { return e.err.Error() }
func (e *sourceError) Unwrap() error { return e.err }

type sourceReader struct{ r io.Reader }

func (s sourceReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil && err != io.EOF {
		err = &sourceError{err}
	}
	return n, err
}
