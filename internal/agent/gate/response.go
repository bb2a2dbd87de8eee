package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"snipegw/internal/agent/tickets"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// copyBufferBytes is the size of the buffers that copy a response body.
const copyBufferBytes = 16 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// respond forwards the response and records it for a request with a ticket. If it
// returns an error, the server aborts the stream, so that an incomplete response
// is never taken for a complete one.
func (x *exchange) respond(ctx context.Context, resp *http.Response) error {
	out := wire.ResponseHead{Status: resp.StatusCode, Header: responseFields(resp.Header), BodyBytes: resp.ContentLength}
	var recorder *responseRecorder
	if x.ticketRun != nil {
		recorder = &responseRecorder{response: tickets.Response{Status: out.Status, Header: out.Header}}
	}
	var sendErr error
	if !x.owner.CompareAndSwap(ownerNone, ownerResponse) {
		sendErr = errors.New("the caller was already answered at the deadline")
	} else {
		sendErr = x.stream.SendBuffered(&out)
	}
	readErr, sendErr := x.copyBody(resp, recorder, sendErr)
	if readErr != nil {
		return x.handleBrokenResponse(ctx, readErr)
	}
	x.backend.recordSuccess()
	if recorder != nil {
		x.ticketRun.RecordResponse(recorder.result())
	}
	if x.owner.Load() == ownerDeadline {
		return nil
	}
	return sendErr
}

// handleBrokenResponse handles a response whose body ended early. It counts
// against the backend server unless ctx has ended.
func (x *exchange) handleBrokenResponse(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		x.backend.recordFailure(false)
		x.logFailure(result.Errorf(result.BrokenResponse, "the response of the backend server ended early: %w", err))
	}
	if x.ticketRun != nil {
		x.ticketRun.RecordUnknown()
	}
	if x.owner.Load() == ownerDeadline {
		return nil
	}
	return err
}

// copyBody copies the response body to the recorder, if there is one, and to the
// stream as long as sending succeeds. sendErr is the error of sending the head. It
// stops early without a recorder and a working stream. It returns the error that
// left the copy incomplete and the first error of the stream.
func (x *exchange) copyBody(resp *http.Response, recorder *responseRecorder, sendErr error) (readErr, writeErr error) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	w := x.stream.BodyWriter(resp.ContentLength < 0)
	for {
		n, err := resp.Body.Read(*buffer)
		piece := (*buffer)[:n]
		if sendErr == nil && n > 0 {
			_, sendErr = w.Write(piece)
		}
		if recorder != nil {
			recorder.write(piece)
		}
		switch {
		case err == io.EOF:
			x.releaseSlot()
			if sendErr == nil {
				sendErr = w.Close()
			}
			return nil, sendErr
		case err != nil:
			return err, sendErr
		case sendErr != nil && recorder == nil:
			return sendErr, sendErr
		}
	}
}

// responseRecorder collects a response of up to tickets.MaxResponseBytes.
type responseRecorder struct {
	response tickets.Response
	tooLong  bool
}

func (r *responseRecorder) write(p []byte) {
	if r.tooLong || len(r.response.Body)+len(p) > tickets.MaxResponseBytes {
		r.tooLong = true
		r.response.Body = nil
		return
	}
	r.response.Body = append(r.response.Body, p...)
}

// result returns the recorded response, nil if it is too long.
func (r *responseRecorder) result() *tickets.Response {
	if r.tooLong {
		return nil
	}
	return &r.response
}

// ServeTicketQuery serves wire.KindTicketQuery: it answers with the outcome of a
// ticket.
func (g *Gate) ServeTicketQuery(_ context.Context, s *transport.Stream) error {
	var q wire.TicketQuery
	if err := s.Receive(&q); err != nil {
		return err
	}
	return g.replayOutcome(s, q.Ticket, q.Team)
}

// replayOutcome answers with the recorded outcome of a ticket. It never runs the
// request.
func (g *Gate) replayOutcome(s *transport.Stream, ticket, team string) error {
	recorded, err := g.tickets.Lookup(ticket, team)
	if err != nil && result.CodeOf(err).NotRun() {
		return sendRefusal(s, err)
	}
	if err := s.SendBuffered(&wire.Admission{Ticket: ticket}); err != nil {
		return err
	}
	if err != nil {
		return s.Send(&wire.ResponseHead{Fault: wire.FaultOf(err), Replayed: true})
	}
	head := wire.ResponseHead{
		Status:    recorded.Status,
		Header:    recorded.Header,
		BodyBytes: int64(len(recorded.Body)),
		Replayed:  true,
	}
	if err := s.SendBuffered(&head); err != nil {
		return err
	}
	w := s.BodyWriter(false)
	if _, err := w.Write(recorded.Body); err != nil {
		return err
	}
	return w.Close()
}

// IssueTicket serves wire.KindTicketIssue: it issues a ticket for a later request,
// provided that the service accepts requests now.
func (g *Gate) IssueTicket(_ context.Context, req *wire.TicketIssue) (*wire.TicketReply, error) {
	s := (*g.services.Load())[req.Service]
	if s == nil {
		return nil, result.Errorf(result.UnknownService, "no backend server on this worker has announced service %q", req.Service)
	}
	b := s.backend.Load()
	switch {
	case g.draining.Load():
		return nil, errDraining
	case b.leaving.Load():
		return nil, errLeaving
	case !b.healthy(g.now()):
		return nil, errUnhealthy
	}
	ticket, err := g.tickets.Issue(req.Team)
	if err != nil {
		return nil, err
	}
	return &wire.TicketReply{Ticket: ticket, LifetimeMS: tickets.UnusedLifetime.Milliseconds()}, nil
}
