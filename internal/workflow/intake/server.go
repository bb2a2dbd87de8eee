package intake

import (
	"context"
	"errors"
	"net/http"
	"time"

	"snipegw/internal/kernel"
)

const (
	// retireFor is the time for which a stopping entry still serves callers. The
	// balancer takes two checks, a second apart, to leave it out.
	retireFor = 2700 * time.Millisecond
	// finishFor bounds the wait for calls in progress after that.
	finishFor = 2500 * time.Millisecond
)

// Server serves callers and the readiness check. It is a kernel.Component.
type Server struct {
	intake  *Intake
	callers kernel.HTTPServer
	ready   kernel.HTTPServer
}

// NewServer returns a Server for the two addresses.
func NewServer(in *Intake, front func(*Intake) (callers, ready http.Handler), frontAddress, readyAddress string) *Server {
	callers, ready := front(in)
	return &Server{
		intake:  in,
		callers: kernel.HTTPServer{Label: "callers", Address: frontAddress, Handler: callers},
		ready:   kernel.HTTPServer{Label: "readiness", Address: readyAddress, Handler: ready},
	}
}

// Name implements kernel.Component.
func (s *Server) Name() string { return "callers" }

// Start implements kernel.Component.
func (s *Server) Start(ctx context.Context) error {
	return errors.Join(s.callers.Start(ctx), s.ready.Start(ctx))
}

// Stop implements kernel.Component. It reports not ready, serves until the
// balancer has noticed, and then finishes what is in progress.
func (s *Server) Stop(ctx context.Context) error {
	s.intake.Retire()
	kernel.Sleep(ctx, retireFor)
	ctx, cancel := context.WithTimeout(ctx, finishFor)
	defer cancel()
	return errors.Join(s.callers.Shutdown(ctx), s.ready.Stop(ctx))
}
