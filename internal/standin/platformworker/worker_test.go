package platformworker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func postStart(g *GomegaWithT, w *Worker, run int, leaseMS int64) {
	payload, err := json.Marshal(Payload{MS: 60_000})
	g.Expect(err).NotTo(HaveOccurred())
	body, err := json.Marshal(map[string]any{"task": "j.0.0.0", "runId": run, "spec": string(payload), "deadlineMs": 1000 + leaseMS, "fencingToken": 1})
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post("http://"+w.Addr()+"/api/run-start", "application/json", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Guards against a check for simultaneous runs of an item that misses a run on a worker
// without calls, or that still counts the run after the worker's lease has expired.
func TestLeaseEndsOnASilentWorker(t *testing.T) {
	for _, c := range []struct {
		wait       time.Duration
		violations int
	}{{0, 1}, {400 * time.Millisecond, 0}} {
		g := NewWithT(t)
		p := NewPool()
		var workers []*Worker
		for _, node := range []string{"a", "b"} {
			w, err := p.Add(node, "r", "s")
			g.Expect(err).NotTo(HaveOccurred())
			workers = append(workers, w)
			t.Cleanup(func() { _ = w.Close() })
		}
		postStart(g, workers[0], 1, 300)
		time.Sleep(c.wait)
		postStart(g, workers[1], 2, 60_000)
		g.Expect(p.Violations()).To(HaveLen(c.violations), "after %v", c.wait)
	}
}
