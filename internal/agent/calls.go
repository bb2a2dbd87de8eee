package agent

import (
	"context"

	"snipegw/internal/agent/arbiter"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// mux returns a multiplexer with the handlers of all calls that an agent serves.
func (a *Agent) mux() *transport.Mux {
	m := new(transport.Mux)
	m.Handle(wire.KindRequest, transport.HandlerFunc(func(ctx context.Context, _ wire.Kind, s *transport.Stream) error {
		return a.gate.ServeRequest(ctx, s)
	}))
	m.Handle(wire.KindTicketQuery, transport.HandlerFunc(func(ctx context.Context, _ wire.Kind, s *transport.Stream) error {
		return a.gate.ServeTicketQuery(ctx, s)
	}))
	m.Handle(wire.KindTicketIssue, transport.Unary(a.gate.IssueTicket))
	m.Handle(wire.KindReserve, transport.Unary(a.handleReserve))
	m.Handle(wire.KindRelease, transport.Unary(a.handleRelease))
	m.Handle(wire.KindStartGang, transport.Unary(a.handleStartGang))
	m.Handle(wire.KindStopGang, transport.Unary(a.handleStopGang))
	m.Handle(wire.KindWorkerOrder, transport.Unary(a.handleWorkerOrder))
	m.Handle(wire.KindConfigFetch, transport.Unary(a.config.handleFetch))
	m.Handle(wire.KindArm, transport.Unary(a.handleArm))
	m.Handle(wire.KindStart, transport.Unary(a.handleStart))
	m.Handle(wire.KindRenew, transport.Unary(a.handleRenew))
	m.Handle(wire.KindAbort, transport.Unary(a.handleAbort))
	m.Handle(wire.KindHandover, transport.Unary(a.handleHandover))
	return m
}

// ack returns the answer to an order of a planner. It requests a heartbeat after each
// accepted order, because the epoch may have changed even if nothing else has.
func (a *Agent) ack(err error) (*wire.Ack, error) {
	if err != nil {
		return nil, err
	}
	a.heartbeats.RequestBeat()
	return &wire.Ack{Epoch: a.arbiter.Epoch()}, nil
}

func (a *Agent) handleReserve(_ context.Context, req *wire.Reserve) (*wire.Ack, error) {
	return a.ack(a.arbiter.Reserve(req))
}

func (a *Agent) handleRelease(_ context.Context, req *wire.Release) (*wire.Ack, error) {
	return a.ack(a.arbiter.Release(req))
}

func (a *Agent) handleStartGang(_ context.Context, req *wire.StartGang) (*wire.Ack, error) {
	if err := a.arbiter.CheckOrder(req.Order); err != nil {
		return nil, err
	}
	if a.stopping.Load() {
		return nil, result.Errorf(result.Draining, "the agent is stopping and starts no gangs")
	}
	return a.ack(a.gangs.StartGang(req))
}

func (a *Agent) handleStopGang(_ context.Context, req *wire.StopGang) (*wire.Ack, error) {
	if err := a.arbiter.CheckOrder(req.Order); err != nil {
		return nil, err
	}
	return a.ack(a.gangs.StopGang(req))
}

func (a *Agent) handleWorkerOrder(_ context.Context, req *wire.WorkerOrder) (*wire.Ack, error) {
	if err := a.arbiter.ApplyOrder(req); err != nil {
		return nil, err
	}
	switch req.Action {
	case arbiter.ActionDrain:
		a.gate.SetDraining(true)
	case arbiter.ActionRelease:
		a.gate.SetDraining(a.stopping.Load())
	}
	return a.ack(nil)
}

// checkIncarnation refuses an order for another incarnation of the agent. It applies
// to orders that start something. Renewals and aborts are fenced by attempt and term
// instead, so that the successor process of a planned restart accepts them.
func (a *Agent) checkIncarnation(o *wire.GangOrder) error {
	if o.Incarnation != a.incarnation {
		return result.Errorf(result.StaleIncarnation, "order for incarnation %s, but this agent is incarnation %s", o.Incarnation, a.incarnation)
	}
	return nil
}

func (a *Agent) handleArm(_ context.Context, req *wire.GangOrder) (*wire.Ack, error) {
	if err := a.checkIncarnation(req); err != nil {
		return nil, err
	}
	return a.ack(a.gangs.Arm(req))
}

func (a *Agent) handleStart(ctx context.Context, req *wire.GangOrder) (*wire.MemberReport, error) {
	if err := a.checkIncarnation(req); err != nil {
		return nil, err
	}
	return a.gangs.Start(ctx, req)
}

func (a *Agent) handleRenew(_ context.Context, req *wire.GangOrder) (*wire.MemberReport, error) {
	return a.gangs.Renew(req)
}

func (a *Agent) handleAbort(_ context.Context, req *wire.GangOrder) (*wire.MemberReport, error) {
	return a.gangs.Abort(req)
}

func (a *Agent) handleHandover(_ context.Context, req *wire.Handover) (*wire.Ack, error) {
	if err := a.gangs.HandleHandover(req); err != nil {
		return nil, err
	}
	return &wire.Ack{Epoch: a.arbiter.Epoch()}, nil
}
