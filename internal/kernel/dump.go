package kernel

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sort"
	"sync"
)

// MaxDumpBytes limits the size of the state dump of a process.
const MaxDumpBytes = 8 << 20

// Dumper collects the state of a process for /debug/state. The state of a part
// must not contain tokens or keys.
type Dumper struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// NewDumper returns an empty Dumper.
func NewDumper() *Dumper { return &Dumper{parts: make(map[string]func() any)} }

// Add registers the part name. state returns a value that is encoded as JSON; it
// is called for each dump and must be safe for concurrent use.
func (d *Dumper) Add(name string, state func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts[name] = state
}

// Dump returns the state of all parts as a JSON object. A part that would make
// the dump exceed MaxDumpBytes is replaced by its size in omitted_bytes. A part
// that cannot be encoded is an error.
func (d *Dumper) Dump() ([]byte, error) {
	d.mu.Lock()
	parts := make(map[string]func() any, len(d.parts))
	for name, state := range d.parts {
		parts[name] = state
	}
	d.mu.Unlock()
	names := make([]string, 0, len(parts))
	for name := range parts {
		names = append(names, name)
	}
	sort.Strings(names)
	out := make(map[string]json.RawMessage, len(names))
	total := 0
	for _, name := range names {
		data, err := json.Marshal(parts[name]())
		if err != nil {
			return nil, err
		}
		if total+len(data) > MaxDumpBytes {
			data, _ = json.Marshal(map[string]int{"omitted_bytes": len(data)})
		}
		total += len(data)
		out[name] = data
	}
	return json.MarshalIndent(out, "", "  ")
}

// Handle registers /debug/state, /debug/vars and /healthz on mux. healthy reports
// whether a load balancer may send traffic to the process.
func (d *Dumper) Handle(mux *http.ServeMux, healthy func() bool) {
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		data, err := d.Dump()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
