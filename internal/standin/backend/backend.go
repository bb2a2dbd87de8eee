// Package backend is a stand-in for a backend server: it announces itself to
// its agent, responds to every request with a body that proves which request it
// belongs to, and records every request that it ran.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/standin"
)

const (
	// announceInterval is the interval between announcements.
	announceInterval = time.Second
	// announceTimeout limits the duration of one announcement.
	announceTimeout = 800 * time.Millisecond
	// maxRecords limits the records of requests in memory. A full list drops its
	// older half.
	maxRecords = 500_000
)

// Settings are the settings of the stand-in.
type Settings struct {
	// Address is the listen address as host:port; port 0 selects a free one.
	Address string `json:"address"`
	// Agent is the base URL of the agent's loopback HTTP API; empty for none.
	Agent string `json:"agent,omitempty"`
	// Service, Slots and Instance are announced to the agent.
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	Instance string `json:"instance,omitempty"`
	// LogFile receives one JSON line for each request before it runs and one
	// after it, so that the record survives the process; empty for none.
	LogFile string `json:"log_file,omitempty"`
	// Seed makes random faults reproducible.
	Seed uint64 `json:"seed,omitempty"`
}

// Provision fills in defaults.
func (s *Settings) Provision() {
	if s.Slots == 0 {
		s.Slots = 8
	}
	if s.Instance == "" {
		s.Instance = fmt.Sprintf("%s-%d-%d", s.Service, os.Getpid(), time.Now().UnixNano())
	}
}

// Validate adds the problems of s to errs.
func (s *Settings) Validate(errs *kernel.ValidationErrors) {
	if s.Address == "" {
		errs.Add("address", "required")
	}
	if s.Service == "" {
		errs.Add("service", "required")
	}
}

// Faults are the fault switches.
type Faults struct {
	// DelayMS delays every response by this many milliseconds.
	DelayMS int `json:"delay_ms"`
	// Break is the share of responses, 0 to 1, that are truncated in the middle;
	// BreakNext is the number of next responses that are.
	Break     float64 `json:"break"`
	BreakNext int     `json:"break_next"`
	// FailQuickly makes every response an immediate status 500.
	FailQuickly bool `json:"fail_quickly"`
	// Refuse refuses connections.
	Refuse bool `json:"refuse"`
	// RefuseMS refuses connections for this many milliseconds, including those to
	// the fault switches. It takes effect once and then reads as 0.
	RefuseMS int `json:"refuse_ms"`
	// Short is the share of responses, 0 to 1, that are sent as complete but contain
	// only the first half of the body. No gateway can detect this: the switch tests
	// that a checker does.
	Short float64 `json:"short"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
	// Leave tells the agent that the backend server leaves, and stops the
	// announcements.
	Leave bool `json:"leave"`
}

// Record is one request that was run.
type Record struct {
	Seq       uint64 `json:"seq"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// AtMS and EndedMS are the start and the end in Unix milliseconds; EndedMS is 0
	// while the request runs.
	AtMS    int64 `json:"at_ms"`
	EndedMS int64 `json:"ended_ms,omitempty"`
	// Outcome is complete, broken (truncated), failed, or abandoned (the caller
	// disconnected).
	Outcome string `json:"outcome,omitempty"`
}

// Server is a running stand-in.
type Server struct {
	httpServer        *standin.HTTPServer
	settings          Settings
	client            *http.Client
	cancel            context.CancelFunc
	announcementsDone chan struct{} // closed when the announcements have ended

	mu              sync.Mutex
	faults          Faults
	random          *rand.Rand
	records         []Record
	runningRequests int
	logFile         *os.File
}

// Start starts a stand-in and its announcements.
func Start(s Settings) (*Server, error) {
	s.Provision()
	ctx, cancel := context.WithCancel(context.Background())
	srv := &Server{
		settings: s, client: &http.Client{Timeout: announceTimeout}, cancel: cancel,
		announcementsDone: make(chan struct{}), random: rand.New(rand.NewPCG(s.Seed, 2)),
	}
	if s.LogFile != "" {
		f, err := os.OpenFile(s.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			cancel()
			return nil, fmt.Errorf("stand-in: %w", err)
		}
		srv.logFile = f
	}
	httpServer, err := standin.Listen(s.Address, srv.handler())
	if err != nil {
		cancel()
		return nil, err
	}
	srv.httpServer = httpServer
	go srv.announceLoop(ctx)
	return srv, nil
}

// Addr returns the listen address as host:port.
func (s *Server) Addr() string { return s.httpServer.Addr() }

// URL returns the base URL.
func (s *Server) URL() string { return s.httpServer.URL() }

// Leave tells the agent that the backend server leaves and stops announcing.
func (s *Server) Leave(ctx context.Context) error {
	s.cancel()
	<-s.announcementsDone
	return s.postToAgent(ctx, "/v1/leave")
}

// Stop tells the agent that the backend server leaves, waits for requests in progress
// until ctx ends, and closes the server.
func (s *Server) Stop(ctx context.Context) error {
	leaveErr := s.Leave(ctx)
	if errors.Is(leaveErr, errNoAgent) {
		leaveErr = nil
	}
	waitErr := s.waitIdle(ctx)
	return errors.Join(leaveErr, waitErr, s.httpServer.Shutdown(ctx))
}

// waitIdle waits until no request has run for one announcement interval, since
// the agent may still forward requests that it admitted before the leave.
func (s *Server) waitIdle(ctx context.Context) error {
	const step = 50 * time.Millisecond
	for idle := time.Duration(0); idle < announceInterval; idle += step {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(step):
		}
		s.mu.Lock()
		if s.runningRequests > 0 {
			idle = 0
		}
		s.mu.Unlock()
	}
	return nil
}

// Close ends the stand-in at once, without a message to the agent.
func (s *Server) Close() error {
	s.cancel()
	return s.httpServer.Close()
}

// ChangeFaults applies f to the fault switches and returns them as set.
func (s *Server) ChangeFaults(f func(*Faults)) (Faults, error) {
	s.mu.Lock()
	wasLeaving := s.faults.Leave
	f(&s.faults)
	set := s.faults
	s.faults.RefuseMS = 0
	s.mu.Unlock()
	if set.Leave && !wasLeaving {
		go func() { _ = s.Leave(context.Background()) }()
	}
	go s.applyRefusal(set)
	return set, nil
}

// applyRefusal applies the switches for refused connections. It waits first, since a
// refusal also closes the connection of the request that set the switches.
func (s *Server) applyRefusal(set Faults) {
	time.Sleep(standin.FaultResponseDelay)
	_ = s.httpServer.SetRefusing(set.Refuse || set.RefuseMS > 0)
	if set.RefuseMS > 0 {
		time.Sleep(time.Duration(set.RefuseMS) * time.Millisecond)
		_ = s.httpServer.SetRefusing(set.Refuse)
	}
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	_, _ = s.ChangeFaults(func(current *Faults) { *current = f })
}

// Records returns the requests with a sequence number above since.
func (s *Server) Records(since uint64) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Record{}
	for _, r := range s.records {
		if r.Seq > since {
			list = append(list, r)
		}
	}
	return list
}

var errNoAgent = errors.New("no agent configured")

func (s *Server) announceLoop(ctx context.Context) {
	defer close(s.announcementsDone)
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		s.mu.Lock()
		silent := s.faults.Silent || s.faults.Leave
		s.mu.Unlock()
		if !silent {
			_ = s.postToAgent(ctx, "/v1/announce")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// postToAgent posts the announcement data of the backend server to a path of the agent.
func (s *Server) postToAgent(ctx context.Context, path string) error {
	if s.settings.Agent == "" {
		return errNoAgent
	}
	data, err := json.Marshal(map[string]any{
		"service": s.settings.Service, "address": s.httpServer.Addr(),
		"slots": s.settings.Slots, "instance": s.settings.Instance,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.settings.Agent+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		var oe *net.OpError
		if errors.As(err, &oe) && oe.Op == "dial" {
			return fmt.Errorf("cannot connect to the agent: %w", err)
		}
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	if resp.StatusCode >= 300 {
		return fmt.Errorf("agent rejected %s: HTTP status %d", path, resp.StatusCode)
	}
	return nil
}
