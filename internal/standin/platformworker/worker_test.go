package platformworker

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// post calls a worker as its agent does and returns the status and the response.
func post(g *GomegaWithT, w *Worker, path string, body map[string]any) (int, map[string]any) {
	data, err := json.Marshal(body)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post("http://"+w.Addr()+path, "application/json", bytes.NewReader(data))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var reply map[string]any
	g.Expect(json.NewDecoder(resp.Body).Decode(&reply)).To(Succeed())
	return resp.StatusCode, reply
}

func startBody(g *GomegaWithT, p Payload, run int, leaseMS int64) map[string]any {
	payload, err := json.Marshal(p)
	g.Expect(err).NotTo(HaveOccurred())
	return map[string]any{"task": "j.0.0.0", "runId": run, "spec": string(payload), "deadlineMs": 1000 + leaseMS, "fencingToken": 1}
}

func postStart(g *GomegaWithT, w *Worker, run int, leaseMS int64) {
	status, _ := post(g, w, "/api/run-start", startBody(g, Payload{MS: 60_000}, run, leaseMS))
	g.Expect(status).To(Equal(http.StatusOK))
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

// Guards against a system that tells incarnations apart by a field that workers of the
// platform do not send: only the response to a hold says when the incarnation started.
func TestOnlyHoldsTellTheBirth(t *testing.T) {
	g := NewWithT(t)
	w, err := NewPool().Add("a", "r", "s")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = w.Close() })
	start := startBody(g, Payload{MS: 60_000}, 2, 60_000)
	for _, path := range []string{"/api/run-start", "/api/run-stop", "/api/hold"} {
		status, reply := post(g, w, path, start)
		g.Expect(status).To(Equal(http.StatusOK), path)
		g.Expect(reply).To(HaveKey("timestampMs"), path)
		if path == "/api/hold" {
			g.Expect(reply).To(HaveKeyWithValue("born", BeNumerically("==", w.incarnationStart.UnixMilli())))
		} else {
			g.Expect(reply).To(HaveLen(1), path)
		}
	}
	status, reply := post(g, w, "/api/run-start", start)
	g.Expect(status).To(Equal(http.StatusConflict))
	g.Expect(reply).To(And(HaveLen(2), HaveKeyWithValue("reason", "old"), HaveKey("timestampMs")))
}

// Guards against tests in which the instance id alone tells a worker's incarnations apart: after a
// restart under its id, a worker must accept orders that were meant for the former incarnation.
func TestRestartKeepsTheID(t *testing.T) {
	g := NewWithT(t)
	p := NewPool()
	w, err := p.Add("a", "r", "s")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = w.Close() })
	type announcement struct {
		path string
		Born int64
		Seq  int
	}
	announced := make(chan announcement, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		a := announcement{path: r.URL.Path}
		_ = json.NewDecoder(r.Body).Decode(&a)
		announced <- a
	}))
	t.Cleanup(agent.Close)
	go w.Announce(t.Context(), agent.Listener.Addr().String())
	var before announcement
	g.Eventually(announced).Should(Receive(&before))
	start := startBody(g, Payload{MS: 1}, 5, 60_000)
	start["fencingToken"] = 9
	status, _ := post(g, w, "/api/run-start", start)
	g.Expect(status).To(Equal(http.StatusOK))
	hold := map[string]any{"fencingToken": 9, "waitMs": 2000}
	_, first := post(g, w, "/api/hold", hold)
	start["runId"], start["spec"] = 6, `{"ms":60000}`
	status, _ = post(g, w, "/api/run-start", start)
	g.Expect(status).To(Equal(http.StatusOK))

	w.Restart(50 * time.Millisecond)
	_, err = net.Dial("tcp", w.Addr())
	g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	g.Expect(p.RunOutcomes("j.0.0.0")).To(Equal([]string{"done", "gone"}))
	after := before
	for after.Born == before.Born {
		g.Eventually(announced).Should(Receive(&after))
	}
	g.Expect(after).To(Equal(announcement{before.path, after.Born, 1}))
	status, _ = post(g, w, "/api/run-start", startBody(g, Payload{MS: 1}, 3, 60_000))
	g.Expect(status).To(Equal(http.StatusOK), "a lower run and fencing token are accepted")
	_, second := post(g, w, "/api/hold", map[string]any{"fencingToken": 1, "waitMs": 2000})
	g.Expect(second["born"]).To(BeNumerically(">", first["born"]))
	g.Expect(second["endedRuns"]).To(Equal([]any{[]any{1.0, "j.0.0.0", 3.0, "done", ""}}))
}

// Guards against a check that counts the crashes of an item wrongly: a start is a violation from the
// third one after three crashes on. Items that only run on a crashing worker do not count.
func TestStartsOfAnItemThatCrashesWorkers(t *testing.T) {
	g := NewWithT(t)
	p := NewPool()
	w, err := p.Add("a", "r", "s")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = w.Close() })
	for run := 1; run <= 7; run++ {
		innocent := startBody(g, Payload{MS: 60_000}, run, 60_000)
		innocent["task"] = "k.0.0.0"
		g.Eventually(func() error {
			c, err := net.Dial("tcp", w.Addr())
			if err == nil {
				_ = c.Close()
			}
			return err
		}).Should(Succeed())
		for _, start := range []map[string]any{innocent, startBody(g, Payload{MS: 60_000, CrashMS: 20, DownMS: 20}, run, 60_000)} {
			status, _ := post(g, w, "/api/run-start", start)
			g.Expect(status).To(Equal(http.StatusOK))
		}
		g.Expect(p.Violations()).To(HaveLen(max(0, run-5)), "after start %d", run)
		g.Eventually(func() []string { return p.RunOutcomes("j.0.0.0") }).Should(HaveEach("gone"))
	}
}

// Guards against tests in which runs outlive the longest lease that the platform grants: a deadline
// of the former incarnation's clock may be far ahead on the clock of the next one.
func TestLongLeasesAreShortened(t *testing.T) {
	g := NewWithT(t)
	p := NewPool()
	w, err := p.Add("a", "r", "s")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = w.Close() })
	postStart(g, w, 1, 600_000)
	_, _ = post(g, w, "/api/hold", map[string]any{"fencingToken": 1, "deadlineMs": 600_000})
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(w.leaseEndMS).To(And(BeNumerically(">", 1000), BeNumerically("<=", w.clockMS()+maxHoldMS)))
}
