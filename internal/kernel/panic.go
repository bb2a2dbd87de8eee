package kernel

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/apex/log"

	"snipegw/internal/result"
)

// maxLoggedStack limits the size of a logged stack trace in bytes.
const maxLoggedStack = 4 << 10

// LogPanic logs the value of a recovered panic with its place and its stack, and counts it. The
// scope names what has failed instead of the process. The place has a field of its own, because
// the stack begins with frames of the runtime and a copy of the line may be cut.
func LogPanic(scope string, value any, fields log.Fields) {
	stack := debug.Stack()
	Metrics.Count("snipegw_panics_total", "scope", scope)
	log.WithFields(fields).WithFields(log.Fields{
		"event": "panic_recovered", "scope": scope, "code": int(result.Internal), "error": fmt.Sprint(value),
		"at": panicPlace(), "stack": string(stack[:min(len(stack), maxLoggedStack)]),
	}).Error("an unexpected error was contained, and the process goes on")
}

// panicPlace returns the function, file and line that panicked, and "" if the caller is not
// recovering from a panic.
func panicPlace() string {
	pcs := make([]uintptr, 64)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs)])
	panicked := false
	for {
		f, more := frames.Next()
		switch {
		case f.Function == "runtime.gopanic":
			panicked = true
		case panicked && !strings.HasPrefix(f.Function, "runtime."):
			return fmt.Sprintf("%s %s:%d", filepath.Base(f.Function), filepath.Base(f.File), f.Line)
		}
		if !more {
			return ""
		}
	}
}

// Contain calls f. A panic of f is passed to LogPanic with the given scope, and returned as an error
// with code Internal, which leaves the outcome of f open. It is for calls after which the caller
// goes on from its own state, so f must leave none half changed and no lock held.
func Contain(scope string, f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			LogPanic(scope, r, nil)
			err = result.Errorf(result.Internal, "%s: an unexpected error was contained", scope)
		}
	}()
	return f()
}

// LogHandlerPanics returns a handler that calls h, and that passes a panic of h to LogPanic with
// the scope "http". net/http would contain it without the metric. The connection is aborted, so
// that the client has no response that looks complete. A panic with http.ErrAbortHandler, which
// aborts the connection on purpose, is not logged.
func LogHandlerPanics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				LogPanic("http", value, log.Fields{"method": r.Method})
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
