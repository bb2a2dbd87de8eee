package planner

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"

	"snipegw/internal/kernel"
)

// provokedPanics is the number of panics that tests have provoked, by scope.
var provokedPanics = make(map[string]int)

// containedPanics returns the number of panics that this process has contained, by scope.
func containedPanics() map[string]int {
	var text bytes.Buffer
	kernel.Metrics.WriteText(&text)
	counts := make(map[string]int)
	for line := range strings.Lines(text.String()) {
		var scope string
		var n int
		if rest, ok := strings.CutPrefix(line, "snipegw_panics_total{scope="); ok {
			if _, err := fmt.Sscanf(rest, "%q} %d", &scope, &n); err != nil {
				panic(err)
			}
			counts[scope] = n
		}
	}
	return counts
}

// TestMain fails the tests if a panic was contained that no test has provoked.
func TestMain(m *testing.M) {
	code := m.Run()
	if got := containedPanics(); !maps.Equal(got, provokedPanics) {
		fmt.Fprintf(os.Stderr, "contained panics by scope: %v, provoked by tests: %v\n", got, provokedPanics)
		code = max(code, 1)
	}
	os.Exit(code)
}
