package kernel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"

	"snipegw/internal/connlimit"
)

// Loops is a Component that runs each function of Funcs in a goroutine until Stop
// cancels its context. Label is the component name. A panic of a function ends the process, which
// its supervisor starts again: what the function keeps may be half changed. Functions contain
// panics themselves where they can go on.
type Loops struct {
	Label  string
	Funcs  []func(context.Context)
	cancel context.CancelFunc
}

// Name implements Component.
func (l *Loops) Name() string { return l.Label }

// Start implements Component.
func (l *Loops) Start(ctx context.Context) error {
	ctx, l.cancel = context.WithCancel(ctx)
	for _, run := range l.Funcs {
		go run(ctx)
	}
	return nil
}

// Stop implements Component.
func (l *Loops) Stop(context.Context) error {
	l.cancel()
	return nil
}

// Sleep waits for d or until ctx is done, whichever comes first.
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
	// httpBodyTimeout limits the time in which a body must arrive, unless its handler knows the time limit of the call.
	httpBodyTimeout = 30 * time.Second
	// httpWriteTimeout limits the time from the header of a request to the end of its response, so that a client that does not
	// read cannot hold its connection for ever. It covers httpBodyTimeout and the longest call.
	httpWriteTimeout = 90 * time.Second
)

// HTTPServer is a Component that serves Handler on the TCP address Address. Label
// is the component name. Clients limits its clients, beside those of other servers; nil
// selects limits of its own.
type HTTPServer struct {
	Label   string
	Address string
	Handler http.Handler
	Clients *connlimit.Limiter
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
	if s.Clients == nil {
		s.Clients = NewClientLimiter(ClientSettings{})
	}
	s.server = &http.Server{Handler: LogHandlerPanics(s.Handler), ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: httpMaxHeaderBytes, WriteTimeout: httpWriteTimeout}
	go func() {
		if err := s.Clients.Serve(s.server, ln, s.Label, httpBodyTimeout); !errors.Is(err, http.ErrServerClosed) {
			log.WithFields(log.Fields{"event": "http_failed", "address": s.Address, "error": err.Error()}).Error("HTTP server stopped unexpectedly")
		}
	}()
	return nil
}

// Shutdown stops accepting connections and waits for the requests in progress.
func (s *HTTPServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Stop implements Component. It closes all connections immediately.
func (s *HTTPServer) Stop(context.Context) error { return s.server.Close() }

// defaultFilePollInterval is the default polling interval of a FileWatcher. It polls
// because the platform does not guarantee a signal when a settings file changes and
// provides no file notifications.
const defaultFilePollInterval = 2 * time.Second

// FileWatcher is a Component that triggers a reload when a file has changed.
type FileWatcher struct {
	File string
	// Interval is the polling interval; 0 selects defaultFilePollInterval.
	Interval time.Duration
	changed  chan struct{}
	cancel   context.CancelFunc
}

// Name implements Component.
func (f *FileWatcher) Name() string { return "file watch" }

// Start implements Component.
func (f *FileWatcher) Start(ctx context.Context) error {
	if f.Interval == 0 {
		f.Interval = defaultFilePollInterval
	}
	ctx, f.cancel = context.WithCancel(ctx)
	go f.run(ctx, f.version())
	return nil
}

// Stop implements Component.
func (f *FileWatcher) Stop(context.Context) error {
	f.cancel()
	return nil
}

// ReloadRequests implements ReloadTrigger.
func (f *FileWatcher) ReloadRequests() <-chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{}, 1)
	}
	return f.changed
}

func (f *FileWatcher) run(ctx context.Context, last fileVersion) {
	for ctx.Err() == nil {
		Sleep(ctx, f.Interval)
		// A file that is being replaced may be missing for a moment.
		if v := f.version(); v != last && v != (fileVersion{}) {
			last = v
			select {
			case f.changed <- struct{}{}:
			default: // a reload is already pending
			}
		}
	}
}

// fileVersion identifies the version of a file without reading its contents.
type fileVersion struct {
	modified time.Time
	size     int64
}

// version returns the current version of the file, the zero value if the file is
// missing.
func (f *FileWatcher) version() fileVersion {
	info, err := os.Stat(f.File)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
