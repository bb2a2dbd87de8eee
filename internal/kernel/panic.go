package kernel

import (
	"fmt"
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
