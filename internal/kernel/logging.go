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

// SetupLogging makes package github.com/apex/log write to w, one line of key=value
// pairs for each entry. level is the minimum level: debug, info, warn or error.
func SetupLogging(w io.Writer, program, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log level %q, expected debug, info, warn or error: %w", level, err)
	}
	log.SetLevel(l)
	log.SetHandler(&lineHandler{w: w, program: program})
	return nil
}

// lineHandler writes log entries as lines of key=value pairs.
type lineHandler struct {
	mu      sync.Mutex
	w       io.Writer
	program string
}

// HandleLog implements log.Handler.
func (h *lineHandler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	writePair(&b, "time", e.Timestamp.UTC().Format(time.RFC3339Nano))
	writePair(&b, "level", e.Level.String())
	writePair(&b, "program", h.program)
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		if name != "event" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if event, ok := e.Fields["event"]; ok {
		writePair(&b, "event", fmt.Sprint(event))
	}
	for _, name := range names {
		writePair(&b, name, fmt.Sprint(e.Fields[name]))
	}
	writePair(&b, "message", e.Message)
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

// writePair appends key=value to b, with the value quoted where necessary.
func writePair(b *strings.Builder, key, value string) {
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
