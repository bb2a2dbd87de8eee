package kernel

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logQueueLines is the number of log lines that wait for a slow reader.
const logQueueLines = 2048

// DropWriter passes lines on to another writer without ever blocking its caller.
// When the other writer is too slow, lines are dropped and counted.
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

// Write implements io.Writer. It never fails.
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

// Close writes what waits and returns.
func (d *DropWriter) Close() error {
	close(d.lines)
	<-d.done
	return nil
}

func (d *DropWriter) run(w io.Writer) {
	defer close(d.done)
	reported := uint64(0)
	for line := range d.lines {
		_, _ = w.Write(line) // there is nowhere left to report a failure to
		if n := d.dropped.Load(); n > reported && len(d.lines) < logQueueLines/2 {
			fmt.Fprintf(w, "time=%s level=warn event=log_lines_dropped lines=%d total=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n-reported, n)
			reported = n
		}
	}
}
