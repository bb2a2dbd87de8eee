package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/agent/tickets"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// inlineBodyBytes is the length up to which a request body is read completely
// before the backend server is contacted, so that an incomplete body is not sent.
const inlineBodyBytes = 64 << 10

// ServeRequest serves wire.KindRequest: it admits one request and forwards it to
// the backend server.
func (g *Gate) ServeRequest(ctx context.Context, s *transport.Stream) error {
	var head wire.RequestHead
	if err := s.Receive(&head); err != nil {
		return err
	}
	if head.Ticket != "" {
		// A used ticket must be answered before all other checks: every refusal
		// below says that the request was not run.
		used, err := g.tickets.CheckUsed(head.Ticket, head.Team)
		if err != nil {
			return sendRefusal(s, err)
		}
		if used {
			return g.replayOutcome(s, head.Ticket, head.Team)
		}
	}
	target, err := checkHead(&head)
	if err != nil {
		return sendRefusal(s, err)
	}
	if head.TimeoutMS <= 0 {
		return sendRefusal(s, result.Errorf(result.DeadlineNotRun, "the deadline passed before admission"))
	}
	svc := (*g.services.Load())[head.Service]
	if svc == nil {
		return sendRefusal(s, result.Errorf(result.UnknownService, "no backend server on this worker has announced service %q", head.Service))
	}
	b, err := svc.acquireSlot(g, g.now())
	if err != nil {
		return sendRefusal(s, err)
	}
	run, err := g.beginRun(&head)
	if err != nil {
		svc.returnSlot()
		return sendRefusal(s, err)
	}
	if run == nil && head.Ticket != "" {
		svc.returnSlot()
		return g.replayOutcome(s, head.Ticket, head.Team)
	}
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	svc.served.Add(1)
	x := &exchange{gate: g, stream: s, head: &head, target: target, service: svc, backend: b, ticketRun: run}
	if run != nil {
		x.deadlineAnswered = make(chan struct{})
	}
	defer x.releaseSlot()
	err = x.serve(ctx, svc.freeSlots())
	if x.owner.Load() == ownerDeadline {
		<-x.deadlineAnswered
	}
	return err
}

func sendRefusal(s *transport.Stream, err error) error {
	return s.Send(&wire.Admission{Fault: wire.FaultOf(err)})
}

// beginRun returns the ticket run of a request. It is nil for an idempotent request
// without a ticket and for a ticket that is already used.
func (g *Gate) beginRun(head *wire.RequestHead) (*tickets.Run, error) {
	switch {
	case head.Ticket != "":
		return g.tickets.Use(head.Ticket, head.Team)
	case head.Idempotent:
		return nil, nil
	}
	return g.tickets.Begin(head.Team), nil
}

// Values of exchange.owner.
const (
	ownerNone int32 = iota
	ownerResponse
	ownerDeadline
)

// exchange is one admitted request.
type exchange struct {
	gate         *Gate
	stream       *transport.Stream
	head         *wire.RequestHead
	target       *url.URL
	service      *service
	backend      *backend
	slotReleased bool         // the slot has been released
	ticketRun    *tickets.Run // nil for an idempotent request
	owner        atomic.Int32 // which goroutine answers the caller
	gotConn      atomic.Bool  // the request got a connection, so bytes may have been sent
	// deadlineAnswered is closed after the answer at the deadline has been written.
	deadlineAnswered chan struct{}
}

// releaseSlot frees the slot once. It is called after the backend server has ended
// its response and before the end is forwarded, so that a caller that sends its
// next request at once finds the slot free.
func (x *exchange) releaseSlot() {
	if !x.slotReleased {
		x.slotReleased = true
		x.service.returnSlot()
	}
}

func (x *exchange) serve(ctx context.Context, free int) error {
	admission := wire.Admission{FreeSlots: free}
	if x.ticketRun != nil {
		admission.Ticket = x.ticketRun.Ticket
	}
	if err := x.sendAdmission(&admission); err != nil {
		x.recordNotRun()
		return err
	}
	timeout := min(time.Duration(x.head.TimeoutMS)*time.Millisecond, MaxTimeout)
	deadline := time.Now().Add(timeout)
	_ = x.stream.SetDeadline(deadline)
	ctx, cancel := x.backendContext(ctx, deadline)
	defer cancel()
	body, err := x.requestBody()
	if err != nil {
		x.recordNotRun()
		return err
	}
	if x.ticketRun != nil {
		timer := time.AfterFunc(timeout, x.answerAtDeadline)
		defer timer.Stop()
	}
	resp, err := x.gate.client.RoundTrip(x.newBackendRequest(ctx, body))
	if err != nil {
		return x.answerFailure(ctx, err)
	}
	defer resp.Body.Close()
	return x.respond(ctx, resp)
}

// sendAdmission sends the admission at once if the entry may wait for it before it
// sends the body. For an idempotent request with a small body the entry does not
// wait; the admission is sent with the response head, which saves a packet.
func (x *exchange) sendAdmission(a *wire.Admission) error {
	if x.ticketRun == nil && x.head.BodyBytes >= 0 && x.head.BodyBytes <= inlineBodyBytes {
		return x.stream.SendBuffered(a)
	}
	return x.stream.Send(a)
}

// backendContext returns the context of the call to the backend server. A request
// with a ticket continues for up to MaxTimeout when its caller disconnects or its
// deadline passes, so that the caller can query the response later.
func (x *exchange) backendContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if x.ticketRun != nil {
		return context.WithTimeout(context.WithoutCancel(ctx), MaxTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(x.stream.Context(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// requestBody returns the request body, nil for an empty one. Even an empty body is
// read up to its end frame, because the entry sends that frame only after the
// caller has got the ticket.
func (x *exchange) requestBody() (io.ReadCloser, error) {
	n := x.head.BodyBytes
	r := x.stream.Body()
	if n < 0 || n > inlineBodyBytes {
		return io.NopCloser(r), nil
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	if _, err := r.Read(make([]byte, 1)); err != io.EOF {
		return nil, errors.Join(transport.ErrTruncatedBody, err)
	}
	if n == 0 {
		return nil, nil
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

// noBody is an empty body that http.Transport does not recognize as empty. A
// request with such a body and without GetBody is never resent.
type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }
func (noBody) Close() error             { return nil }

// newBackendRequest builds the request to the backend server without GetBody, so
// that http.Transport does not resend it. http.Transport resends a request only if
// it has no body or a GetBody, and a method or key field that marks it as
// idempotent.
func (x *exchange) newBackendRequest(ctx context.Context, body io.ReadCloser) *http.Request {
	header, host := requestHeader(x.head)
	target := *x.target
	target.Scheme = "http"
	target.Host = x.backend.announcement.Address
	if host == "" {
		host = target.Host
	}
	if body == nil && !x.head.Idempotent && methodImpliesRetry(x.head.Method) {
		body = noBody{}
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.gotConn.Store(true) }}
	req := &http.Request{
		Method:        x.head.Method,
		URL:           &target,
		Host:          host,
		Header:        header,
		Body:          body,
		ContentLength: x.head.BodyBytes,
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// methodImpliesRetry reports whether http.Transport may resend a request with this
// method and without a body.
func methodImpliesRetry(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (x *exchange) recordNotRun() {
	if x.ticketRun != nil {
		x.ticketRun.RecordNotRun()
	}
}

// answerAtDeadline answers the caller of a request with a ticket at its deadline.
// The request continues and its response is recorded.
func (x *exchange) answerAtDeadline() {
	if !x.owner.CompareAndSwap(ownerNone, ownerDeadline) {
		return
	}
	defer close(x.deadlineAnswered)
	// The deadline of the stream has passed too; extend it to send the answer.
	_ = x.stream.SetDeadline(time.Now().Add(dialTimeout))
	_ = x.stream.Send(&wire.ResponseHead{Fault: wire.FaultOf(result.Errorf(result.DeadlineRan, "the deadline passed while the request was running"))})
	_ = x.stream.Close()
}

// answerFailure records and answers a request whose exchange with the backend
// server failed before a response head.
func (x *exchange) answerFailure(ctx context.Context, err error) error {
	fault := x.classifyFailure(ctx, err)
	x.logFailure(fault)
	if x.ticketRun != nil {
		if fault.Code.NotRun() {
			x.ticketRun.RecordNotRun()
		} else {
			x.ticketRun.RecordUnknown()
		}
	}
	if !x.owner.CompareAndSwap(ownerNone, ownerResponse) {
		return nil
	}
	_ = x.stream.SetDeadline(time.Now().Add(dialTimeout))
	return x.stream.Send(&wire.ResponseHead{Fault: wire.FaultOf(fault)})
}

func (x *exchange) logFailure(err *result.Error) {
	log.WithFields(log.Fields{
		"event": "request_failed", "request": x.head.ID, "service": x.head.Service, "code": int(err.Code),
	}).Warn(err.Message)
}

// classifyFailure returns the result of an exchange that failed before a response
// head, and counts the failure against the backend server unless ctx has ended.
func (x *exchange) classifyFailure(ctx context.Context, err error) *result.Error {
	var op *net.OpError
	refused := errors.As(err, &op) && op.Op == "dial"
	sent := x.gotConn.Load()
	switch {
	case ctx.Err() != nil && !sent:
		return result.Errorf(result.DeadlineNotRun, "the deadline passed before a connection to the backend server was established: %w", err)
	case ctx.Err() != nil:
		return result.Errorf(result.DeadlineRan, "the deadline passed while the request was running: %w", err)
	}
	x.backend.recordFailure(refused)
	if x.backend.down.Load() {
		x.gate.onChange()
	}
	if refused && !sent {
		return result.Errorf(result.BackendUnavailable, "connect to the backend server: %w", err)
	}
	return result.Errorf(result.OutcomeUnknown, "the exchange with the backend server failed: %w", err)
}
