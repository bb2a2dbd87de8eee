// Package httpapi is the HTTP interface of an entry to callers and operators.
package httpapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/config"
	"snipegw/internal/entry/auth"
	"snipegw/internal/entry/forward"
	"snipegw/internal/entry/limits"
	"snipegw/internal/jobs"
	"snipegw/internal/kernel"
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

const (
	// defaultDrainDelay is the time between the failure of /healthz and the refusal of
	// new requests, in which the load balancer takes the entry out. Together
	// with the longest request of 60 s it stays below kernel.StopLimit.
	defaultDrainDelay = 3 * time.Second
	// readHeaderTimeout bounds the reading of request headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// joinGracePeriod is the time after the start in which the pool may still be known
	// in part only, so that no shape is refused for lack of workers.
	joinGracePeriod = members.DeadAfter
)

// Options are the parts that a Server needs.
type Options struct {
	Address   string
	Members   members.Membership
	Config    config.Source
	Jobs      jobs.Service
	Forwarder *forward.Forwarder
	Dumper    *kernel.Dumper
	// DrainDelay replaces defaultDrainDelay if it is not 0.
	DrainDelay time.Duration
}

// Server serves the HTTP API. It is a kernel.Component.
type Server struct {
	Options
	auth       auth.Authenticator
	teams      limits.Teams
	limits     atomic.Pointer[model.Limits]
	httpServer *http.Server
	listener   net.Listener
	started    time.Time
	unhealthy  atomic.Bool // /healthz fails
	refusing   atomic.Bool // new requests are refused
	ids        requestIDs
}

// New returns a Server that follows the configuration.
func New(o Options) *Server {
	if o.DrainDelay == 0 {
		o.DrainDelay = defaultDrainDelay
	}
	s := &Server{Options: o, started: time.Now()}
	s.limits.Store(&model.Limits{})
	if c := o.Config.Current(); c != nil {
		s.setConfig(c)
	}
	o.Config.OnChange(s.setConfig)
	s.httpServer = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

func (s *Server) setConfig(c *model.Config) {
	s.teams.SetConfig(c)
	s.auth.SetConfig(c)
	l := c.Limits
	s.limits.Store(&l)
	s.Forwarder.Router.SetMaxQueued(l.MaxQueuedRequest)
}

// Teams returns the counters of the teams.
func (s *Server) Teams() map[string]limits.TeamCounts { return s.teams.Counts() }

// Healthy reports whether the load balancer may send traffic.
func (s *Server) Healthy() bool {
	return !s.unhealthy.Load() && s.Config.Current() != nil
}

// Name implements kernel.Component.
func (s *Server) Name() string { return "http" }

// Start implements kernel.Component.
func (s *Server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen %s: %w", s.Address, err)
	}
	s.listener = l
	go func() {
		if err := s.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.WithFields(log.Fields{"event": "http_failed", "error": err.Error()}).Error("HTTP server ended")
		}
	}()
	return nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop implements kernel.Component. First /healthz fails, after the time for
// the load balancer new requests are refused, and then it waits for the
// requests in progress.
func (s *Server) Stop(ctx context.Context) error {
	s.unhealthy.Store(true)
	select {
	case <-time.After(s.DrainDelay):
	case <-ctx.Done():
	}
	s.refusing.Store(true)
	if err := s.httpServer.Shutdown(ctx); err != nil {
		return errors.Join(err, s.httpServer.Close())
	}
	return nil
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	s.Dumper.Handle(mux, s.Healthy)
	mux.HandleFunc("POST /v1/services/{service}/tickets", s.authenticated(s.issueTicket))
	mux.HandleFunc("GET /v1/tickets/{worker}/{incarnation}/{sequence}", s.authenticated(s.queryTicket))
	s.handleJobs(mux)
	s.handleOperators(mux)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", result.Errorf(result.NotFound, "no handler for %s %.200s; see the table of paths in the design", r.Method, r.URL.Path))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Requests go past the mux, which would redirect paths that it does not
		// consider clean; the path belongs to the backend server.
		if service, target, ok := requestPath(r.URL.EscapedPath(), r.URL.RawQuery); ok {
			s.serveRequest(w, r, service, target)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

const (
	servicesPrefix = "/v1/services/"
	requestSegment = "/request"
)

// requestPath splits /v1/services/{service}/request/{path...} into the service
// and the target for the backend server.
func requestPath(path, query string) (service, target string, ok bool) {
	rest, ok := strings.CutPrefix(path, servicesPrefix)
	if !ok {
		return "", "", false
	}
	slash := strings.IndexByte(rest, '/')
	if slash <= 0 {
		return "", "", false
	}
	target, ok = strings.CutPrefix(rest[slash:], requestSegment)
	if !ok || target != "" && target[0] != '/' {
		return "", "", false
	}
	if target == "" {
		target = "/"
	}
	if query != "" {
		target += "?" + query
	}
	return rest[:slash], target, true
}

type authenticatedHandler func(w http.ResponseWriter, r *http.Request, caller auth.Identity) error

// authenticated wraps a handler for teams and operators.
func (s *Server) authenticated(h authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.refusing.Load() {
			w.Header().Set("Connection", "close")
			writeError(w, "", stoppingError())
			return
		}
		caller, err := s.auth.Authenticate(r.Header.Get("Authorization"))
		if err == nil {
			err = h(w, r, caller)
		}
		if errors.Is(err, forward.ErrResponseAborted) || errors.Is(err, forward.ErrCallerDisconnected) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, "", err)
		}
	}
}

// operatorOnly wraps a handler for operators only.
func (s *Server) operatorOnly(h authenticatedHandler) http.HandlerFunc {
	return s.authenticated(func(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
		if !caller.Operator {
			return result.Errorf(result.Forbidden, "this path needs an operator's token; the token belongs to team %s", caller.Team)
		}
		return h(w, r, caller)
	})
}

func stoppingError() error {
	return result.Errorf(result.Stopping, "this entry stops; send the request through another one")
}

// actingTeam returns the team for which id acts: its own, or for an operator the one
// named in HeaderTeam.
func (s *Server) actingTeam(r *http.Request, caller auth.Identity) (*limits.Team, error) {
	name := caller.Team
	if caller.Operator {
		name = r.Header.Get(HeaderTeam)
		if name == "" {
			return nil, result.Errorf(result.Forbidden, "an operator's token needs the header %s to act for a team", HeaderTeam)
		}
	}
	return s.teams.Get(name)
}
