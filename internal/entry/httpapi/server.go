// Package httpapi serves the HTTP API of an entry to callers and operators.
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
	"snipegw/internal/connlimit"
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
	// defaultDrainDelay is the time from the failure of /healthz until new requests
	// are refused. In this time the load balancer takes the entry out of rotation.
	// The sum of it and the longest request of 60 s is below kernel.StopTimeout.
	defaultDrainDelay = 3 * time.Second
	// readHeaderTimeout is the timeout for reading the header of a request.
	readHeaderTimeout = 10 * time.Second
	// bodyGrace is the time after the time limit of a call until its body is given up, so that the caller is
	// told of the limit of the call.
	bodyGrace = time.Second
	// idleTimeout is the time after which an idle connection of a caller is closed.
	idleTimeout = 2 * time.Minute
	// writeTimeout limits the time from the header of a request to the end of its response, so that a client that does not
	// read cannot hold its connection for ever. It covers the body and the longest request.
	writeTimeout = 2*maxTimeout + 10*time.Second
	// maxHeaderBytes is the maximum size of the header of a request.
	maxHeaderBytes = 64 << 10
	// joinGracePeriod is the time after the start in which this entry may not yet know
	// all workers, so that no shape is refused as impossible.
	joinGracePeriod = members.DeadAfter
)

// Options holds the dependencies and settings of a Server.
type Options struct {
	Address   string
	Members   members.Membership
	Config    config.Source
	Jobs      jobs.Service
	Forwarder *forward.Forwarder
	Dumper    *kernel.Dumper
	// Clients limits what the callers of all requests hold together.
	Clients *connlimit.Limiter
	// DrainDelay is the time from the failure of /healthz until new requests are
	// refused. 0 means defaultDrainDelay.
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
	unhealthy  atomic.Bool // set once /healthz must fail
	refusing   atomic.Bool // set once new requests are refused
	ids        requestIDs
}

// New returns a Server that applies each new configuration of o.Config.
func New(o Options) *Server {
	if o.DrainDelay == 0 {
		o.DrainDelay = defaultDrainDelay
	}
	if o.Clients == nil {
		o.Clients = kernel.NewClientLimiter(kernel.ClientSettings{})
	}
	s := &Server{Options: o, started: time.Now()}
	s.limits.Store(&model.Limits{})
	if c := o.Config.Current(); c != nil {
		s.setConfig(c)
	}
	o.Config.OnChange(s.setConfig)
	s.httpServer = &http.Server{
		Handler:           kernel.LogHandlerPanics(s.Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		WriteTimeout:      writeTimeout,
	}
	return s
}

func (s *Server) setConfig(c *model.Config) {
	s.teams.SetConfig(c)
	s.auth.SetConfig(c)
	l := c.Limits
	s.limits.Store(&l)
	s.Forwarder.Router.SetMaxQueued(l.MaxQueuedRequests)
}

// Teams returns the request counters of all teams.
func (s *Server) Teams() map[string]limits.TeamCounts { return s.teams.Counts() }

// Healthy reports whether the load balancer may send requests to this entry.
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
		if err := s.Clients.Serve(s.httpServer, l, s.Name(), maxTimeout+bodyGrace); !errors.Is(err, http.ErrServerClosed) {
			log.WithFields(log.Fields{"event": "http_failed", "error": err.Error()}).Error("the HTTP server of the entry failed and serves no more requests")
		}
	}()
	return nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop implements kernel.Component. It makes /healthz fail at once, refuses new
// requests after DrainDelay, and then waits for the requests in progress until ctx
// ends.
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
		writeError(w, "", result.Errorf(result.NotFound, "no handler for %s %.200s; the design document lists the paths", r.Method, r.URL.Path))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Requests to services bypass the mux, which would redirect paths that are
		// not clean. Their paths belong to the backend server and must not change.
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

// authenticatedHandler serves a request of an authenticated caller. An error that it
// returns is written as the response.
type authenticatedHandler func(w http.ResponseWriter, r *http.Request, caller auth.Identity) error

// authenticated returns a handler that calls h for requests with a valid token of a
// team or an operator.
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

// operatorOnly returns a handler that calls h for requests with a valid token of an
// operator.
func (s *Server) operatorOnly(h authenticatedHandler) http.HandlerFunc {
	return s.authenticated(func(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
		if !caller.Operator {
			return result.Errorf(result.Forbidden, "this path needs an operator's token; the token belongs to team %s", caller.Team)
		}
		return h(w, r, caller)
	})
}

func stoppingError() error {
	return result.Errorf(result.Stopping, "this entry is stopping; send the request to another entry")
}

// actingTeam returns the team for which the caller acts: its own, or for an operator
// the one named in HeaderTeam.
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
