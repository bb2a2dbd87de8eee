package transport

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
)

// carrier is what a call runs on: a QUIC stream, or a TCP connection for the
// time of the call. The buffers of Stream read from it and write to it.
type carrier interface {
	SetDeadline(t time.Time) error
	// Context ends when the peer resets the call or the connection ends.
	Context() context.Context
	// Close ends the sending direction.
	Close() error
	stopReading()
	// abort ends both directions at once.
	abort()
}

type quicCarrier struct{ *quic.Stream }

func (c quicCarrier) stopReading() { c.CancelRead(resetAborted) }

func (c quicCarrier) abort() {
	c.CancelRead(resetAborted)
	c.CancelWrite(resetAborted)
}
