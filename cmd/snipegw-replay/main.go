// Command snipegw-replay feeds a recorded trace to a scheduling policy and
// checks the stated outcomes. It exits 0 if none was broken, 1 if one was
// broken, and 2 for a bad trace.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/replay"
)

const (
	exitBroken   = 1
	exitBadTrace = 2
	// shownViolations bounds the violations of the text output.
	shownViolations = 20
)

type options struct {
	Trace  string `long:"trace" required:"true" description:"trace file of JSON lines"`
	Policy string `long:"policy" required:"true" description:"name of a scheduling policy"`
	JSON   bool   `long:"json" description:"print one JSON object"`
}

// weights are the goals of the two deployments.
var weights = map[string]model.Weights{
	"loads": {CompletionTime: 0.8, Fragmentation: 0.2},
	"casa":  {CompletionTime: 0.3, Fragmentation: 0.7},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitBadTrace)
	}
	os.Exit(run(o))
}

func run(o options) int {
	factory, err := framework.Policies.Get(o.Policy)
	if err != nil {
		return fail(err)
	}
	f, err := os.Open(o.Trace)
	if err != nil {
		return fail(err)
	}
	defer f.Close()
	trace, err := replay.Read(f)
	if err != nil {
		return fail(fmt.Errorf("%s: %w", o.Trace, err))
	}
	report := replay.Run(trace, factory(), weights[o.Policy])
	report.Policy = o.Policy
	show(report, o.JSON)
	if !report.OK() {
		return exitBroken
	}
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "snipegw-replay:", err)
	return exitBadTrace
}

func show(r *replay.Result, asJSON bool) {
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(r)
		return
	}
	violations := r.Violations
	r.Violations = nil
	data, _ := json.MarshalIndent(r, "", "  ")
	fmt.Println(string(data))
	fmt.Printf("violations: %d\n%s\n", len(violations), strings.Join(violations[:min(len(violations), shownViolations)], "\n"))
}
