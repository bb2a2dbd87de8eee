package forward

import (
	"context"
	"errors"
	"time"

	"snipegw/internal/members"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// ticketCallTimeout is the timeout of one call that issues a ticket.
const ticketCallTimeout = 2 * time.Second

// issuerAddress returns the address of the agent that issued t. It fails with
// result.OutcomeUnknown if that incarnation of the agent is not known any more, since
// the ticket may have been used.
func (f *Forwarder) issuerAddress(m members.Membership, t wire.Ticket) (string, error) {
	w := m.View().Workers[t.Worker]
	if w == nil {
		return "", result.Errorf(result.OutcomeUnknown, "the worker %s of the ticket is not known to this entry", t.Worker)
	}
	if w.State.Incarnation != t.Incarnation {
		return "", result.Errorf(result.OutcomeUnknown, "the agent of worker %s has restarted since it issued the ticket, and its records are lost", t.Worker)
	}
	return w.State.Address, nil
}

// runTicket runs a request with a ticket issued in advance. The request may run only
// at the worker that issued the ticket. If that worker does not answer, the outcome
// is unknown even if nothing was sent, since the ticket may have been used before.
func (c *call) runTicket(ctx context.Context) error {
	if err := c.beforeSend(); err != nil {
		return err
	}
	t, err := wire.ParseTicket(c.req.Ticket)
	if err != nil {
		return err
	}
	addr, err := c.f.issuerAddress(c.f.Router.Members(), t)
	if err != nil {
		return err
	}
	out := c.attempt(ctx, addr)
	switch {
	case out.err == nil || out.started || errors.Is(out.err, ErrCallerDisconnected):
		return out.err
	case ctx.Err() != nil:
		c.ambiguous = true
		return c.deadlineError(ctx)
	}
	if out.unreachable || !out.notRun && result.CodeOf(out.err) != result.InProgress {
		c.ambiguous = true
	}
	return c.refusalError(out.err)
}

// QueryTicket passes on the recorded response to the request of a ticket. Errors are
// as for Do; result.InProgress means that the request is still running.
func (f *Forwarder) QueryTicket(ctx context.Context, team string, ticket wire.Ticket, resp Responder) error {
	addr, err := f.issuerAddress(f.Router.Members(), ticket)
	if err != nil {
		return err
	}
	s, done, err := f.Pool.Open(ctx, addr, wire.KindTicketQuery, &wire.TicketQuery{Ticket: ticket.String(), Team: team})
	if err != nil {
		return result.Errorf(result.OutcomeUnknown, "the agent of worker %s cannot be reached: %v", ticket.Worker, err)
	}
	defer done()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := f.readRecordedResponse(ctx, s, resp); err != nil {
		s.Abort()
		return err
	}
	return nil
}

// readRecordedResponse receives the recorded response on s and passes it on to resp.
func (f *Forwarder) readRecordedResponse(ctx context.Context, s *transport.Stream, resp Responder) error {
	if err := s.CloseWrite(); err != nil {
		return result.Errorf(result.OutcomeUnknown, "the connection to the worker was lost: %v", err)
	}
	var adm wire.Admission
	if err := s.Receive(&adm); err != nil {
		return classifyReceiveError(err).err
	}
	if adm.Fault != nil {
		return adm.Fault.Err()
	}
	c := &call{f: f, resp: resp}
	var out outcome
	c.relayResponse(ctx, s, &out)
	return out.err
}

// IssueTicket obtains a ticket from a worker of the service before the request is
// sent. A ticket that is lost on the way expires unused, so that every failure may be
// retried.
func (f *Forwarder) IssueTicket(ctx context.Context, team, service string) (*wire.TicketReply, error) {
	svc, err := f.Router.Service(service)
	if err != nil {
		return nil, err
	}
	c := &call{f: f, svc: svc}
	for {
		t := f.Router.Pick(svc, c.tried)
		if t == nil {
			return nil, result.Errorf(result.NoWorker, "no worker of the service %q issued a ticket", service)
		}
		reply, err := f.issueTicketAt(ctx, t.Address, team, service)
		if err == nil {
			return reply, nil
		}
		c.tried = append(c.tried, t)
		var ce *transport.CallError
		again := errors.As(err, &ce) || classifyRefusal(err).retryElsewhere
		if !again {
			return nil, err
		}
		if len(c.tried) >= min(maxFailedWorkers, len(svc.Targets)) || ctx.Err() != nil {
			return nil, result.Errorf(result.NoWorker, "no worker of the service %q issued a ticket, the last answer was: %v", service, err)
		}
		if !f.Budget.TryTake() {
			return nil, result.Errorf(result.RetryBudgetExhausted, "the last worker failed and the retry budget of this entry is exhausted")
		}
	}
}

func (f *Forwarder) issueTicketAt(ctx context.Context, addr, team, service string) (*wire.TicketReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ticketCallTimeout)
	defer cancel()
	reply := new(wire.TicketReply)
	err := f.Pool.Call(ctx, addr, wire.KindTicketIssue, &wire.TicketIssue{Service: service, Team: team}, reply)
	return reply, err
}
