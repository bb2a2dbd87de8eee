package kernel

import (
	"bytes"
	"errors"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("metrics", func() {
	It("writes counters, gauges and quantiles by series", func() {
		var m MetricSet
		m.Count("calls_total", "kind", "get", "code", "100")
		m.Count("calls_total", "kind", "get", "code", "100")
		for i := 1; i <= 100; i++ {
			m.Observe(time.Duration(i)*time.Millisecond, "call_seconds", "kind", "get")
		}
		m.Set(3, "kept", "kind", "get")
		m.Set(1.5, "kept", "kind", "get")
		var out bytes.Buffer
		m.WriteText(&out)
		Expect(out.String()).To(ContainSubstring(`calls_total{kind="get",code="100"} 2`))
		Expect(out.String()).To(ContainSubstring(`kept{kind="get"} 1.5`))
		Expect(out.String()).To(MatchRegexp(`call_seconds\{kind="get",quantile="0.5"\} 0\.050`))
		Expect(out.String()).To(ContainSubstring(`call_seconds_count{kind="get"} 100`))
	})
})

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

var _ = Describe("DropWriter", func() {
	It("never blocks on a stalled writer and counts dropped lines", func() {
		w := &stalledWriter{release: make(chan struct{})}
		d := NewDropWriter(w)
		for range 3 * logQueueLines {
			n, err := d.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(5))
		}
		Expect(d.Dropped()).To(BeNumerically(">=", logQueueLines))
		close(w.release)
		Expect(d.Close()).To(Succeed())
		Expect(w.out.String()).To(ContainSubstring("event=log_lines_dropped"))
	})

	It("accepts lines when the underlying writer fails", func() {
		d := NewDropWriter(failingWriter{})
		_, err := io.WriteString(d, "line\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Close()).To(Succeed())
	})
})

// failingWriter is a writer whose every write fails.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }
