package kernel

import (
	"fmt"
	"io"
	stdlog "log"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// SetupLogging makes package github.com/apex/log write to w, one line of key=value
// pairs for each entry. level is the minimum level: debug, info, warn or error. What
// libraries write through the standard package log becomes entries too.
func SetupLogging(w io.Writer, program, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log level %q, expected debug, info, warn or error: %w", level, err)
	}
	log.SetLevel(l)
	log.SetHandler(&lineHandler{w: w, program: program})
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{})
	return nil
}

// libraryWriter turns each message of the standard package log into a log entry.
type libraryWriter struct{}

// Write implements io.Writer.
func (libraryWriter) Write(text []byte) (int, error) {
	message := strings.TrimSpace(string(text))
	// The QUIC library tells this once in a process.
	if strings.HasPrefix(message, "failed to increase receive buffer size") || strings.HasPrefix(message, "failed to increase send buffer size") {
		log.WithFields(log.Fields{"event": "udp_buffer_small", "error": message}).Warn("the system limits the buffers of UDP sockets; packets may be lost under load")
	} else {
		log.WithFields(log.Fields{"event": "library_message", "error": message}).Warn("a library has written a message")
	}
	return len(text), nil
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
