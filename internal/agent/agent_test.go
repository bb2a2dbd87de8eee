package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

func TestAgent(t *testing.T) {
	log.SetLevel(log.FatalLevel)
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // the machine may be busy
	RunSpecs(t, "agent")
}

func init() {
	workerapi.Plugins.Register("fake", func(workerapi.Settings) (workerapi.WorkerAPI, error) { return newFakeWorker("w0"), nil })
}

// fakeWorker implements workerapi.WorkerAPI. Its tasks run until they are stopped;
// leases do not expire.
type fakeWorker struct {
	id    string
	mu    sync.Mutex
	tasks map[string]workerapi.Task
}

func newFakeWorker(id string) *fakeWorker {
	return &fakeWorker{id: id, tasks: map[string]workerapi.Task{}}
}

func (w *fakeWorker) Worker(context.Context) (model.Worker, error) {
	return model.Worker{ID: w.id, Rack: "r1", Capacity: model.Resources{Accelerators: 8}}, nil
}

func (w *fakeWorker) Tasks(context.Context) ([]workerapi.Task, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []workerapi.Task
	for _, t := range w.tasks {
		out = append(out, t)
	}
	return out, nil
}

func (w *fakeWorker) Run(_ context.Context, t workerapi.Task, lease time.Duration) (workerapi.Task, error) {
	t.State, t.LeaseMS, t.StartedMS = workerapi.TaskRunning, lease.Milliseconds(), time.Now().UnixMilli()
	return w.updateTask(t.ID, func(old *workerapi.Task) { *old = t })
}

func (w *fakeWorker) Renew(_ context.Context, id string, lease time.Duration) (workerapi.Task, error) {
	return w.updateTask(id, func(t *workerapi.Task) { t.LeaseMS = lease.Milliseconds() })
}

func (w *fakeWorker) Checkpoint(_ context.Context, id string) (workerapi.Task, error) {
	return w.updateTask(id, func(*workerapi.Task) {})
}

func (w *fakeWorker) Stop(_ context.Context, id string) (workerapi.Task, error) {
	return w.updateTask(id, func(t *workerapi.Task) { t.State = workerapi.TaskStopped })
}

func (w *fakeWorker) Throttle(context.Context, string, float64) error  { return nil }
func (w *fakeWorker) Usage(context.Context) ([]workerapi.Usage, error) { return nil, nil }
func (w *fakeWorker) task(id string) workerapi.Task {
	t, _ := w.updateTask(id, func(*workerapi.Task) {})
	return t
}
func (w *fakeWorker) updateTask(id string, f func(*workerapi.Task)) (workerapi.Task, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[id]
	f(&t)
	w.tasks[id] = t
	return t, nil
}

// fakeEntry records the heartbeats that it receives and offers configuration
// version 3.
type fakeEntry struct {
	mu      sync.Mutex
	states  map[string]wire.WorkerState
	events  map[string][]wire.GangEvent
	leaving map[string]bool
}

func (e *fakeEntry) heartbeat(_ context.Context, hb *wire.Heartbeat) (*wire.HeartbeatReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if hb.State != nil {
		e.states[hb.Worker] = *hb.State
	}
	e.leaving[hb.Worker] = hb.Leaving
	reply := &wire.HeartbeatReply{ConfigVersion: 3}
	for _, ev := range hb.Events {
		e.events[hb.Worker] = append(e.events[hb.Worker], ev)
		reply.AckedEventSeq = ev.Seq
	}
	return reply, nil
}

func (e *fakeEntry) config(context.Context, *wire.ConfigFetch) (*wire.ConfigReply, error) {
	return &wire.ConfigReply{Version: 3, Document: []byte(`{"version":3,"teams":[{"id":"red","token_hashes":["secret"]}]}`)}, nil
}

func (e *fakeEntry) state(worker string) wire.WorkerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states[worker]
}

func (e *fakeEntry) hasLeft(worker string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving[worker]
}

func (e *fakeEntry) outcomes(worker string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, ev := range e.events[worker] {
		out = append(out, ev.Outcome)
	}
	return out
}

const settingsFormat = `{"region":"r","failure_domain":"a","address":%q,"local_http_address":"127.0.0.1:0","entries":[%q],
"worker_api":{"type":"fake","address":"127.0.0.1:1"},"security":{"mode":"development"}}`

var _ = Describe("agent", func() {
	var (
		ctx    context.Context
		entry  *fakeEntry
		server *transport.Server
		pool   *transport.Pool
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 30*time.Second)
		creds, err := transport.NewCredentials(transport.Security{Mode: transport.ModeDevelopment})
		Expect(err).NotTo(HaveOccurred())
		entry = &fakeEntry{states: map[string]wire.WorkerState{}, events: map[string][]wire.GangEvent{}, leaving: map[string]bool{}}
		mux := new(transport.Mux)
		mux.Handle(wire.KindHeartbeat, transport.Unary(entry.heartbeat))
		mux.Handle(wire.KindConfigFetch, transport.Unary(entry.config))
		server, err = transport.Listen("127.0.0.1:0", creds, mux)
		Expect(err).NotTo(HaveOccurred())
		pool, err = transport.NewPool("127.0.0.1:0", creds)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			cancel()
			_ = pool.Close()
			_ = server.Close()
		})
	})

	startAgent := func(w *fakeWorker, address string) *Agent {
		GinkgoHelper()
		var s Settings
		Expect(kernel.ParseSettings(fmt.Appendf(nil, settingsFormat, address, server.Addr()), &s)).To(Succeed())
		a, err := New(s, w)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Start(ctx)).To(Succeed())
		return a
	}
	call := func(a *Agent, kind wire.Kind, msg any) error {
		return pool.Call(ctx, a.Addr(), kind, msg, &wire.Ack{})
	}
	post := func(a *Agent, path, body string) int {
		resp, err := http.Post("http://"+a.LocalAddr()+path, "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		return resp.StatusCode
	}
	announce := func(a *Agent, backend *httptest.Server) {
		GinkgoHelper()
		body := fmt.Sprintf(`{"service":"svc","address":%q,"slots":8,"instance":"i"}`, backend.Listener.Addr())
		Expect(post(a, "/v1/announce", body)).To(Equal(http.StatusOK))
	}

	It("reports every invalid setting by its path in one error", func() {
		// "securty" stands for a misspelled key, which must be reported as unknown.
		err := kernel.ParseSettings([]byte(`{"address":"nohost","local_http_address":"10.0.0.1:80","entries":[],"worker_api":{"type":"none","address":"x"},"securty":1}`), &Settings{})
		for _, path := range []string{"region", "failure_domain", "address", "local_http_address", "entries", "worker_api", "securty", "security"} {
			Expect(err).To(MatchError(ContainSubstring(path)))
		}
	})

	It("runs a gang on two agents through a planned restart of both and reports its end", func() {
		workers := []*fakeWorker{newFakeWorker("w0"), newFakeWorker("w1")}
		agents := []*Agent{startAgent(workers[0], "127.0.0.1:0"), startAgent(workers[1], "127.0.0.1:0")}
		var members []wire.Member
		for i, a := range agents {
			Eventually(func() string { return entry.state(workers[i].id).Incarnation }).ShouldNot(BeEmpty())
			order := wire.Order{Epoch: 1, Incarnation: entry.state(workers[i].id).Incarnation}
			members = append(members, wire.Member{Worker: workers[i].id, Address: a.Addr(), Incarnation: order.Incarnation, Ranks: []int{i}})
			Expect(call(a, wire.KindReserve, &wire.Reserve{Order: order, Job: "j", Attempt: 1, Ranks: []int{i}, PerTask: model.Resources{Accelerators: 8}, TTLMS: 3000})).To(Succeed())
		}
		start := &wire.StartGang{Order: wire.Order{Epoch: 1, Incarnation: members[0].Incarnation}, Job: model.Job{ID: "j"}, Attempt: 1, Members: members}
		Expect(call(agents[0], wire.KindStartGang, start)).To(Succeed())
		Eventually(func() []string { return entry.outcomes("w0") }).Should(Equal([]string{"running"}))
		stale := &wire.StopGang{Order: wire.Order{Epoch: 0, Incarnation: members[0].Incarnation}, Job: "j", Attempt: 1}
		Expect(result.CodeOf(call(agents[0], wire.KindStopGang, stale))).To(Equal(result.Fenced))
		for i, a := range agents {
			Expect(a.Stop(ctx)).To(Succeed())
			Expect(entry.hasLeft(workers[i].id)).To(BeTrue())
			agents[i] = startAgent(workers[i], a.Addr())
		}
		Eventually(func() []string { return entry.outcomes("w0") }).Should(Equal([]string{"running", "running"}))
		for i, w := range workers {
			Expect(w.task(fmt.Sprintf("j/1/%d", i)).State).To(Equal(workerapi.TaskRunning))
			_, _ = w.updateTask(fmt.Sprintf("j/1/%d", i), func(t *workerapi.Task) { t.State = workerapi.TaskDone })
		}
		Eventually(func() []string { return entry.outcomes("w0") }, "5s").Should(Equal([]string{"running", "running", "done"}))
		for _, a := range agents {
			Expect(a.arbiter.Free().Accelerators).To(Equal(8))
			Expect(a.Stop(ctx)).To(Succeed())
		}
	})

	It("finishes requests in progress during a stop and refuses new ones", func() {
		release := make(chan struct{})
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-release; _, _ = io.WriteString(w, "done") }))
		defer backend.Close()
		a := startAgent(newFakeWorker("w0"), "127.0.0.1:0")
		announce(a, backend)
		Eventually(func() []wire.ServiceState { return entry.state("w0").Services }).Should(Equal([]wire.ServiceState{{Service: "svc", Slots: 8, Healthy: true}}))
		request := func() (*transport.Stream, wire.Admission) {
			s, _, err := pool.Open(ctx, a.Addr(), wire.KindRequest, &wire.RequestHead{Team: "red", Service: "svc", Method: "POST", Target: "/", TimeoutMS: 20_000})
			Expect(err).NotTo(HaveOccurred())
			Expect(s.BodyWriter(false).Close()).To(Succeed())
			var admission wire.Admission
			Expect(s.Receive(&admission)).To(Succeed())
			return s, admission
		}
		s, admission := request()
		Expect(admission.Fault).To(BeNil())
		stopped := make(chan error, 1)
		go func() { stopped <- a.Stop(ctx) }()
		Eventually(func() bool { return entry.state("w0").Stopping }).Should(BeTrue())
		_, refused := request()
		Expect(refused.Fault.Code).To(Equal(result.Draining))
		Expect(stopped).NotTo(Receive())
		close(release)
		var head wire.ResponseHead
		Expect(s.Receive(&head)).To(Succeed())
		Expect(io.ReadAll(s.Body())).To(BeEquivalentTo("done"))
		Eventually(stopped, "10s").Should(Receive(BeNil()))
	})

	It("serves its state, metrics and health without secrets", func() {
		a := startAgent(newFakeWorker("w0"), "127.0.0.1:0")
		defer func() { _ = a.Stop(ctx) }()
		Eventually(func() uint64 { return entry.state("w0").ConfigVersion }).Should(Equal(uint64(3)))
		Expect(post(a, "/v1/announce", `{"service":"svc"}`)).To(Equal(http.StatusBadRequest))
		for _, path := range []string{"/debug/state", "/debug/vars", "/healthz"} {
			resp, err := http.Get("http://" + a.LocalAddr() + path)
			Expect(err).NotTo(HaveOccurred())
			data, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusOK), path)
			Expect(string(data)).NotTo(ContainSubstring("secret"))
			if path == "/debug/state" {
				var dump map[string]any
				Expect(json.Unmarshal(data, &dump)).To(Succeed())
				Expect(dump).To(HaveKey("gangs"))
			}
		}
	})
})
