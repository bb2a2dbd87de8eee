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
