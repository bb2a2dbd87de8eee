package transport

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"snipegw/internal/wire"
)

// FuzzFrames guards against a panic or an endless read on malformed input from a
// peer, and against a truncated body without an end frame that is reported as
// complete.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{frameMessage, 0, 0, 0, 1, 0xa0, frameBody, 0, 0, 0, 1, 'x', frameEnd, 0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Add([]byte{frameFault, 0, 0, 0, 1, 0xa0})
	f.Add([]byte{frameBody, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &Stream{br: bufio.NewReader(bytes.NewReader(data))}
		_ = s.Receive(&wire.Admission{})
		if _, err := io.ReadAll(s.Body()); err == nil && !bytes.Contains(data, []byte{frameEnd, 0, 0, 0, 8}) {
			t.Fatal("a body without an end frame was reported as complete")
		}
	})
}
