// Package worker is a stand-in for the platform's worker interface: it runs
// simulated tasks under leases and records every start and end.
package worker

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
	"snipegw/internal/standin"
	"snipegw/internal/workerapi"
)

const (
	// advanceInterval is the interval at which due ends of running tasks and changes
	// of their usage are recorded. The recorded end times are computed and do not
	// depend on it.
	advanceInterval = 10 * time.Millisecond
	// endedTaskRetention is how long ended tasks stay in the task list.
	endedTaskRetention = 5 * time.Minute
	// maxLogEvents limits the log in memory. A full log drops its older half.
	maxLogEvents = 200_000
)

// Settings are the settings of the stand-in.
type Settings struct {
	// Address is the listen address as host:port; port 0 selects a free one.
	Address string `json:"address"`
	// Worker is what the stand-in reports about itself.
	Worker model.Worker `json:"worker"`
	// UsageLagMS is the age of reported usage in milliseconds; 0 means 1000.
	UsageLagMS int `json:"usage_lag_ms,omitempty"`
}

// Provision fills in defaults.
func (s *Settings) Provision() {
	if s.UsageLagMS == 0 {
		s.UsageLagMS = 1000
	}
}

// Validate adds the problems of s to errs.
func (s *Settings) Validate(errs *kernel.ValidationErrors) {
	if s.Address == "" {
		errs.Add("address", "required")
	}
	if s.Worker.ID == "" {
		errs.Add("worker.id", "required")
	}
}

// Faults are the fault switches.
type Faults struct {
	// FailTasks makes every task fail shortly after its start.
	FailTasks bool `json:"fail_tasks"`
	// Down closes every connection without a response or an effect. Tasks keep
	// running until their leases expire.
	Down bool `json:"down"`
	// SlowMS delays every call by this many milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseNext is the number of next starts and actions whose response is lost
	// after they took effect.
	LoseNext int `json:"lose_next"`
	// IgnoreLeases keeps tasks running after their lease has expired, and
	// IgnoreStops after a stop. No real worker does this: the switches test that a
	// checker detects it.
	IgnoreLeases bool `json:"ignore_leases"`
	IgnoreStops  bool `json:"ignore_stops"`
}

// Event is the start, the refused start, or the end of a task.
type Event struct {
	Seq uint64 `json:"seq"`
	// AtMS is the time of the event in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Event is start, end or refused.
	Event  string              `json:"event"`
	Worker string              `json:"worker"`
	Task   string              `json:"task"`
	State  workerapi.TaskState `json:"state,omitempty"`
	Reason string              `json:"reason,omitempty"`
	Labels map[string]string   `json:"labels,omitempty"`
}

// Server is a running stand-in.
type Server struct {
	httpServer *standin.HTTPServer
	settings   Settings
	now        func() time.Time

	mu       sync.Mutex
	tasks    map[string]*task
	faults   Faults
	events   []Event
	lastSeq  uint64
	stop     chan struct{}
	stopOnce sync.Once
}

// Start starts a stand-in.
func Start(s Settings) (*Server, error) {
	s.Provision()
	srv := &Server{settings: s, now: time.Now, tasks: make(map[string]*task), stop: make(chan struct{})}
	httpServer, err := standin.Listen(s.Address, srv.handler())
	if err != nil {
		return nil, err
	}
	srv.httpServer = httpServer
	go srv.advanceLoop()
	return srv, nil
}

// Addr returns the listen address as host:port.
func (s *Server) Addr() string { return s.httpServer.Addr() }

// URL returns the base URL.
func (s *Server) URL() string { return s.httpServer.URL() }

// Close ends the stand-in and its tasks.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	return s.httpServer.Close()
}

// Stop ends the stand-in and its tasks.
func (s *Server) Stop(context.Context) error { return s.Close() }

// ChangeFaults applies f to the fault switches and returns them as set.
func (s *Server) ChangeFaults(f func(*Faults)) (Faults, error) {
	s.mu.Lock()
	f(&s.faults)
	set := s.faults
	s.mu.Unlock()
	if set.Down {
		s.httpServer.CloseConnectionsSoon()
	}
	return set, nil
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	_, _ = s.ChangeFaults(func(current *Faults) { *current = f })
}

// Log returns the events with a sequence number above since.
func (s *Server) Log(since uint64) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Seq > since })
	return append([]Event{}, s.events[i:]...)
}

// Tasks returns the running and the recently ended tasks, ordered by id.
func (s *Server) Tasks() []workerapi.Task {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	list := make([]workerapi.Task, 0, len(s.tasks))
	for _, t := range s.tasks {
		list = append(list, t.apiTask(now))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (s *Server) advanceLoop() {
	t := time.NewTicker(advanceInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			s.mu.Lock()
			s.advance()
			s.mu.Unlock()
		}
	}
}

// advance records the usage of running tasks, ends those that are due, drops tasks that
// ended long ago, and returns the current time. The caller holds s.mu.
func (s *Server) advance() time.Time {
	now := s.now()
	for id, t := range s.tasks {
		if t.state != workerapi.TaskRunning {
			if now.Sub(t.ended) > endedTaskRetention {
				delete(s.tasks, id)
			}
			continue
		}
		t.recordUsage(now)
		if s.faults.IgnoreLeases {
			t.leaseEnd = now.Add(time.Second)
		}
		if at, state, reason := t.nextEnd(); !at.After(now) {
			s.endTask(t, at, state, reason)
		}
	}
	return now
}

// endTask ends a running task at the time at. The caller holds s.mu.
func (s *Server) endTask(t *task, at time.Time, state workerapi.TaskState, reason string) {
	t.workMS = t.workAt(at)
	t.state, t.reason, t.ended = state, reason, at
	s.recordEvent(at, "end", t.spec.ID, state, reason, t.spec.Labels)
}

func (s *Server) recordEvent(at time.Time, event, id string, state workerapi.TaskState, reason string, labels map[string]string) {
	s.lastSeq++
	if len(s.events) >= maxLogEvents {
		s.events = append([]Event(nil), s.events[maxLogEvents/2:]...)
	}
	s.events = append(s.events, Event{
		Seq: s.lastSeq, AtMS: at.UnixMilli(), Event: event, Worker: s.settings.Worker.ID,
		Task: id, State: state, Reason: reason, Labels: labels,
	})
}

// freeResources returns the resources that no running task holds. The caller holds
// s.mu.
func (s *Server) freeResources() model.Resources {
	free := s.settings.Worker.Capacity
	for _, t := range s.tasks {
		if t.state == workerapi.TaskRunning {
			free = free.Sub(t.spec.Resources)
		}
	}
	return free
}

// startTask starts a task, or returns the existing one with the same id. It is
// refused if the resources are not free or the command is not valid.
func (s *Server) startTask(spec workerapi.Task) (workerapi.Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	if t, ok := s.tasks[spec.ID]; ok {
		return t.apiTask(now), nil
	}
	if free := s.freeResources(); !spec.Resources.Fits(free) {
		reason := fmt.Sprintf("needs %+v, free is %+v", spec.Resources, free)
		s.recordEvent(now, "refused", spec.ID, "", reason, spec.Labels)
		return workerapi.Task{}, &refusedError{http.StatusConflict, reason}
	}
	t, err := newTask(spec, now, s.faults.FailTasks)
	if err != nil {
		return workerapi.Task{}, &refusedError{http.StatusBadRequest, err.Error()}
	}
	s.tasks[spec.ID] = t
	s.recordEvent(now, "start", spec.ID, workerapi.TaskRunning, "", spec.Labels)
	return t.apiTask(now), nil
}

// applyToTask applies f to the task with the given id if it is running, and returns
// the task.
func (s *Server) applyToTask(id string, f func(t *task, now time.Time)) (workerapi.Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.advance()
	t, ok := s.tasks[id]
	if !ok {
		return workerapi.Task{}, &refusedError{http.StatusNotFound, "unknown task " + id}
	}
	if t.state == workerapi.TaskRunning {
		f(t, now)
	}
	return t.apiTask(now), nil
}
