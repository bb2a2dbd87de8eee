package transport

import (
	"context"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Mux is a Handler that dispatches calls by kind. All handlers must be registered
// before Listen. A call of a kind without a handler is answered with NotFound.
type Mux struct {
	handlers [256]Handler
}

// Handle registers h for kind.
func (m *Mux) Handle(kind wire.Kind, h Handler) { m.handlers[kind] = h }

// ServeCall implements Handler.
func (m *Mux) ServeCall(ctx context.Context, kind wire.Kind, s *Stream) error {
	h := m.handlers[kind]
	if h == nil {
		return result.Errorf(result.NotFound, "no handler for calls of kind %d", kind)
	}
	return h.ServeCall(ctx, kind, s)
}

// Unary returns a Handler that receives one message, calls f and sends its reply.
// An error of f is sent to the caller with its result code. The context of f is
// cancelled when the caller gives up the call.
func Unary[Req, Reply any](f func(ctx context.Context, req *Req) (*Reply, error)) Handler {
	return HandlerFunc(func(ctx context.Context, _ wire.Kind, s *Stream) error {
		req := new(Req)
		if err := s.Receive(req); err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(s.Context(), cancel)
		defer stop()
		reply, err := f(ctx, req)
		if err != nil {
			return &result.Error{Code: result.CodeOf(err), Message: result.MessageOf(err), Err: err}
		}
		return s.Send(reply)
	})
}
