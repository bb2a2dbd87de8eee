package kernel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
)

// Loops is a Component of functions that run until their context ends.
type Loops struct {
	Label  string
	Runs   []func(context.Context)
	cancel context.CancelFunc
}

// Name implements Component.
func (l *Loops) Name() string { return l.Label }

// Start implements Component.
func (l *Loops) Start(ctx context.Context) error {
	ctx, l.cancel = context.WithCancel(ctx)
	for _, run := range l.Runs {
		go run(ctx)
	}
	return nil
}

// Stop implements Component.
func (l *Loops) Stop(context.Context) error {
	l.cancel()
	return nil
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

const (
	httpHeaderTimeout  = 3 * time.Second
	httpIdleTimeout    = 30 * time.Second
	httpMaxHeaderBytes = 16 << 10
)

// HTTPServer is a Component that serves a handler on an address.
type HTTPServer struct {
	Label   string
	Address string
	Handler http.Handler
	server  *http.Server
}

// Name implements Component.
func (s *HTTPServer) Name() string { return s.Label }

// Start implements Component.
func (s *HTTPServer) Start(context.Context) error {
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen %s: %w", s.Address, err)
	}
	s.server = &http.Server{Handler: s.Handler, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: httpMaxHeaderBytes}
	go func() {
		if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			log.WithFields(log.Fields{"event": "http_failed", "address": s.Address, "error": err.Error()}).Error("HTTP server ended")
		}
	}()
	return nil
}

// Shutdown stops taking connections and waits for the calls in progress.
func (s *HTTPServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Stop implements Component. It ends all connections at once.
func (s *HTTPServer) Stop(context.Context) error { return s.server.Close() }
