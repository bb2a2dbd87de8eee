package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
	"snipegw/internal/workflow/inspect"
	"snipegw/internal/workflow/intake"
)

const workflowHelp = `Shows the state of a system that serves workflows, from the records in its store and the
state dump of its planner.

Examples:
  snipegwctl workflow --store 10.0.0.7:8524 status --watch
  SNIPEGW_STORE=10.0.0.7:8524 snipegwctl workflow explain 5c0e7a21d94b36f8`

// workflowOptions are the options of the command workflow and its subcommands.
type workflowOptions struct {
	Store  string `long:"store" description:"address of the store, host:port (environment SNIPEGW_STORE)" value-name:"HOST:PORT"`
	Type   string `long:"store-type" description:"store plug-in" default:"platform"`
	Format string `long:"config-format" description:"registered format of the operators' configuration" default:"platform"`
}

func (a *app) workflowCommands() command {
	options := new(workflowOptions)
	base := workflowCommand{app: a, options: options}
	return command{name: "workflow", short: "Show the state of a system that serves workflows", long: workflowHelp, options: options, subcommands: []command{
		{name: "status", short: "Show a summary of the planner, the jobs, and what teams borrow and lend", long: "Example: snipegwctl workflow status --watch", options: &workflowStatus{workflowCommand: base}},
		{name: "jobs", short: "List jobs", long: "Example: snipegwctl workflow jobs --state active", options: &workflowJobs{workflowCommand: base}},
		{name: "explain", short: "Explain why a job is in its state", long: "Example: snipegwctl workflow explain 5c0e7a21d94b36f8", options: &workflowExplain{workflowCommand: base}},
		{name: "queues", short: "List queues and count their jobs by state", long: "Example: snipegwctl workflow queues", options: &workflowQueues{workflowCommand: base}},
		{name: "workers", short: "List workers as the planner sees them", long: "Example: snipegwctl workflow workers --watch", options: &workflowWorkers{workflowCommand: base}},
		{name: "planner", short: "Show the planner and the entries", long: "Example: snipegwctl workflow planner", options: &workflowPlanner{workflowCommand: base}},
		{name: "config", short: "Show the configuration in force", long: "Tokens are not shown.\n\nExample: snipegwctl workflow config", options: &workflowConfig{workflowCommand: base}},
	}}
}

// workflowCommand is what the subcommands of workflow share.
type workflowCommand struct {
	*app    `no-flag:"true"`
	options *workflowOptions
}

// readSystem reads the records of the system from its store.
func (c *workflowCommand) readSystem() (*inspect.System, error) {
	address := c.options.Store
	if address == "" {
		address = c.env.Getenv("SNIPEGW_STORE")
	}
	if address == "" {
		return nil, usagef("the address of the store is missing: set --store HOST:PORT or SNIPEGW_STORE")
	}
	format, err := intake.ConfigFormats.Get(c.options.Format)
	if err != nil {
		return nil, usagef("%v", err)
	}
	table, err := store.OpenTable(store.Settings{Type: c.options.Type, Addresses: []string{address}, TimeoutMS: int(c.Timeout.Milliseconds())})
	if err != nil {
		return nil, usagef("%v", err)
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	return inspect.Read(ctx, table, format)
}

// plannerDump is the part of the planner's state dump that the commands show.
type plannerDump struct {
	Planner struct {
		Planning bool         `json:"planning"`
		Engine   engine.State `json:"engine"`
	} `json:"planner"`
}

// plannerState reads the engine's state from the state dump of the planner. It fails
// with code NoPlanner if no entry is the planner, and with EntryUnreachable if the
// planner does not respond.
func (c *workflowCommand) plannerState(s *inspect.System) (*engine.State, error) {
	if s.Planner == nil {
		return nil, result.Errorf(result.NoPlanner, "no entry is the planner at present")
	}
	address := s.Entries[s.Planner.Entry].Debug
	if address == "" {
		return nil, result.Errorf(result.EntryUnreachable, "the record of entry %s has no address for its state dump", s.Planner.Entry)
	}
	var d plannerDump
	if err := newClient("http://"+address, "", c.Timeout).get(c.ctx, "/debug/state", &d); err != nil {
		return nil, err
	}
	if !d.Planner.Planning {
		return nil, result.Errorf(result.NoPlanner, "entry %s is no longer the planner", s.Planner.Entry)
	}
	return &d.Planner.Engine, nil
}

type workflowJobs struct {
	workflowCommand
	watchOptions
	Queue string `long:"queue" description:"only jobs of this queue"`
	Team  string `long:"team" description:"only jobs of this team"`
	State string `long:"state" description:"only jobs in this state: pending, active, complete, failed or canceled"`
}

// jobRow is a job in the output of workflow jobs and workflow explain.
type jobRow struct {
	ID       string         `json:"id"`
	Queue    string         `json:"queue"`
	Team     string         `json:"team"`
	Priority int            `json:"priority"`
	State    workflow.State `json:"state"`
	Accepted time.Time      `json:"accepted"`
	inspect.Counts
}

// Execute implements flags.Commander.
func (c *workflowJobs) Execute([]string) error { return c.showRepeatedly(c.watchOptions, c.show) }

func (c *workflowJobs) show() error {
	s, err := c.readSystem()
	if err != nil {
		return err
	}
	list := []jobRow{}
	var rows [][]string
	for _, j := range s.Jobs {
		if c.Queue != "" && j.Record.Queue != c.Queue || c.Team != "" && j.Record.Team != c.Team || c.State != "" && string(j.State()) != c.State {
			continue
		}
		r := newJobRow(s, j)
		list = append(list, r)
		rows = append(rows, []string{r.ID, r.Queue, r.Team, strconv.Itoa(r.Priority), string(r.State), formatAge(j.Record.AcceptedMS),
			fmt.Sprintf("%d/%d", r.Done, r.Items), strconv.Itoa(r.Running), strings.Join(r.Workers, ",")})
	}
	if c.JSON {
		return c.printJSON(map[string]any{"jobs": list})
	}
	return c.printTable("job queue team priority state age done running workers", rows)
}

func newJobRow(s *inspect.System, j *inspect.Job) jobRow {
	return jobRow{ID: j.ID, Queue: j.Record.Queue, Team: j.Record.Team, Priority: s.Priority(j), State: j.State(),
		Accepted: time.UnixMilli(j.Record.AcceptedMS).UTC(), Counts: j.Counts()}
}

type workflowExplain struct {
	workflowCommand
	Args struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *workflowExplain) Execute([]string) error {
	s, err := c.readSystem()
	if err != nil {
		return err
	}
	j := s.Job(c.Args.Job)
	if j == nil {
		return result.Errorf(result.JobGone, "the store has no job %s: it was not accepted, or it ended long ago", c.Args.Job)
	}
	waiting := ""
	var planner *engine.JobState
	var dumpErr error
	if !j.State().Terminal() {
		var d *engine.State
		if d, dumpErr = c.plannerState(s); dumpErr == nil {
			if i := slices.IndexFunc(d.Jobs, func(p engine.JobState) bool { return p.ID == j.ID }); i >= 0 {
				planner, waiting = &d.Jobs[i], d.Jobs[i].WaitReason
			}
		}
	}
	sentence := s.Explain(j, waiting)
	if c.JSON {
		out := map[string]any{"job": newJobRow(s, j), "sentence": sentence, "planner": planner}
		if dumpErr != nil {
			out["planner_error"] = dumpErr.Error()
		}
		return c.printJSON(out)
	}
	fmt.Fprintf(c.env.Stdout, "%s is %s. %s\n", j.ID, j.State(), sentence)
	fmt.Fprintf(c.env.Stdout, "queue %s, priority %d, team %s, accepted %s ago\n", j.Record.Queue, s.Priority(j), j.Record.Team, formatAge(j.Record.AcceptedMS))
	if planner != nil {
		fmt.Fprintf(c.env.Stdout, "claim: %s\n", planner.Class)
	}
	if dumpErr != nil {
		fmt.Fprintf(c.env.Stderr, "the state of the planner is not available: %v\n", dumpErr)
	}
	return nil
}

type workflowQueues struct{ workflowCommand }

// queueRow is a queue in the output of workflow queues.
type queueRow struct {
	Name     string                 `json:"queue"`
	Priority int                    `json:"priority"`
	Attempts int                    `json:"max_attempts"`
	Service  string                 `json:"service"`
	Path     string                 `json:"path"`
	Jobs     map[workflow.State]int `json:"jobs"`
	// Queued counts the jobs of which no worker has begun an item, as callers are told.
	Queued int `json:"queued"`
}

// Execute implements flags.Commander.
func (c *workflowQueues) Execute([]string) error {
	s, err := c.readSystem()
	if err != nil {
		return err
	}
	list := make([]queueRow, len(s.Config.Queues))
	var rows [][]string
	for i, q := range s.Config.Queues {
		r := queueRow{Name: q.Name, Priority: q.Priority, Attempts: q.MaxAttempts, Service: q.Service, Path: q.Host + q.PathPrefix, Jobs: make(map[workflow.State]int)}
		for _, j := range s.Jobs {
			if j.Record.Queue == q.Name {
				r.Jobs[j.State()]++
				if j.IsQueued() {
					r.Queued++
				}
			}
		}
		list[i] = r
		rows = append(rows, []string{r.Name, strconv.Itoa(r.Priority), strconv.Itoa(r.Attempts), r.Service, r.Path,
			strconv.Itoa(r.Queued), strconv.Itoa(r.Jobs[workflow.StatePending]), strconv.Itoa(r.Jobs[workflow.StateActive]), strconv.Itoa(r.Jobs[workflow.StateFailed])})
	}
	if c.JSON {
		return c.printJSON(map[string]any{"queues": list})
	}
	return c.printTable("queue priority attempts service path queued pending active failed", rows)
}

type workflowWorkers struct {
	workflowCommand
	watchOptions
}

// Execute implements flags.Commander.
func (c *workflowWorkers) Execute([]string) error { return c.showRepeatedly(c.watchOptions, c.show) }

func (c *workflowWorkers) show() error {
	s, err := c.readSystem()
	if err != nil {
		return err
	}
	d, err := c.plannerState(s)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(map[string]any{"workers": d.Workers})
	}
	var rows [][]string
	for _, w := range d.Workers {
		flags := trueKeys(map[string]bool{"usable": w.Usable, "draining": w.Draining, "excluded": w.Excluded, "evacuated": w.Evacuated, "cold": w.Cold})
		silent := "no report"
		if w.ReportAgeMS >= 0 {
			silent = formatDuration(time.Duration(w.ReportAgeMS) * time.Millisecond)
		}
		rows = append(rows, []string{w.Node, cmp.Or(w.FailureDomain, s.Agents[w.Node].Zone), w.Rack, flags, fmt.Sprintf("%d/%d", w.FreeAccelerators, w.Accelerators),
			strconv.Itoa(w.Items), silent})
	}
	return c.printTable("worker failure_domain rack use accelerators_free items silent", rows)
}

type workflowPlanner struct{ workflowCommand }

// Execute implements flags.Commander.
func (c *workflowPlanner) Execute([]string) error {
	s, err := c.readSystem()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(map[string]any{"planner": s.Planner, "epoch": s.Epoch, "entries": s.Entries})
	}
	var rows [][]string
	for _, id := range sortedKeys(s.Entries) {
		e := s.Entries[id]
		role := ""
		if s.Planner != nil && s.Planner.Entry == id {
			role = fmt.Sprintf("planner, epoch %d", s.Epoch)
		}
		rows = append(rows, []string{id, e.Zone, e.Address, e.Debug, role})
	}
	if err := c.printTable("entry failure_domain address dump role", rows); err != nil {
		return err
	}
	if s.Planner == nil {
		return result.Errorf(result.NoPlanner, "no entry is the planner at present")
	}
	return nil
}

type workflowConfig struct{ workflowCommand }

// Execute implements flags.Commander.
func (c *workflowConfig) Execute([]string) error {
	s, err := c.readSystem()
	if err != nil {
		return err
	}
	type team struct {
		Name      string `json:"team"`
		Guarantee int64  `json:"guaranteed_accelerators"`
		Tokens    int    `json:"tokens"`
	}
	var teams []team
	for _, name := range sortedKeys(s.Config.Teams) {
		t := s.Config.Teams[name]
		teams = append(teams, team{name, t.Guarantee, len(t.Tokens)})
	}
	if c.JSON {
		return c.printJSON(map[string]any{"version": s.Config.Version, "queues": s.Config.Queues, "services": s.Config.Services, "teams": teams})
	}
	fmt.Fprintf(c.env.Stdout, "version %d: %d queues, services %s\n", s.Config.Version, len(s.Config.Queues), strings.Join(sortedKeys(s.Config.Services), ", "))
	var rows [][]string
	for _, t := range teams {
		rows = append(rows, []string{t.Name, strconv.FormatInt(t.Guarantee, 10), strconv.Itoa(t.Tokens)})
	}
	return c.printTable("team guaranteed_accelerators tokens", rows)
}

type workflowStatus struct {
	workflowCommand
	watchOptions
}

// Execute implements flags.Commander.
func (c *workflowStatus) Execute([]string) error { return c.showRepeatedly(c.watchOptions, c.show) }

func (c *workflowStatus) show() error {
	s, err := c.readSystem()
	if err != nil {
		return err
	}
	states := make(map[workflow.State]int)
	for _, j := range s.Jobs {
		states[j.State()]++
	}
	teams := s.Teams()
	if c.JSON {
		return c.printJSON(map[string]any{"planner": s.Planner, "epoch": s.Epoch, "config_version": s.Config.Version,
			"entries": len(s.Entries), "agents": len(s.Agents), "jobs": states, "teams": teams, "evacuations": s.Evacuations, "unreadable_records": s.Unreadable})
	}
	out := c.env.Stdout
	if s.Planner == nil {
		fmt.Fprintln(out, "planner  NONE")
	} else {
		fmt.Fprintf(out, "planner  %s, epoch %d\n", s.Planner.Entry, s.Epoch)
	}
	fmt.Fprintf(out, "config   version %d, %d queues\n", s.Config.Version, len(s.Config.Queues))
	fmt.Fprintf(out, "known    %d entries, %d agents\n", len(s.Entries), len(s.Agents))
	fmt.Fprintf(out, "jobs     %d pending, %d active, %d complete, %d failed, %d canceled\n", states[workflow.StatePending], states[workflow.StateActive],
		states[workflow.StateComplete], states[workflow.StateFailed], states[workflow.StateCanceled])
	c.printEvacuations(s)
	if len(s.Unreadable) > 0 {
		fmt.Fprintf(out, "UNREADABLE RECORDS  %s\n", strings.Join(s.Unreadable, ", "))
	}
	var rows [][]string
	for _, t := range teams {
		rows = append(rows, []string{t.Name, strconv.FormatInt(t.Guarantee, 10), strconv.FormatInt(t.Urgent, 10), strconv.FormatInt(t.Other, 10),
			strconv.FormatInt(t.Borrows, 10), strconv.FormatInt(t.Lends, 10)})
	}
	return c.printTable("team guaranteed urgent other borrows lends", rows)
}

// printEvacuations prints a line for each failure domain that an operator wants to be evacuated,
// with the planner's counts if it observes the request.
func (c *workflowStatus) printEvacuations(s *inspect.System) {
	if len(s.Evacuations) == 0 {
		return
	}
	observed := make(map[string]engine.EvacuationState)
	if d, err := c.plannerState(s); err == nil {
		for _, v := range d.Evacuations {
			observed[v.FailureDomain] = v
		}
	}
	for _, domain := range s.Evacuations {
		v, ok := observed[domain]
		if !ok {
			fmt.Fprintf(c.env.Stdout, "evacuated  %s, NOT OBSERVED by the planner\n", domain)
			continue
		}
		fmt.Fprintf(c.env.Stdout, "evacuated  %s, asked %s ago: %d workers closed, %d items left\n", domain, formatDuration(time.Duration(v.AgeMS)*time.Millisecond), v.Workers, v.Items)
	}
}
