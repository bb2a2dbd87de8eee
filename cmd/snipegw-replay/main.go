// Command snipegw-replay replays recorded or generated traces with a scheduling
// policy and checks the scheduling requirements. It exits with 0 if all were met,
// 1 if one was broken, and 2 for an invalid trace, policy or command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	_ "snipegw/internal/planner" // registers the production policies
	"snipegw/internal/replay"
)

// version is set by the linker.
var version = "development"

type options struct {
	TraceFile       string `long:"trace" value-name:"FILE" description:"trace file with one JSON object per line"`
	Policy          string `long:"policy" value-name:"NAME" description:"name of the scheduling policy"`
	JSON            bool   `long:"json" description:"print the result as one JSON object"`
	Table           bool   `long:"table" description:"compare all policies on the trace files given as arguments"`
	GeneratedTraces int    `long:"generate" value-name:"N" description:"replay N generated traces on the workers and teams of --trace"`
	SingleFailures  bool   `long:"single-failures" description:"let at most one worker at a time fail in generated traces"`
	Version         bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	traces, err := flags.Parse(&o)
	if err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return replay.ExitOK
		}
		return replay.ExitBadTrace
	}
	status := replay.ExitOK
	switch {
	case o.Version:
		fmt.Println("snipegw-replay", version)
	case o.Table:
		status, err = replay.CompareFiles(os.Stdout, traces)
	case o.GeneratedTraces > 0:
		status, err = replay.RunGenerated(os.Stdout, o.TraceFile, o.Policy, o.GeneratedTraces, o.SingleFailures)
	default:
		status, err = replay.RunFile(os.Stdout, o.TraceFile, o.Policy, o.JSON)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipegw-replay:", err)
	}
	return status
}
