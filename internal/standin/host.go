// Package standin holds what the stand-ins for the platform's store, the worker
// interface and a backend server share: an HTTP server that can refuse connections,
// and the endpoints for the fault switches. The stand-ins are imported only by tests
// and by development programs.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxJSONBodyBytes limits the JSON body of a request that ReadJSON decodes.
const maxJSONBodyBytes = 1 << 20

// HTTPServer serves HTTP on one address. Its listener can be closed and later opened
// again on the same port, so that connections are refused in between.
type HTTPServer struct {
	server      *http.Server
	addr        string
	mu          sync.Mutex
	listener    net.Listener // nil while connections are refused
	connections map[net.Conn]struct{}
	closed      bool
}

// Listen starts to serve h on addr; "127.0.0.1:0" selects a free port.
func Listen(addr string, h http.Handler) (*HTTPServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	srv := &HTTPServer{addr: ln.Addr().String(), listener: ln, connections: make(map[net.Conn]struct{})}
	srv.server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ConnState: srv.trackConnection}
	srv.serve(ln)
	return srv, nil
}

func (h *HTTPServer) serve(ln net.Listener) {
	go func() { _ = h.server.Serve(ln) }()
}

func (h *HTTPServer) trackConnection(c net.Conn, s http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch s {
	case http.StateNew:
		h.connections[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(h.connections, c)
	}
}

// Addr returns the listen address as host:port.
func (h *HTTPServer) Addr() string { return h.addr }

// URL returns the base URL of the server.
func (h *HTTPServer) URL() string { return "http://" + h.addr }

// SetRefusing(true) closes the listener and all connections; SetRefusing(false) opens
// the listener again.
func (h *HTTPServer) SetRefusing(refuse bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || refuse == (h.listener == nil) {
		return nil
	}
	if refuse {
		err := h.listener.Close()
		h.listener = nil
		h.closeConnectionsLocked()
		return err
	}
	ln, err := net.Listen("tcp", h.addr)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	h.listener = ln
	h.serve(ln)
	return nil
}

// FaultResponseDelay is how long connections stay open after a change of fault
// switches, so that the response to the change is sent before its own connection is
// closed too.
const FaultResponseDelay = 20 * time.Millisecond

// CloseConnectionsSoon closes all connections after FaultResponseDelay.
func (h *HTTPServer) CloseConnectionsSoon() {
	time.AfterFunc(FaultResponseDelay, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.closeConnectionsLocked()
	})
}

func (h *HTTPServer) closeConnectionsLocked() {
	for c := range h.connections {
		_ = c.Close()
	}
}

// Shutdown ends the server gracefully: it waits for calls in progress until ctx ends.
func (h *HTTPServer) Shutdown(ctx context.Context) error {
	h.stopListening(false)
	return ignoreClosed(h.server.Shutdown(ctx))
}

// Close ends the server and its connections at once.
func (h *HTTPServer) Close() error {
	h.stopListening(true)
	return ignoreClosed(h.server.Close())
}

// stopListening closes the listener and, if closeConnections is set, the connections.
// The callers close h.server after h.mu is released: closing waits for a connection
// that is being accepted, and trackConnection needs h.mu for that connection.
func (h *HTTPServer) stopListening(closeConnections bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.listener != nil {
		_ = h.listener.Close()
		h.listener = nil
	}
	if closeConnections {
		h.closeConnectionsLocked()
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// HandleFaults registers GET and POST /standin/faults. A POST changes only the fault
// switches that its body names. Both respond with all switches as they are set. The
// stand-in passes change, which applies a function to its switches and returns them.
func HandleFaults[F any](mux *http.ServeMux, change func(func(*F)) (F, error)) {
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		f, err := change(func(*F) {})
		writeResult(w, f, err)
	})
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var decodeErr error
		f, err := change(func(f *F) {
			candidate := *f
			if decodeErr = ReadJSON(r, &candidate); decodeErr == nil {
				*f = candidate
			}
		})
		if decodeErr != nil {
			http.Error(w, decodeErr.Error(), http.StatusBadRequest)
			return
		}
		writeResult(w, f, err)
	})
}

func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	WriteJSON(w, v)
}

// ReadJSON decodes the body of r into v and rejects unknown fields.
func ReadJSON(r *http.Request, v any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxJSONBodyBytes))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// WriteJSON sends v with status 200.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Abort closes the connection of the current call without a response. Only an HTTP
// handler may call it.
func Abort() { panic(http.ErrAbortHandler) }

// Pause waits for d or until ctx, the context of the request, ends.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
