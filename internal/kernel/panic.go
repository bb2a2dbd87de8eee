package kernel

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/apex/log"

	"snipegw/internal/result"
)

// maxLoggedStack limits the size of a logged stack trace in bytes.
const maxLoggedStack = 4 << 10

// LogPanic logs the value of a recovered panic with its stack, and counts it. The scope
// names what has failed instead of the process.
func LogPanic(scope string, value any, fields log.Fields) {
	stack := debug.Stack()
	Metrics.Count("snipegw_panics_total", "scope", scope)
	log.WithFields(fields).WithFields(log.Fields{
		"event": "panic_recovered", "scope": scope, "code": int(result.Internal), "error": fmt.Sprint(value), "stack": string(stack[:min(len(stack), maxLoggedStack)]),
	}).Error("an unexpected error was contained, and the process goes on")
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
