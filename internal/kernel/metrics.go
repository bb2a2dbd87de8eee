package kernel

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Durations are kept in microseconds up to ten minutes with two digits.
	maxDurationUS  = 600_000_000
	durationDigits = 2
)

// quantiles of a histogram that are served.
var quantiles = []float64{0.5, 0.9, 0.99}

// Metrics are the counters and latency histograms of the process.
var Metrics MetricSet

// MetricSet holds counters and histograms by name and labels. The zero value is
// ready for use.
type MetricSet struct {
	mu         sync.Mutex
	counters   map[string]uint64
	histograms map[string]*hdrhistogram.Histogram
}

// series returns name{k="v",...}; labels are pairs of a name and a value.
func series(name string, labels []string) string {
	var b strings.Builder
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	return name + "{" + b.String() + "}"
}

// Count adds one to a counter. Labels are pairs of a name and a value, of which
// there must be few different ones.
func (m *MetricSet) Count(name string, labels ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counters == nil {
		m.counters = make(map[string]uint64)
	}
	m.counters[series(name, labels)]++
}

// Observe adds a duration to a histogram.
func (m *MetricSet) Observe(d time.Duration, name string, labels ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.histograms == nil {
		m.histograms = make(map[string]*hdrhistogram.Histogram)
	}
	key := series(name, labels)
	h := m.histograms[key]
	if h == nil {
		h = hdrhistogram.New(1, maxDurationUS, durationDigits)
		m.histograms[key] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxDurationUS)) // always in range
}

// WriteText writes all series, one line each, histograms as quantiles in seconds
// with their count.
func (m *MetricSet) WriteText(w io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(m.counters)) {
		fmt.Fprintf(w, "%s %d\n", key, m.counters[key])
	}
	for _, key := range slices.Sorted(maps.Keys(m.histograms)) {
		h := m.histograms[key]
		name, labels, _ := strings.Cut(strings.TrimSuffix(key, "}"), "{")
		if labels != "" {
			labels += ","
		}
		for _, q := range quantiles {
			fmt.Fprintf(w, "%s{%squantile=\"%g\"} %g\n", name, labels, q, float64(h.ValueAtQuantile(100*q))/1e6)
		}
		fmt.Fprintf(w, "%s_count{%s} %d\n", name, strings.TrimSuffix(labels, ","), h.TotalCount())
	}
}

// ServeHTTP implements http.Handler.
func (m *MetricSet) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.WriteText(w)
}
