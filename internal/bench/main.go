// Command bench measures requests, routing decisions, starts of jobs, an idle
// agent, the supervisor of a gang, the configuration document and membership. Each
// section prints its results as tables, beside those of a baseline that is measured in
// the same run. Most sections start the built programs as separate processes on
// loopback.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	BinDir      string        `long:"bin" default:"bin" description:"directory of the built programs"`
	Only        []string      `long:"only" description:"section to run: requests, routing, jobs, agent, gang, document or membership; may be repeated"`
	AgentCounts []int         `long:"peers" description:"number of agents in the section membership; may be repeated" default:"10" default:"150" default:"350" default:"700" default:"1400"`
	PlotDir     string        `long:"plot" value-name:"DIR" description:"directory for SVG plots of the section membership"`
	MeasureTime time.Duration `long:"measure" default:"5s" description:"duration of each measurement"`
}

// section is one part of the report.
type section struct {
	name string
	run  func(o *options, r *report) error
}

var sections = []section{
	{"requests", requestsSection},
	{"routing", routingSection},
	{"jobs", jobsSection},
	{"agent", agentSection},
	{"gang", gangSection},
	{"document", documentSection},
	{"membership", membershipSection},
}

// report prints titles and the rows of tables to standard output.
type report struct {
	w *tabwriter.Writer
}

// title flushes the rows of the preceding table and prints a heading.
func (r *report) title(format string, args ...any) {
	_ = r.w.Flush()
	fmt.Printf("\n%s\n", fmt.Sprintf(format, args...))
}

// row adds a row to the current table. Numbers of type float64 get two decimals.
func (r *report) row(cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			parts[i] = fmt.Sprintf("%.2f", v)
		default:
			parts[i] = fmt.Sprint(v)
		}
	}
	fmt.Fprintln(r.w, strings.Join(parts, "\t"))
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	r := &report{w: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
	fmt.Printf("%d processors, load average %s, %s\n", runtime.NumCPU(), loadAverage(), runtime.Version())
	failed := false
	for _, s := range sections {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.name) {
			continue
		}
		if err := s.run(&o, r); err != nil {
			fmt.Fprintf(os.Stderr, "section %s: %v\n", s.name, err)
			failed = true
		}
		_ = r.w.Flush()
	}
	if failed {
		os.Exit(1)
	}
}

// loadAverage returns the machine's load average over the last minute. It is
// printed since other work on the machine distorts all measurements.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
