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
	It("serves counters and quantiles by series", func() {
		var m MetricSet
		m.Count("calls_total", "kind", "get", "code", "100")
		m.Count("calls_total", "kind", "get", "code", "100")
		for i := 1; i <= 100; i++ {
			m.Observe(time.Duration(i)*time.Millisecond, "call_seconds", "kind", "get")
		}
		var out bytes.Buffer
		m.WriteText(&out)
		Expect(out.String()).To(ContainSubstring(`calls_total{kind="get",code="100"} 2`))
		Expect(out.String()).To(MatchRegexp(`call_seconds\{kind="get",quantile="0.5"\} 0\.050`))
		Expect(out.String()).To(ContainSubstring(`call_seconds_count{kind="get"} 100`))
	})
})

// stalled is a writer that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

var _ = Describe("DropWriter", func() {
	It("never blocks on a reader that has stopped, and counts what it drops", func() {
		w := &stalled{release: make(chan struct{})}
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

	It("goes on when the other side fails", func() {
		d := NewDropWriter(failing{})
		_, err := io.WriteString(d, "line\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Close()).To(Succeed())
	})
})

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("closed") }
