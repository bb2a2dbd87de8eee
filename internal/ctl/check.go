package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"snipegw/internal/config"
	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/intake"
)

const checkHelp = `Checks a whole configuration document before it is sent: errors, entries that can never match,
limits that contradict each other, and with --against what differs from another document or
from the one in force. The checks are those of the entries. FILE "-" is standard input.
Exits with status 1 if there are findings, and with 2 if the document cannot be read.

Examples:
  snipegwctl config check config.json --against in-force
  snipegwctl config check op-config.json --format platform --store 10.0.0.7:8524 --against in-force`

// inForce is the value of --against for the document in force.
const inForce = "in-force"

// ownFormat is the value of --format for documents of this product.
const ownFormat = "snipegw"

type configCheck struct {
	workflowCommand
	Against string `long:"against" description:"file to compare with, or in-force" value-name:"FILE"`
	Format  string `long:"format" description:"snipegw, or the registered format of a system that serves workflows" default:"snipegw"`
	Store   string `long:"store" description:"address of the store of a system that serves workflows, host:port (environment SNIPEGW_STORE); its workers are then known" value-name:"HOST:PORT"`
	Type    string `long:"store-type" description:"store plug-in" default:"platform"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// finding is a fault or a difference in the output of config check.
type finding struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// checkReport is the output of config check.
type checkReport struct {
	Findings []finding `json:"findings"`
	// Changes lists what differs, "-" before what the document lacks and "+" before what
	// it adds; absent without --against.
	Changes []string `json:"changes,omitempty"`
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	data, err := c.readFile(c.Args.File)
	if err != nil {
		return err
	}
	var r checkReport
	if c.Format == ownFormat {
		r, err = c.checkOwn(data)
	} else {
		r, err = c.checkWorkflow(data)
	}
	if err != nil {
		return err
	}
	return c.printReport(r)
}

func (c *configCheck) printReport(r checkReport) error {
	if c.JSON {
		if err := c.printJSON(r); err != nil {
			return err
		}
	} else {
		for _, f := range r.Findings {
			fmt.Fprintf(c.env.Stdout, "%s: %s\n", f.Path, f.Reason)
		}
		for _, line := range r.Changes {
			fmt.Fprintln(c.env.Stdout, line)
		}
		fmt.Fprintf(c.env.Stdout, "%d findings\n", len(r.Findings))
	}
	if len(r.Findings) > 0 {
		return errFindings
	}
	return nil
}

// errFindings ends the program with ExitRefused after the report was printed.
var errFindings = errors.New("there are findings")

func toFindings(faults kernel.ValidationErrors, path func(string) string) []finding {
	out := []finding{}
	for _, f := range faults {
		out = append(out, finding{Path: path(f.Path), Reason: f.Reason})
	}
	return out
}

// checkOwn checks a document of this product.
func (c *configCheck) checkOwn(data []byte) (checkReport, error) {
	r := checkReport{Findings: []finding{}}
	if data[0] != '{' {
		return r, usagef("%s is not a configuration document: it is not a JSON object", c.Args.File)
	}
	var faults kernel.ValidationErrors
	if _, err := config.Parse(data); errors.As(err, &faults) {
		r.Findings = toFindings(faults, func(p string) string { return p })
	} else if err != nil {
		return r, usagef("%s: %v", c.Args.File, err)
	}
	var other any
	switch c.Against {
	case "":
		return r, nil
	case inForce, "in force":
		if err := c.client.get(c.ctx, "/v1/config", &other); err != nil {
			return r, err
		}
	default:
		against, err := c.readFile(c.Against)
		if err != nil {
			return r, err
		}
		if err := json.Unmarshal(against, &other); err != nil {
			return r, usagef("%s: %v", c.Against, err)
		}
	}
	var own any
	if err := json.Unmarshal(data, &own); err != nil {
		return r, usagef("%s: %v", c.Args.File, err)
	}
	r.Changes = diffValues("", other, own, nil)
	return r, nil
}

// checkWorkflow checks a document in the format of a system that serves workflows.
func (c *configCheck) checkWorkflow(data []byte) (checkReport, error) {
	var r checkReport
	format, err := intake.ConfigFormats.Get(c.Format)
	if err != nil {
		return r, usagef("%v", err)
	}
	decode := func(name string, data []byte) (*workflow.Config, error) {
		cfg, err := format.Decode(data)
		if err != nil {
			return nil, usagef("%s cannot be decoded: %v", name, err)
		}
		if cfg.Version == 0 {
			return nil, usagef("%s is not a document of format %s: it states no version", name, c.Format)
		}
		return cfg, nil
	}
	own, err := decode(c.Args.File, data)
	if err != nil {
		return r, err
	}
	c.options = &workflowOptions{Store: c.Store, Type: c.Type, Format: c.Format}
	fromStore := c.Against == inForce || c.Against == "in force"
	var pool *workflow.Resources
	var other *workflow.Config
	if fromStore || c.Store != "" {
		s, err := c.readSystem()
		if err != nil {
			return r, err
		}
		if fromStore {
			other = s.Config
		}
		if state, err := c.plannerState(s); err == nil {
			pool = new(workflow.Resources)
			for _, w := range state.Workers {
				pool.Accelerators += w.Accelerators
			}
		} else {
			fmt.Fprintf(c.env.Stderr, "the workers are not known: %v\n", result.MessageOf(err))
		}
	}
	if c.Against != "" && !fromStore {
		against, err := c.readFile(c.Against)
		if err != nil {
			return r, err
		}
		if other, err = decode(c.Against, against); err != nil {
			return r, err
		}
	}
	own.Provision()
	var faults kernel.ValidationErrors
	own.Validate(&faults, pool)
	path := func(p string) string { return p }
	if format.Path != nil {
		path = format.Path
	}
	r.Findings = toFindings(faults, path)
	if other != nil {
		r.Changes = diffValues("", configValues(other), configValues(own), nil)
	}
	return r, nil
}

// configValues returns a configuration as values for diffValues. Queues are by name, so that
// one that is inserted does not change all after it. Tokens are shown as fingerprints.
func configValues(c *workflow.Config) any {
	queues, services, teams := make(map[string]any), make(map[string]any), make(map[string]any)
	for _, q := range c.Queues {
		queues[q.Name] = q
	}
	for name, s := range c.Services {
		services[name] = s
	}
	for name, t := range c.Teams {
		teams[name] = t
	}
	data, err := json.Marshal(map[string]any{"version": c.Version, "max_body": c.MaxBody, "queues": queues, "services": services, "teams": teams})
	if err != nil {
		return err.Error() // for a number that JSON does not have
	}
	var out any
	_ = json.Unmarshal(data, &out)
	return out
}

// lineOf returns the line at which data stops being valid JSON, and why.
func lineOf(data []byte) (line int, reason string) {
	var v any
	var syntax *json.SyntaxError
	if !errors.As(json.Unmarshal(data, &v), &syntax) {
		return 1, "no JSON"
	}
	return 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n")), syntax.Error()
}
