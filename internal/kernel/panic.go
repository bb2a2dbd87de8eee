package kernel

import (
	"fmt"
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
