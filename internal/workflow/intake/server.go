package intake

import (
	"context"
	"errors"
	"net/http"
	"time"

	"snipegw/internal/connlimit"
	"snipegw/internal/kernel"
)

const (
	// drainDelay is the time for which a stopping entry still accepts callers. The
	// balancer needs two readiness checks, one second apart, to stop sending them.
	drainDelay = 2700 * time.Millisecond
	// shutdownTimeout limits the wait for calls in progress after drainDelay.
	shutdownTimeout = 2500 * time.Millisecond
)

// Server serves callers and the readiness check. It is a kernel.Component.
type Server struct {
	intake  *Intake
	callers kernel.HTTPServer
	ready   kernel.HTTPServer
}

// NewServer returns a Server that listens for callers on frontAddress and for
// readiness checks on readyAddress, within the limits of clients.
func NewServer(in *Intake, front func(*Intake) (callers, ready http.Handler), frontAddress, readyAddress string, clients *connlimit.Limiter) *Server {
	callers, ready := front(in)
	return &Server{
		intake:  in,
		callers: kernel.HTTPServer{Label: "callers", Address: frontAddress, Handler: callers, Clients: clients},
		ready:   kernel.HTTPServer{Label: "readiness", Address: readyAddress, Handler: ready, Clients: clients},
	}
}

// Name implements kernel.Component.
func (s *Server) Name() string { return "callers" }

// Start implements kernel.Component.
func (s *Server) Start(ctx context.Context) error {
	return errors.Join(s.callers.Start(ctx), s.ready.Start(ctx))
}

// Stop implements kernel.Component. It reports not ready, serves until the
// balancer has removed this entry, and then waits for calls in progress.
func (s *Server) Stop(ctx context.Context) error {
	s.intake.StartDraining()
	kernel.Sleep(ctx, drainDelay)
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	return errors.Join(s.callers.Shutdown(ctx), s.ready.Stop(ctx))
}
