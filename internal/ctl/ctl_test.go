package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

const configDocument = `{"version":4,"teams":[{"id":"a","weight":2,"guarantees":[{"count":1,"tasks":2,"accelerators_per_task":8,"adjacent":"rack"}]}],"weights":{"completion_time":1,"fragmentation":0},"limits":{},"patches":[{"id":"p9","version":4,"time":"2026-01-02T03:04:05Z","author":"ana"}]}`

// fakeEntry serves fixed responses and result codes, both by "METHOD path".
type fakeEntry struct {
	mu        sync.Mutex
	responses map[string]string
	codes     map[string]result.Code
	// lostResponses is the number of next calls whose response is lost, by
	// "METHOD path".
	lostResponses map[string]int
	calls         []string
	headers       []http.Header
	body          string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := r.Method + " " + r.URL.Path
	e.calls = append(e.calls, key)
	e.headers = append(e.headers, r.Header.Clone())
	data, _ := io.ReadAll(r.Body)
	e.body = string(data)
	if e.lostResponses[key] > 0 {
		e.lostResponses[key]--
		panic(http.ErrAbortHandler)
	}
	if code, ok := e.codes[key]; ok {
		w.Header().Set(headerCode, fmt.Sprint(int(code)))
		w.WriteHeader(code.Info().Status)
		_ = json.NewEncoder(w).Encode(map[string]any{"code": code, "name": code.String(), "message": "message from the entry"})
		return
	}
	if strings.Contains(key, "/request/") && r.Method == http.MethodPost {
		w.Header().Set(headerTicket, "w1/i1/7")
		w.WriteHeader(http.StatusEarlyHints)
	}
	response, ok := e.responses[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"code":212,"message":"no such path"}`))
		return
	}
	_, _ = w.Write([]byte(response))
}

// recorded returns the calls so far, their headers and the body of the last one.
func (e *fakeEntry) recorded() ([]string, []http.Header, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls, e.headers, e.body
}

func (e *fakeEntry) lastBody() string {
	_, _, body := e.recorded()
	return body
}

var _ = Describe("snipegwctl", func() {
	var (
		e      *fakeEntry
		server *httptest.Server
		out    bytes.Buffer
		errs   bytes.Buffer
	)
	BeforeEach(func() {
		out.Reset()
		errs.Reset()
		e = &fakeEntry{codes: map[string]result.Code{}, lostResponses: map[string]int{}, responses: map[string]string{
			"GET /v1/config":                configDocument,
			"POST /v1/config/patch":         `{"code":101,"version":5,"message":"patch p is accepted as version 5"}`,
			"GET /v1/config/status":         `{"version":4,"in_force":2,"total":3,"missing":["agent w9"]}`,
			"POST /v1/jobs":                 `{"job":{"id":"j1","team":"a"},"state":"queued","reason":{"rule":"accepted","sentence":"Recorded."}}`,
			"GET /v1/jobs":                  `{"jobs":[{"job":{"id":"j1","team":"a","class":"urgent","shape":{"tasks":2,"accelerators_per_task":8,"adjacent":"rack"}},"state":"running","reason":{"rule":"placed"}}],"epoch":3}`,
			"GET /v1/jobs/done":             `{"job":{"id":"done"},"state":"done"}`,
			"GET /v1/jobs/failed":           `{"job":{"id":"failed"},"state":"failed","reason":{"sentence":"Task 0 failed."}}`,
			"GET /v1/jobs/queued":           `{"job":{"id":"queued"},"state":"queued"}`,
			"GET /v1/jobs/j1/explain":       `{"job":"j1","state":"queued","reason":{"rule":"waiting","sentence":"Waits for rack r1.","fields":{"rack":"r1"}}}`,
			"POST /v1/jobs:cancel":          `{"results":[{"id":"j1","code":101,"name":"accepted"},{"id":"j2","code":208,"name":"unknown_job"}]}`,
			"GET /v1/workers":               `{"workers":[{"state":{"worker":{"id":"w1","rack":"r1","capacity":{"accelerators":8}},"draining":true},"health":"alive"}]}`,
			"POST /v1/workers/w1/drain":     `{"worker":"w1","action":"drain"}`,
			"GET /v1/status":                `{"config":{"version":4,"in_force":3,"total":3},"planner":{"entry":"e1","epoch":7},"workers":{"alive":2},"jobs":{"running":1},"guarantees_not_packed":["a"],"entries":{"e1":{"health":"alive"}},"services":{"s":{"workers":1}}}`,
			"GET /debug/state":              `{"entry":{}}`,
			"GET /v1/services/s/request/x":  "body of x",
			"POST /v1/services/s/request/x": "ordered",
			"POST /v1/services/s/tickets":   `{"ticket":"w1/i1/9"}`,
			"GET /v1/tickets/w1/i1/9":       "recorded",
			"GET /v1/jobs/refused":          `{"job":{"id":"refused"},"state":"refused"}`,
		}}
		server = httptest.NewServer(e)
		DeferCleanup(server.Close)
	})
	run := func(args ...string) int {
		env := Env{Stdin: strings.NewReader("j1\nj2\n"), Stdout: &out, Stderr: &errs, Version: "v1", Getenv: func(name string) string {
			return map[string]string{"SNIPEGW_ADDRESS": server.Listener.Addr().String(), "SNIPEGW_TOKEN": "secret"}[name]
		}}
		return Run(context.Background(), args, env)
	}
	file := func(text string) string {
		name := filepath.Join(GinkgoT().TempDir(), "f.json")
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		return name
	}

	DescribeTable("prints readable output and exits with the documented status",
		func(want int, text string, args ...string) {
			Expect(run(args...)).To(Equal(want), errs.String())
			Expect(out.String() + errs.String()).To(ContainSubstring(text))
		},
		Entry("version", ExitOK, "snipegwctl v1", "--version"),
		Entry("help", ExitOK, "Exit status", "--help"),
		Entry("help of a command", ExitOK, "Example", "config", "wait", "--help"),
		Entry("unknown command", ExitUsage, "usage", "fly"),
		Entry("missing argument", ExitUsage, "JOB", "job", "status"),
		Entry("unexpected argument", ExitUsage, "unexpected", "status", "x"),
		Entry("invalid address", ExitUsage, "host:port", "--address", "ftp://x", "status"),
		Entry("missing file", ExitUsage, "no such file", "config", "patch", "/nonexistent/f"),
		Entry("unreachable entry", ExitRefused, "entry_unreachable", "--address", "127.0.0.1:1", "status"),
		Entry("config get", ExitOK, `"version": 4`, "config", "get"),
		Entry("config history", ExitOK, "ana", "config", "history"),
		Entry("config status", ExitOK, "in force on 2 of 3", "config", "status"),
		Entry("config wait", ExitNotYet, "agent w9", "config", "wait", "--for", "1ms"),
		Entry("team list", ExitOK, "1 of 2x8/rack", "team", "list"),
		Entry("shape list", ExitOK, "rack", "shape", "list"),
		Entry("shape list as JSON", ExitOK, "\"adjacent\"", "shape", "list", "--json"),
		Entry("job submit", ExitOK, "Recorded.", "job", "submit", "--id", "j1", "--tasks", "2", "--", "run", "--flag"),
		Entry("job list", ExitOK, "2x8/rack", "job", "list"),
		Entry("job status", ExitOK, "state    queued", "job", "status", "queued"),
		Entry("job explain", ExitOK, "rack=r1", "job", "explain", "j1"),
		Entry("unknown job", ExitRefused, "no such path", "job", "status", "none"),
		Entry("job wait, done", ExitOK, "done", "job", "wait", "done"),
		Entry("job wait, failed", ExitFailed, "Task 0 failed.", "job", "wait", "failed"),
		Entry("job wait, refused", ExitRefused, "impossible_shape", "job", "wait", "refused"),
		Entry("job wait, not yet", ExitNotYet, "queued", "job", "wait", "queued", "--for", "1ms"),
		Entry("job cancel", ExitRefused, "unknown_job", "job", "cancel", "-"),
		Entry("worker list", ExitOK, "draining", "worker", "list"),
		Entry("worker drain", ExitOK, "carried out", "worker", "drain", "w1"),
		Entry("status", ExitOK, "GUARANTEES NOT PACKED: a", "status"),
		Entry("request", ExitOK, "body of x", "request", "s", "/x"),
		Entry("ticket", ExitOK, "recorded", "ticket", "w1/i1/9"),
		Entry("JSON", ExitOK, `"epoch": 7`, "--json", "status"),
	)

	DescribeTable("derives the exit status from the result code",
		func(code result.Code, want int) {
			e.codes["POST /v1/config/patch"] = code
			Expect(run("config", "patch", "--base", "4", file(`{"weights":{}}`))).To(Equal(want))
			Expect(errs.String()).To(ContainSubstring("message from the entry"))
		},
		Entry("refused", result.WrongBaseVersion, ExitRefused),
		Entry("unknown", result.PatchOutcomeUnknown, ExitUnknown),
		Entry("not in force yet", result.ConfigNotInForceYet, ExitNotYet),
		Entry("internal error", result.Internal, ExitUnknown),
	)

	// Guards against a second patch or job after the response to the first was lost.
	It("retries a call whose response was lost with the same id", func() {
		e.lostResponses["POST /v1/config/patch"] = 1
		Expect(run("config", "patch", "--id", "p1", file(`[{"op":"remove","path":"/policy"}]`))).To(Equal(ExitOK))
		Expect(e.lastBody()).To(ContainSubstring(`"id":"p1","base_version":4,"type":"json-patch"`))
		e.lostResponses["POST /v1/jobs"] = 100
		Expect(run("job", "submit", "--id", "j7")).To(Equal(ExitUnknown))
		Expect(errs.String()).To(ContainSubstring("--id j7"))
	})

	// Guards against a request that runs twice, and against a request whose response and
	// ticket are both lost, so that its outcome cannot be found.
	It("does not retry a request, and prints its ticket before the response", func() {
		e.lostResponses["POST /v1/services/s/request/x"] = 1
		Expect(run("request", "s", "x", "-X", "POST", "-d", "b", "--take-ticket")).To(Equal(ExitUnknown))
		Expect(errs.String()).To(ContainSubstring("ticket w1/i1/9"))
		seen, _, _ := e.recorded()
		Expect(seen).To(Equal([]string{"POST /v1/services/s/tickets", "POST /v1/services/s/request/x"}))
		errs.Reset()
		Expect(run("request", "s", "x", "-X", "POST", "-d", "b")).To(Equal(ExitOK))
		Expect(strings.Count(errs.String(), "ticket w1/i1/7")).To(Equal(1))
	})

	It("patches and compares whole documents", func() {
		edited := file(strings.Replace(configDocument, `"weight":2`, `"weight":3`, 1))
		Expect(run("config", "diff", edited)).To(Equal(ExitOK))
		Expect(out.String()).To(Equal("- /teams/0/weight 2\n+ /teams/0/weight 3\n"))
		Expect(run("config", "patch", "--document", edited, "--dry-run")).To(Equal(ExitOK))
		Expect(e.lastBody()).To(ContainSubstring(`"base_version":4`))
		Expect(e.lastBody()).NotTo(ContainSubstring(`"patches"`))
	})

	// Guards against a patch that is rejected since only one of the two documents
	// has the patch history: an entry that learned the configuration from an agent
	// returns a document without it.
	It("compares documents with and without the patch history", func() {
		withoutHistory := strings.Replace(configDocument[:strings.Index(configDocument, `,"patches"`)]+"}", `"weight":2`, `"weight":3`, 1)
		full := strings.Replace(configDocument, `"weight":2`, `"weight":3`, 1)
		for current, edited := range map[string]string{configDocument: withoutHistory, strings.Replace(withoutHistory, `"weight":3`, `"weight":2`, 1): full} {
			e.responses["GET /v1/config"] = current
			out.Reset()
			Expect(run("config", "diff", file(edited))).To(Equal(ExitOK))
			Expect(out.String()).To(Equal("- /teams/0/weight 2\n+ /teams/0/weight 3\n"))
			Expect(run("config", "patch", "--document", file(edited))).To(Equal(ExitOK))
			Expect(e.lastBody()).NotTo(ContainSubstring(`"patches"`))
		}
		Expect(run("config", "diff", file("null"))).To(Equal(ExitUsage))
	})

	// Guards against a token that is sent to a process other than the entry.
	It("sends the token to the entry only", func() {
		Expect(run("status")).To(Equal(ExitOK))
		_, headers, _ := e.recorded()
		Expect(headers[0].Get("Authorization")).To(Equal("Bearer secret"))
		Expect(run("dump", server.Listener.Addr().String())).To(Equal(ExitOK))
		_, headers, _ = e.recorded()
		Expect(headers[1].Get("Authorization")).To(BeEmpty())
	})

	It("watches until it is interrupted", func() {
		ctx, cancel := context.WithCancel(context.Background())
		e.mu.Lock()
		e.responses["GET /v1/jobs"] = `{"jobs":[]}`
		e.mu.Unlock()
		w := writerFunc(func(p []byte) (int, error) {
			if strings.Contains(string(p), "JOB") {
				cancel()
			}
			return len(p), nil
		})
		status := Run(ctx, []string{"--address", server.Listener.Addr().String(), "job", "list", "--watch"},
			Env{Stdout: w, Stderr: io.Discard, Getenv: func(string) string { return "" }})
		Expect(status).To(Equal(ExitOK))
	})
})

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
