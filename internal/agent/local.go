package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"snipegw/internal/agent/gate"
	"snipegw/internal/result"
)

// Timeouts of the local HTTP server.
const (
	localReadTimeout  = 2 * time.Second
	localWriteTimeout = 10 * time.Second
	localIdleTimeout  = 30 * time.Second
)

// localHandler returns the handler of the local HTTP server, which serves the backend
// servers and the operators on this host.
func (a *Agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		a.serveAnnouncement(w, r, false, a.gate.Announce)
	})
	mux.HandleFunc("POST /v1/leave", func(w http.ResponseWriter, r *http.Request) {
		a.serveAnnouncement(w, r, true, a.gate.Leave)
	})
	a.dumper.Handle(mux, func() bool { return !a.stopping.Load() && a.heartbeats.Connected() })
	return mux
}

func (a *Agent) serveAnnouncement(w http.ResponseWriter, r *http.Request, leave bool, apply func(gate.Announcement) error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, gate.MaxAnnouncementBytes+1))
	if result.HasCode(err) {
		writeResult(w, err)
		return
	}
	if err != nil {
		writeResult(w, result.Errorf(result.BadRequest, "reading the announcement: %w", err))
		return
	}
	announcement, err := gate.ParseAnnouncement(data, leave)
	if err == nil {
		err = apply(announcement)
	}
	writeResult(w, err)
}

// localReply is the JSON body of every response to a backend server.
type localReply struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message,omitempty"`
}

func writeResult(w http.ResponseWriter, err error) {
	code := result.CodeOf(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code.Info().Status)
	_ = json.NewEncoder(w).Encode(localReply{Code: code, Name: code.String(), Message: result.MessageOf(err)})
}
