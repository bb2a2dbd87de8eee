package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"snipegw/internal/config"
	"snipegw/internal/members"
)

func (a *app) workerCommands() []command {
	list := []command{
		{name: "list", short: "List workers", long: "Example: snipegwctl worker list --watch", options: &workerList{app: a}},
	}
	for _, o := range []struct{ action, short string }{
		{"drain", "Place no new work on a worker; running gangs continue"},
		{"quarantine", "Take a suspect worker out of use; it is probed before it returns to use"},
		{"release", "Return a drained or quarantined worker to use"},
	} {
		list = append(list, command{name: o.action, short: o.short,
			long: "Example: snipegwctl worker " + o.action + " w07", options: &workerAction{app: a, action: o.action}})
	}
	return list
}

type workerAction struct {
	*app   `no-flag:"true"`
	action string
	Args   struct {
		Worker string `positional-arg-name:"WORKER"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *workerAction) Execute([]string) error {
	var out json.RawMessage
	path := "/v1/workers/" + url.PathEscape(c.Args.Worker) + "/" + c.action
	if err := c.client.call(c.ctx, http.MethodPost, path, nil, &out); err != nil {
		return err
	}
	if c.JSON {
		return c.printRaw(out)
	}
	fmt.Fprintf(c.env.Stdout, "worker %s: %s carried out\n", c.Args.Worker, c.action)
	return nil
}

type workerList struct {
	*app `no-flag:"true"`
	watchOptions
}

// Execute implements flags.Commander.
func (c *workerList) Execute([]string) error { return c.showRepeatedly(c.watchOptions, c.show) }

func (c *workerList) show() error {
	var out struct {
		Workers []*members.Worker `json:"workers"`
	}
	if err := c.client.get(c.ctx, "/v1/workers", &out); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(out)
	}
	var rows [][]string
	for _, w := range out.Workers {
		s := &w.State
		var gangs, services []string
		for _, g := range s.Gangs {
			gangs = append(gangs, g.Job+":"+g.State)
		}
		for _, v := range s.Services {
			services = append(services, v.Service)
		}
		flags := trueKeys(map[string]bool{"draining": s.Draining, "quarantined": s.Quarantined, "stopping": s.Stopping})
		rows = append(rows, []string{s.Worker.ID, s.Worker.FailureDomain, s.Worker.Rack, string(w.Health), flags,
			strconv.Itoa(s.Worker.Capacity.Accelerators), strings.Join(services, ","), strings.Join(gangs, " "), strconv.FormatUint(s.ConfigVersion, 10)})
	}
	return c.printTable("worker failure_domain rack health use accelerators services gangs config", rows)
}

type statusCommand struct {
	*app `no-flag:"true"`
	watchOptions
}

// statusSummary is the response of GET /v1/status.
type statusSummary struct {
	Config  config.InForceReport `json:"config"`
	Planner *struct {
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
	} `json:"planner"`
	PlannerError  string                    `json:"planner_error"`
	Entries       map[string]*members.Entry `json:"entries"`
	Workers       map[string]int            `json:"workers"`
	Jobs          map[string]int            `json:"jobs"`
	UnpackedTeams []string                  `json:"guarantees_not_packed"`
	Services      map[string]struct {
		Workers  int   `json:"workers"`
		Slots    int   `json:"slots"`
		InFlight int64 `json:"in_flight"`
		Waiting  int64 `json:"waiting"`
	} `json:"services"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error { return c.showRepeatedly(c.watchOptions, c.show) }

func (c *statusCommand) show() error {
	var raw json.RawMessage
	if err := c.client.get(c.ctx, "/v1/status", &raw); err != nil {
		return err
	}
	if c.JSON {
		return c.printRaw(raw)
	}
	var s statusSummary
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	return c.printSummary(&s)
}

func (c *statusCommand) printSummary(s *statusSummary) error {
	out := c.env.Stdout
	switch {
	case s.Planner != nil:
		fmt.Fprintf(out, "planner   entry %s, epoch %d\n", s.Planner.Entry, s.Planner.Epoch)
	default:
		fmt.Fprintln(out, "planner   NONE: jobs wait, running gangs and requests continue")
	}
	if s.PlannerError != "" {
		fmt.Fprintf(out, "          %s\n", s.PlannerError)
	}
	fmt.Fprintf(out, "config    version %d in force on %d of %d\n", s.Config.Version, s.Config.InForce, s.Config.Total)
	if len(s.Config.Missing) > 0 {
		fmt.Fprintf(out, "          missing: %s\n", strings.Join(s.Config.Missing, ", "))
	}
	fmt.Fprintf(out, "workers   %s\n", formatCounts(s.Workers))
	fmt.Fprintf(out, "jobs      %s\n", formatCounts(s.Jobs))
	if len(s.UnpackedTeams) > 0 {
		fmt.Fprintf(out, "GUARANTEES NOT PACKED: %s\n", strings.Join(s.UnpackedTeams, ", "))
	}
	var rows [][]string
	for _, id := range sortedKeys(s.Entries) {
		e := s.Entries[id]
		rows = append(rows, []string{id, e.Info.FailureDomain, string(e.Health), strconv.FormatUint(e.ConfigVersion, 10), trueKeys(map[string]bool{"planner": e.Planner})})
	}
	fmt.Fprintln(out)
	if err := c.printTable("entry failure_domain health config role", rows); err != nil {
		return err
	}
	rows = nil
	for _, name := range sortedKeys(s.Services) {
		v := s.Services[name]
		rows = append(rows, []string{name, strconv.Itoa(v.Workers), strconv.Itoa(v.Slots), strconv.FormatInt(v.InFlight, 10), strconv.FormatInt(v.Waiting, 10)})
	}
	if len(rows) == 0 {
		return nil
	}
	fmt.Fprintln(out)
	return c.printTable("service workers slots in_flight waiting", rows)
}

func formatCounts(m map[string]int) string {
	var parts []string
	for _, k := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

type dumpCommand struct {
	*app `no-flag:"true"`
	Args struct {
		Address string `positional-arg-name:"ADDRESS"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	address := c.Args.Address
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	// The token belongs to the entry and must not be sent to another address.
	var raw json.RawMessage
	if err := newClient(strings.TrimSuffix(address, "/"), "", c.Timeout).get(c.ctx, "/debug/state", &raw); err != nil {
		return err
	}
	return c.printRaw(raw)
}
