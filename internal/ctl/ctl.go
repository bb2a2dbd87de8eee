// Package ctl implements the command-line tool snipegwctl. It uses only the HTTP
// API of an entry and, for systems that serve workflows, the records in their store
// and the state dump of the planner.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"snipegw/internal/result"
)

// Exit statuses of the program.
const (
	ExitOK      = 0
	ExitRefused = 1 // refused and not run, or a check has findings
	ExitUsage   = 2 // invalid command line or settings
	ExitUnknown = 3 // it is unknown whether it ran
	ExitNotYet  = 4 // not yet in force, in progress, or the wait timed out
	ExitFailed  = 5 // ran and failed, or was cancelled
)

// Env is what a run uses of its process: the standard streams, the environment
// variables, and the version of the program.
type Env struct {
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	Getenv  func(string) string
	Version string
}

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Address string        `long:"address" short:"a" description:"HTTP address of an entry, host:port (environment SNIPEGW_ADDRESS)" value-name:"HOST:PORT"`
	Token   string        `long:"token" description:"bearer token; prefer the environment SNIPEGW_TOKEN, since other users of the host can see command lines" value-name:"TOKEN"`
	JSON    bool          `long:"json" description:"print JSON instead of tables"`
	Timeout time.Duration `long:"timeout" description:"timeout of a single call" default:"30s"`
	Version func()        `long:"version" description:"print the version and exit"`
}

// app is the state of one run of the program.
type app struct {
	globalOptions
	env    Env
	ctx    context.Context
	client *client
}

// command is a node of the command tree.
type command struct {
	name, short, long string
	options           any // struct with the options and arguments, nil if there are none
	subcommands       []command
}

// errVersionPrinted is the panic value that ends a run once --version has printed the
// version.
var errVersionPrinted = errors.New("version printed")

// Run executes one command line and returns the exit status.
func Run(ctx context.Context, args []string, env Env) int {
	a := &app{env: env, ctx: ctx}
	err := a.execute(args)
	return a.reportError(err)
}

func (a *app) execute(args []string) (err error) {
	defer func() {
		if r := recover(); r == errVersionPrinted {
			err = nil
		} else if r != nil {
			panic(r)
		}
	}()
	a.globalOptions.Version = func() {
		fmt.Fprintln(a.env.Stdout, "snipegwctl", a.env.Version)
		panic(errVersionPrinted)
	}
	p, err := a.parser(func(c flags.Commander) error {
		if err := a.connect(); err != nil {
			return err
		}
		return c.Execute(nil)
	})
	if err != nil {
		return err
	}
	_, err = p.ParseArgs(args)
	return err
}

// parser returns a parser of the command line that calls run with the command
// that it finds.
func (a *app) parser(run func(flags.Commander) error) (*flags.Parser, error) {
	p := flags.NewNamedParser("snipegwctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = longHelp
	if _, err := p.AddGroup("Options", "", &a.globalOptions); err != nil {
		return nil, err
	}
	if err := addCommands(p.Command, a.commands()); err != nil {
		return nil, err
	}
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &usageError{fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		return run(c)
	}
	p.CompletionHandler = a.printCompletions
	return p, nil
}

// Parse validates the options and arguments of a command line without running it.
func Parse(args []string) error {
	a := new(app)
	a.Version = func() {}
	p, err := a.parser(func(flags.Commander) error { return nil })
	if err != nil {
		return err
	}
	_, err = p.ParseArgs(args)
	return err
}

func addCommands(parent *flags.Command, list []command) error {
	for _, c := range list {
		data := c.options
		if data == nil {
			data = &struct{}{}
		}
		cmd, err := parent.AddCommand(c.name, c.short, c.long, data)
		if err != nil {
			return fmt.Errorf("command %s: %w", c.name, err)
		}
		if err := addCommands(cmd, c.subcommands); err != nil {
			return err
		}
	}
	return nil
}

const longHelp = `Operates a snipegw system through the HTTP API of an entry.

Examples:
  snipegwctl --address 127.0.0.1:8080 status --watch
  snipegwctl job submit --team casa --tasks 2 --accelerators 8 --adjacent rack -- train.sh
  snipegwctl config patch change.json --wait

Exit status: 0 success, 1 refused and not run, 2 usage or settings, 3 outcome unknown, 4 not yet, 5 ran and failed.`

func (a *app) commands() []command {
	return []command{
		{name: "config", short: "Read and change the configuration", subcommands: a.configCommands()},
		{name: "team", short: "Show teams", subcommands: []command{
			{name: "list", short: "List teams, weights and guarantees", long: "Example: snipegwctl team list", options: &teamList{app: a}},
		}},
		{name: "shape", short: "Show guaranteed shapes", subcommands: []command{
			{name: "list", short: "List the guaranteed shapes of all teams", long: "A shape is changed by a configuration patch.\n\nExample: snipegwctl shape list", options: &shapeList{app: a}},
		}},
		{name: "job", short: "Submit and follow jobs", subcommands: a.jobCommands()},
		{name: "request", short: "Send a request to a service", long: requestHelp, options: &requestCommand{app: a}},
		{name: "ticket", short: "Show the outcome of a request", long: "Prints the recorded response of a request that was not marked idempotent.\n\nExample: snipegwctl ticket w07/0000018f/12", options: &ticketCommand{app: a}},
		{name: "worker", short: "Show and control workers", subcommands: a.workerCommands()},
		a.workflowCommands(),
		{name: "causes", short: "Count late, refused and failed jobs by their cause", long: causesHelp, options: &causesCommand{app: a}},
		{name: "trace", short: "Merge the log lines of one job or request", long: traceHelp, options: &traceCommand{app: a}},
		{name: "status", short: "Show a summary of the system", long: "Example: snipegwctl status --watch", options: &statusCommand{app: a}},
		{name: "dump", short: "Print the internal state of one process", long: "Prints /debug/state of the process at ADDRESS, an entry or the local address of an agent.\n\nExample: snipegwctl dump 127.0.0.1:8080", options: &dumpCommand{app: a}},
		{name: "completion", short: "Print a completion script for a shell", long: completionHelp, options: &completionCommand{app: a}},
	}
}

// usageError reports an invalid command line or option value.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// connect validates the address of the entry and creates the client.
func (a *app) connect() error {
	address, token := a.Address, a.Token
	if address == "" {
		address = a.env.Getenv("SNIPEGW_ADDRESS")
	}
	if token == "" {
		token = a.env.Getenv("SNIPEGW_TOKEN")
	}
	if address == "" {
		address = "127.0.0.1:8080"
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return usagef("address: %q must be host:port", address)
	}
	a.client = newClient(strings.TrimSuffix(address, "/"), token, a.Timeout)
	return nil
}

// reportError prints err, if any, and returns the exit status.
func (a *app) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, errFindings) {
		return ExitRefused
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Fprintln(a.env.Stdout, fe.Message)
			return ExitOK
		}
		fmt.Fprintln(a.env.Stderr, "usage:", fe.Message)
		return ExitUsage
	}
	var ue *usageError
	if errors.As(err, &ue) {
		fmt.Fprintln(a.env.Stderr, "usage:", ue.message)
		return ExitUsage
	}
	code := result.CodeOf(err)
	if a.JSON {
		_ = a.printJSON(map[string]any{"code": code, "name": code.String(), "message": result.MessageOf(err), "ran": code.Info().Ran})
	} else {
		fmt.Fprintf(a.env.Stderr, "%d %s: %s\n", int(code), code, result.MessageOf(err))
		if action := code.Info().Action; !strings.HasPrefix(action, "None") {
			fmt.Fprintln(a.env.Stderr, "What to do:", action)
		}
	}
	return exitStatus(code)
}

// exitStatus maps a result code to the exit status.
func exitStatus(code result.Code) int {
	switch code {
	case result.OK, result.Accepted:
		return ExitOK
	case result.InProgress, result.ConfigNotInForceYet:
		return ExitNotYet
	case result.InvalidSettings:
		return ExitUsage
	case result.Cancelled:
		return ExitFailed
	}
	switch code.Info().Ran {
	case result.RanNo:
		return ExitRefused
	case result.RanYes:
		return ExitFailed
	}
	return ExitUnknown
}

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.env.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printRaw prints JSON with its fields unchanged, indented.
func (a *app) printRaw(data json.RawMessage) error { return a.printJSON(data) }

// watchOptions are the options of commands that can refresh their output.
type watchOptions struct {
	Watch    bool          `long:"watch" short:"w" description:"refresh until interrupted"`
	Interval time.Duration `long:"interval" description:"interval between refreshes" default:"2s"`
}

// clearScreen is the terminal sequence that moves the cursor home and clears the
// screen.
const clearScreen = "\x1b[H\x1b[2J"

// showRepeatedly calls show once or, with --watch, until the program is interrupted.
func (a *app) showRepeatedly(o watchOptions, show func() error) error {
	if !o.Watch {
		return show()
	}
	for {
		if !a.JSON {
			fmt.Fprint(a.env.Stdout, clearScreen)
		}
		if err := show(); err != nil {
			// Keep watching while the entry restarts.
			fmt.Fprintln(a.env.Stderr, err)
		}
		if !a.pause(max(o.Interval, 100*time.Millisecond)) {
			return nil
		}
	}
}

// pause waits for d. It returns false if the program was interrupted meanwhile.
func (a *app) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}
