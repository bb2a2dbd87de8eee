package intake

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipegw/internal/result"
)

const (
	// Latencies are kept in microseconds up to one minute with two digits.
	maxLatencyUS    = 60_000_000
	latencyDigits   = 2
	latencyQuantile = 100
)

// Counters count outcomes by operation and code, with their latencies. The zero
// value is ready for use.
type Counters struct {
	mu        sync.Mutex
	outcomes  map[string]uint64
	latencies map[string]*hdrhistogram.Histogram
}

func (c *Counters) add(operation string, code result.Code, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		c.outcomes = make(map[string]uint64)
		c.latencies = make(map[string]*hdrhistogram.Histogram)
	}
	c.outcomes[fmt.Sprintf("operation=%q,code=%q", operation, code)]++
	h := c.latencies[operation]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
		c.latencies[operation] = h
	}
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxLatencyUS)) // always in range
}

// WriteText writes the counters, one line each.
func (c *Counters) WriteText(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range slices.Sorted(maps.Keys(c.outcomes)) {
		fmt.Fprintf(w, "snipegw_caller_operations_total{%s} %d\n", k, c.outcomes[k])
	}
	for _, k := range slices.Sorted(maps.Keys(c.latencies)) {
		for _, q := range []float64{50, 90, 99} {
			fmt.Fprintf(w, "snipegw_caller_latency_seconds{operation=%q,quantile=\"%g\"} %g\n", k, q/latencyQuantile, float64(c.latencies[k].ValueAtQuantile(q))/1e6)
		}
	}
}
