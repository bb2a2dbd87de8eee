package httpapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/config"
	"snipegw/internal/entry/forward"
	"snipegw/internal/entry/router"
	"snipegw/internal/kernel"
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// step is the behavior of a fake agent for one request.
type step string

const (
	answer            step = "answers"
	answerLate        step = "answers after 100 ms"
	full              step = "refuses as full"
	draining          step = "refuses as draining"
	badTicket         step = "refuses the ticket"
	breakBefore       step = "breaks off before admission"
	hangBefore        step = "hangs before admission"
	breakAfter        step = "breaks off after admission"
	hang              step = "hangs after admission"
	backendRefuses    step = "cannot connect to its backend server"
	backendBreaks     step = "loses its backend server during the run"
	breakInBody       step = "breaks off within the response body"
	breakInSmallBody  step = "breaks off within a small response body"
	answerServerError step = "answers with status 500"
	fakeIncarnation        = "0000000000000000a"
	fakeResponse           = "whole response of "
	fakeService            = "pricing"
	teamToken              = "token of team a"
	operatorToken          = "token of the operator"
	lateAnswerDelay        = 100 * time.Millisecond
	callTimeout            = 20 * time.Second
)

// fakeAgents is a set of agents that share one script: the n-th request to any of them
// follows the n-th step, and requests after the last step follow the last step.
type fakeAgents struct {
	mu       sync.Mutex
	script   []step
	runs     atomic.Int64
	received atomic.Int64
	pool     *transport.Pool
	view     atomic.Pointer[members.View]
	bodies   sync.Map // request body by request id
}

func (f *fakeAgents) nextStep() step {
	n := int(f.received.Add(1)) - 1
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.script[min(n, len(f.script)-1)]
}

func (f *fakeAgents) View() *members.View      { return f.view.Load() }
func (f *fakeAgents) Changed() <-chan struct{} { return nil }

// startAgents starts n agents, of which only the first ones, as many as reachable,
// listen.
func startAgents(n, reachable int, script ...step) *fakeAgents {
	f := &fakeAgents{script: script}
	creds, err := transport.NewCredentials(transport.Security{Mode: transport.ModeDevelopment})
	Expect(err).NotTo(HaveOccurred())
	view := &members.View{Generation: 1, Workers: make(map[string]*members.Worker)}
	for i := range n {
		srv, err := transport.Listen("127.0.0.1:0", creds, transport.HandlerFunc(f.serve))
		Expect(err).NotTo(HaveOccurred())
		if i >= reachable {
			Expect(srv.Close()).To(Succeed())
		} else {
			ginkgo.DeferCleanup(srv.Close)
		}
		id := fmt.Sprint("w", i)
		view.Workers[id] = &members.Worker{Health: members.Alive, State: wire.WorkerState{
			Worker:      model.Worker{ID: id, Rack: "r", FailureDomain: "f", Capacity: model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}},
			Incarnation: fakeIncarnation, Seq: 1, Address: srv.Addr(),
			Services: []wire.ServiceState{{Service: fakeService, Slots: 8, Healthy: true}},
		}}
	}
	f.view.Store(view)
	f.pool, err = transport.NewPool("127.0.0.1:0", creds)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(f.pool.Close)
	return f
}

func (f *fakeAgents) serve(_ context.Context, kind wire.Kind, s *transport.Stream) error {
	if kind != wire.KindRequest {
		return result.Errorf(result.NotFound, "kind %d", kind)
	}
	var head wire.RequestHead
	if err := s.Receive(&head); err != nil {
		return err
	}
	st := f.nextStep()
	refuse := func(code result.Code) error {
		return s.Send(&wire.Admission{Fault: wire.FaultOf(result.Errorf(code, "scripted"))})
	}
	switch st {
	case full:
		return refuse(result.WorkerFull)
	case draining:
		return refuse(result.Draining)
	case badTicket:
		return refuse(result.BadTicket)
	case breakBefore:
		return io.ErrUnexpectedEOF
	case hangBefore:
		<-s.Context().Done()
		return io.ErrUnexpectedEOF
	}
	admission := &wire.Admission{FreeSlots: 7}
	if !head.Idempotent {
		admission.Ticket = "w0/" + fakeIncarnation + "/1"
	}
	if err := s.Send(admission); err != nil {
		return err
	}
	body, err := io.ReadAll(s.Body())
	if err != nil {
		return err
	}
	if st == backendRefuses {
		return s.Send(&wire.ResponseHead{Fault: wire.FaultOf(result.Errorf(result.BackendUnavailable, "scripted"))})
	}
	f.runs.Add(1)
	f.bodies.Store(head.ID, string(body))
	return f.respond(st, &head, s)
}

func (f *fakeAgents) respond(st step, head *wire.RequestHead, s *transport.Stream) error {
	status := http.StatusOK
	switch st {
	case breakAfter:
		return io.ErrUnexpectedEOF
	case hang:
		<-s.Context().Done()
		return io.ErrUnexpectedEOF
	case backendBreaks:
		return s.Send(&wire.ResponseHead{Fault: wire.FaultOf(result.Errorf(result.OutcomeUnknown, "scripted"))})
	case answerLate:
		time.Sleep(lateAnswerDelay) // the script asks for a late answer
	case answerServerError:
		status = http.StatusInternalServerError
	}
	text := fakeResponse + head.Target
	if st == breakInBody {
		// Larger than the flow control windows of a stream, so that the stream breaks
		// after the entry has read the head: a reset overtakes data in transit.
		text = strings.Repeat(text, 1<<16)
	}
	if err := s.SendBuffered(&wire.ResponseHead{Status: status, BodyBytes: int64(len(text)), Header: []wire.HeaderField{{Name: "X-Backend", Value: "yes"}, {Name: HeaderCode, Value: "forged"}}}); err != nil {
		return err
	}
	w := s.BodyWriter(true)
	if st == breakInBody || st == breakInSmallBody {
		_, _ = io.WriteString(w, text[:len(text)/2])
		return io.ErrUnexpectedEOF
	}
	if _, err := io.WriteString(w, text); err != nil {
		return err
	}
	return w.Close()
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// fakeConfig is a config.Source with a configuration that never changes.
type fakeConfig struct{ doc *model.Config }

func (f *fakeConfig) Current() *model.Config                              { return f.doc }
func (f *fakeConfig) OnChange(func(*model.Config))                        {}
func (f *fakeConfig) Offer(uint64, func(context.Context) ([]byte, error)) {}
func (f *fakeConfig) Document() []byte                                    { return []byte(`{"version":1}`) }
func (f *fakeConfig) Patch(_ context.Context, p config.PatchRequest) (config.PatchResult, error) {
	if p.BaseVersion != f.doc.Version {
		return config.PatchResult{Version: f.doc.Version}, result.Errorf(result.WrongBaseVersion, "the current version is %d", f.doc.Version)
	}
	return config.PatchResult{Code: result.Accepted, Version: f.doc.Version + 1}, nil
}

func testConfig() *model.Config {
	return &model.Config{
		Version: 1,
		Teams: []model.Team{
			{ID: "a", Weight: 1, TokenHashes: []string{hashOf(teamToken)}},
			{ID: "b", Weight: 1, TokenHashes: []string{hashOf("token of team b")}, MaxRequests: 1},
		},
		OperatorTokenHashes: []string{hashOf(operatorToken)},
		Limits:              model.Limits{MaxBodyBytes: 100_000},
	}
}

// fakeJobs is a jobs.Service that accepts everything.
type fakeJobs struct{ submitted []model.Job }

func (f *fakeJobs) Submit(_ context.Context, j model.Job) (model.JobStatus, error) {
	f.submitted = append(f.submitted, j)
	return model.JobStatus{Job: j, State: model.JobQueued}, nil
}

func (f *fakeJobs) Status(_ context.Context, id string) (model.JobStatus, error) {
	return model.JobStatus{Job: model.Job{ID: id, Team: "a"}, State: model.JobQueued}, nil
}

func (f *fakeJobs) Cancel(_ context.Context, ids []string, _ string) ([]result.Code, error) {
	codes := make([]result.Code, len(ids))
	for i, id := range ids {
		codes[i] = result.Accepted
		if strings.HasPrefix(id, "unknown") {
			codes[i] = result.UnknownJob
		}
	}
	return codes, nil
}

func (f *fakeJobs) List(context.Context, string, int) (wire.JobListReply, error) {
	return wire.JobListReply{}, nil
}
func (f *fakeJobs) WorkerOrder(context.Context, string, string) error { return nil }

// gateway is an entry in front of fake agents.
type gateway struct {
	*Server
	url  string
	jobs *fakeJobs
}

func startGateway(f *fakeAgents, configure ...func(*Options)) *gateway {
	routes := router.New("self", f)
	routes.Rebuild()
	jobs := &fakeJobs{}
	o := Options{
		Address: "127.0.0.1:0", Members: f, Config: &fakeConfig{testConfig()}, Jobs: jobs, Dumper: kernel.NewDumper(),
		Forwarder:  &forward.Forwarder{Router: routes, Pool: f.pool, Budget: router.NewRetryBudget()},
		DrainDelay: time.Millisecond,
	}
	for _, c := range configure {
		c(&o)
	}
	s := New(o)
	Expect(s.Start(context.Background())).To(Succeed())
	ginkgo.DeferCleanup(func() { _ = s.httpServer.Close() })
	return &gateway{Server: s, url: "http://" + s.Addr(), jobs: jobs}
}

// reply is the response as the caller sees it.
type reply struct {
	status      int
	code        string
	ticket      string
	earlyTicket string // the ticket of the response 103
	body        string
	header      http.Header
	aborted     bool
}

// call sends a request with the token of team a. The arguments header alternate
// between names and values of header fields.
func (g *gateway) call(method, path, body string, header ...string) reply {
	req, err := http.NewRequest(method, g.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+teamToken)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return g.send(req)
}

func (g *gateway) send(req *http.Request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var r reply
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := client.Do(req.WithContext(recordEarlyTicket(ctx, &r.earlyTicket)))
	if err != nil {
		r.aborted = true
		return r
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r.aborted = err != nil
	r.status, r.body, r.header = resp.StatusCode, string(data), resp.Header
	r.code = resp.Header.Get(HeaderCode)
	r.ticket = resp.Header.Get(HeaderTicket)
	return r
}
