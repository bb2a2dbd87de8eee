package kernel

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logQueueLines is the number of log lines queued for a slow destination.
const logQueueLines = 2048

// DropWriter writes lines to another writer in the background and never blocks
// its caller. Lines are dropped and counted while its queue is full.
type DropWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewDropWriter returns a DropWriter that writes to w until Close.
func NewDropWriter(w io.Writer) *DropWriter {
	d := &DropWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go d.run(w)
	return d
}

// Write implements io.Writer. It queues a copy of line, or drops the line if the
// queue is full. It never fails.
func (d *DropWriter) Write(line []byte) (int, error) {
	select {
	case d.lines <- append([]byte(nil), line...):
	default:
		d.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (d *DropWriter) Dropped() uint64 { return d.dropped.Load() }

// Close writes the queued lines and waits until they are written. Write must not
// be called afterwards.
func (d *DropWriter) Close() error {
	close(d.lines)
	<-d.done
	return nil
}

// run writes queued lines to w. After lines have been dropped and once the queue
// is less than half full, it also writes the number of dropped lines.
func (d *DropWriter) run(w io.Writer) {
	defer close(d.done)
	reported := uint64(0)
	for line := range d.lines {
		_, _ = w.Write(line) // a failing log destination cannot be reported anywhere
		if n := d.dropped.Load(); n > reported && len(d.lines) < logQueueLines/2 {
			fmt.Fprintf(w, "time=%s level=warn event=log_lines_dropped lines=%d total=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n-reported, n)
			reported = n
		}
	}
}
