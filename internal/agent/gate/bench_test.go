package gate

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipegw/internal/wire"
)

const maxLatencyMicros = 10_000_000

// benchCallers are the numbers of concurrent callers: the slots of one worker, and
// all connections of a service on one worker.
var benchCallers = []int{8, 60}

var benchBody = bytes.Repeat([]byte("x"), 256)

// runCallers runs b.N calls in the given number of goroutines and reports latency
// percentiles, throughput and CPU time per call.
func runCallers(b *testing.B, callers int, call func() error) {
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var mu sync.Mutex
	total := hdrhistogram.New(1, maxLatencyMicros, 3)
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	cpu := processorTime(b)
	for range callers {
		wg.Go(func() {
			h := hdrhistogram.New(1, maxLatencyMicros, 3)
			for remaining.Add(-1) >= 0 {
				begun := time.Now()
				if err := call(); err != nil {
					b.Error(err)
					return
				}
				_ = h.RecordValue(time.Since(begun).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(total.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(total.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(0, "ns/op")
}

// processorTime returns the CPU time of this process, which depends less on the
// load of the machine than latency does.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	requireNoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func newEchoServer(b *testing.B) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	b.Cleanup(s.Close)
	return s
}

// BenchmarkDirect calls the backend server directly, as a baseline.
func BenchmarkDirect(b *testing.B) {
	for _, callers := range benchCallers {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := newEchoServer(b)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			runCallers(b, callers, func() error {
				resp, err := client.Post(s.URL, "text/plain", bytes.NewReader(benchBody))
				if err != nil {
					return err
				}
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				return err
			})
		})
	}
}

// BenchmarkAgent calls the same backend server through transport and gate.
func BenchmarkAgent(b *testing.B) {
	for _, callers := range benchCallers {
		for _, idempotent := range []bool{true, false} {
			b.Run(fmt.Sprintf("callers=%d/idempotent=%v", callers, idempotent), func(b *testing.B) {
				benchAgent(b, callers, idempotent)
			})
		}
	}
}

func benchAgent(b *testing.B, callers int, idempotent bool) {
	s := newEchoServer(b)
	r := newHarness(b)
	defer r.close()
	announced := Announcement{Service: "svc", Address: s.Listener.Addr().String(), Slots: callers, Instance: "i"}
	requireNoError(b, r.gate.Announce(announced))
	stop := keepAnnounced(r.gate, announced)
	defer stop()
	runCallers(b, callers, func() error { return r.benchCall(idempotent) })
}

func (r *harness) benchCall(idempotent bool) error {
	h := newHead(wire.RequestHead{Idempotent: idempotent, Header: []wire.HeaderField{{Name: "Content-Type", Value: "text/plain"}}}, string(benchBody))
	s, done, err := r.pool.Open(r.ctx, r.server.Addr(), wire.KindRequest, h)
	if err != nil {
		return err
	}
	defer done()
	var admission wire.Admission
	if !idempotent { // an entry waits for the admission too, see package forward
		if err := s.Flush(); err != nil {
			return err
		}
		if err := s.Receive(&admission); err != nil {
			err = fmt.Errorf("admission: %w", err)
			return err
		}
	}
	w := s.BodyWriter(false)
	_, _ = w.Write(benchBody)
	_ = w.Close()
	_ = s.CloseWrite()
	if idempotent {
		if err := s.Receive(&admission); err != nil {
			err = fmt.Errorf("admission: %w", err)
			return err
		}
	}
	if admission.Fault != nil {
		return admission.Fault.Err()
	}
	var response wire.ResponseHead
	if err := s.Receive(&response); err != nil {
		err = fmt.Errorf("head: %w", err)
		return err
	}
	if response.Fault != nil {
		return response.Fault.Err()
	}
	n, err := io.Copy(io.Discard, s.Body())
	if err == nil && n != int64(len(benchBody)) {
		err = fmt.Errorf("%d bytes came back", n)
	}
	return err
}

// keepAnnounced repeats an announcement, so that it does not expire, until the
// returned function is called.
func keepAnnounced(g *Gate, a Announcement) func() {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				_ = g.Announce(a)
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
