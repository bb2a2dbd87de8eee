package kernel

import (
	"bytes"
	"os"
	"regexp"
	"testing"

	"github.com/apex/log"
)

// Guards against the log of a panic that does not tell its place when the line is cut, because the
// stack begins with frames of the runtime.
func TestLoggedPanicNamesItsPlace(t *testing.T) {
	var out bytes.Buffer
	if err := SetupLogging(&out, "test", "info"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = SetupLogging(os.Stdout, "test", "info") })
	var missing *struct{ n int }
	func() {
		defer func() { LogPanic("test", recover(), log.Fields{}) }()
		missing.n++
	}()
	if place := regexp.MustCompile(`event=panic_recovered at="kernel\.\S+ panic_test\.go:\d+" code=`); !place.MatchString(out.String()) {
		t.Errorf("the line has no match of %v: %.300s", place, out.String())
	}
}
