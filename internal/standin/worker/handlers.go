package worker

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"snipegw/internal/standin"
	"snipegw/internal/workerapi"
)

// maxLeaseMS is the longest lease duration in milliseconds.
const maxLeaseMS = 60_000

// refusedError is a start or action that was refused and had no effect.
type refusedError struct {
	status int
	reason string
}

func (r *refusedError) Error() string { return r.reason }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/worker", s.readHandler(func() any { return s.settings.Worker }))
	mux.HandleFunc("GET /v1/tasks", s.readHandler(func() any { return s.Tasks() }))
	mux.HandleFunc("GET /v1/usage", s.readHandler(func() any { return s.usageReports() }))
	mux.HandleFunc("PUT /v1/tasks/{id}", s.handleStart)
	mux.HandleFunc("POST /v1/tasks/{id}/{action}", s.handleAction)
	mux.HandleFunc("GET /standin/log", func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		standin.WriteJSON(w, s.Log(since))
	})
	mux.HandleFunc("GET /standin/tasks", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, s.Tasks())
	})
	standin.HandleFaults(mux, s.ChangeFaults)
	return mux
}

// admit applies the fault switches that act before a call takes effect.
func (s *Server) admit(r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		standin.Abort()
	}
	standin.Pause(r.Context(), time.Duration(faults.SlowMS)*time.Millisecond)
}

func (s *Server) readHandler(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.admit(r)
		standin.WriteJSON(w, value())
	}
}

// usageReports returns the usage of tasks as it was UsageLagMS ago.
func (s *Server) usageReports() []workerapi.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(s.settings.UsageLagMS) * time.Millisecond
	at := s.advance().Add(-lag)
	list := []workerapi.Usage{}
	for _, t := range s.tasks {
		if t.state != workerapi.TaskRunning && t.ended.Before(at) {
			continue
		}
		if u, ok := t.usageAt(at); ok {
			u.AgeMS = lag.Milliseconds()
			list = append(list, u)
		}
	}
	return list
}

func (s *Server) handleStart(w http.ResponseWriter, r *http.Request) {
	s.admit(r)
	var spec workerapi.Task
	if err := standin.ReadJSON(r, &spec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	spec.ID = r.PathValue("id")
	if spec.LeaseMS <= 0 || spec.LeaseMS > maxLeaseMS {
		http.Error(w, "lease_ms must be between 1 and 60000", http.StatusBadRequest)
		return
	}
	t, err := s.startTask(spec)
	s.writeTask(w, t, err)
}

func (s *Server) handleAction(w http.ResponseWriter, r *http.Request) {
	s.admit(r)
	var body struct {
		LeaseMS int64   `json:"lease_ms"`
		Share   float64 `json:"share"`
	}
	if err := standin.ReadJSON(r, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var apply func(t *task, now time.Time)
	switch r.PathValue("action") {
	case "renew":
		if body.LeaseMS <= 0 || body.LeaseMS > maxLeaseMS {
			http.Error(w, "lease_ms must be between 1 and 60000", http.StatusBadRequest)
			return
		}
		apply = func(t *task, now time.Time) { t.leaseEnd = now.Add(time.Duration(body.LeaseMS) * time.Millisecond) }
	case "checkpoint":
		apply = func(t *task, now time.Time) { t.checkpointMS = t.workAt(now) }
	case "throttle":
		apply = func(t *task, now time.Time) { t.setThrottle(now, body.Share) }
	case "stop":
		apply = func(t *task, now time.Time) {
			if !s.faults.IgnoreStops {
				s.endTask(t, now, workerapi.TaskStopped, "stopped")
			}
		}
	default:
		http.Error(w, "unknown action; expected renew, checkpoint, throttle or stop", http.StatusNotFound)
		return
	}
	t, err := s.applyToTask(r.PathValue("id"), apply)
	s.writeTask(w, t, err)
}

// writeTask sends the state of a task or the error, or loses the response if LoseNext
// is set.
func (s *Server) writeTask(w http.ResponseWriter, t workerapi.Task, err error) {
	s.mu.Lock()
	lose := s.faults.LoseNext > 0
	if lose {
		s.faults.LoseNext--
	}
	s.mu.Unlock()
	if lose {
		standin.Abort()
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		http.Error(w, refused.reason, refused.status)
		return
	}
	standin.WriteJSON(w, t)
}
