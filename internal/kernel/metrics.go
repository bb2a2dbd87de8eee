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
	// Histograms record durations in microseconds, up to ten minutes, with two
	// significant digits.
	maxDurationUS  = 600_000_000
	durationDigits = 2
)

// quantiles lists the quantiles that are exported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Metrics holds the counters, gauges and latency histograms of the process.
var Metrics MetricSet

// MetricSet holds counters, gauges and histograms by name and labels. The zero value is
// ready for use.
type MetricSet struct {
	mu         sync.Mutex
	counters   map[string]uint64
	sums       map[string]float64
	gauges     map[string]float64
	histograms map[string]*hdrhistogram.Histogram
}

// seriesKey returns the key of a time series, name{k="v",...}. labels alternates
// label names and values.
func seriesKey(name string, labels []string) string {
	var b strings.Builder
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	return name + "{" + b.String() + "}"
}

// Count adds one to a counter. labels alternates label names and values. Each
// label must have few different values, since every combination is kept as a
// series.
func (m *MetricSet) Count(name string, labels ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counters == nil {
		m.counters = make(map[string]uint64)
	}
	m.counters[seriesKey(name, labels)]++
}

// Add adds a value, which must not be negative, to a sum. labels is as for Count.
func (m *MetricSet) Add(value float64, name string, labels ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sums == nil {
		m.sums = make(map[string]float64)
	}
	m.sums[seriesKey(name, labels)] += value
}

// Set sets a gauge. labels is as for Count.
func (m *MetricSet) Set(value float64, name string, labels ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gauges == nil {
		m.gauges = make(map[string]float64)
	}
	m.gauges[seriesKey(name, labels)] = value
}

// Observe records the duration d in a histogram. labels is as for Count.
func (m *MetricSet) Observe(d time.Duration, name string, labels ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.histograms == nil {
		m.histograms = make(map[string]*hdrhistogram.Histogram)
	}
	key := seriesKey(name, labels)
	h := m.histograms[key]
	if h == nil {
		h = hdrhistogram.New(1, maxDurationUS, durationDigits)
		m.histograms[key] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxDurationUS)) // fails only for a value out of range
}

// WriteText writes a line for each counter, sum and gauge, and for each histogram a line per
// quantile, in seconds, and a line with its count.
func (m *MetricSet) WriteText(w io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(m.counters)) {
		fmt.Fprintf(w, "%s %d\n", key, m.counters[key])
	}
	for _, key := range slices.Sorted(maps.Keys(m.sums)) {
		fmt.Fprintf(w, "%s %g\n", key, m.sums[key])
	}
	for _, key := range slices.Sorted(maps.Keys(m.gauges)) {
		fmt.Fprintf(w, "%s %g\n", key, m.gauges[key])
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
