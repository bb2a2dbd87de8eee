package transport

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
)

// callCarrier is the connection under the buffers of a Stream: a QUIC stream, or a
// pooled TCP connection for the duration of one call.
type callCarrier interface {
	// SetDeadline sets the deadline of reads and writes.
	SetDeadline(t time.Time) error
	// Context is cancelled when the peer resets the call or the connection closes.
	Context() context.Context
	// Close ends the sending direction.
	Close() error
	// stopReading refuses further data of the peer.
	stopReading()
	// abort ends both directions immediately and discards unsent data.
	abort()
}

// quicCarrier is the callCarrier of a call over QUIC.
type quicCarrier struct{ *quic.Stream }

func (c quicCarrier) stopReading() { c.CancelRead(resetAborted) }

func (c quicCarrier) abort() {
	c.CancelRead(resetAborted)
	c.CancelWrite(resetAborted)
}
