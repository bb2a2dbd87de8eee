package kernel

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// SetupLogging sends log entries to w, one line of key=value pairs for each
// event. Level is one of debug, info, warn, error.
func SetupLogging(w io.Writer, program, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log level %q: %w", level, err)
	}
	log.SetLevel(l)
	log.SetHandler(&lineHandler{w: w, program: program})
	return nil
}

type lineHandler struct {
	mu      sync.Mutex
	w       io.Writer
	program string
}

// HandleLog implements log.Handler.
func (h *lineHandler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	pair(&b, "time", e.Timestamp.UTC().Format(time.RFC3339Nano))
	pair(&b, "level", e.Level.String())
	pair(&b, "program", h.program)
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		if name != "event" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if event, ok := e.Fields["event"]; ok {
		pair(&b, "event", fmt.Sprint(event))
	}
	for _, name := range names {
		pair(&b, name, fmt.Sprint(e.Fields[name]))
	}
	pair(&b, "message", e.Message)
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

func pair(b *strings.Builder, key, value string) {
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		value = strconv.Quote(value)
	}
	b.WriteString(key)
	b.WriteByte('=')
	b.WriteString(value)
}
