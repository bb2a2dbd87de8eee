// Command snipegw-agent is the agent of a worker: it runs on each backend server
// host, admits requests to the backend server and runs the tasks of gangs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"snipegw/internal/agent"
	"snipegw/internal/kernel"
	"snipegw/internal/workerapi"
	_ "snipegw/internal/workerapi/httpworker" // registers the worker plug-in
	"snipegw/internal/workflow/daemon"
	_ "snipegw/platform" // registers the platform's plug-ins
)

const (
	program         = "snipegw-agent"
	exitFailure     = 1
	exitBadSettings = 2 // also for an invalid command line
)

type options struct {
	Settings      string `long:"settings" value-name:"FILE" description:"settings file (JSON)"`
	CheckSettings bool   `long:"check-settings" description:"check the settings and exit"`
	Version       bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		return reportError(exitFailure, err)
	}
	if _, err := parser.Parse(); err != nil {
		return reportParseError(err)
	}
	if o.Version {
		fmt.Println(program, version())
		return 0
	}
	var s agent.Settings
	if err := kernel.LoadSettings(o.Settings, &s); err != nil {
		return reportError(exitBadSettings, err)
	}
	if o.CheckSettings {
		return 0
	}
	if err := serve(s); err != nil {
		return reportError(exitFailure, err)
	}
	return 0
}

// serve runs the agent until the process is told to stop. If the settings have the
// section workflow, it runs an agent for workflows instead.
func serve(s agent.Settings) error {
	logWriter := kernel.NewDropWriter(os.Stdout)
	defer logWriter.Close()
	if err := kernel.SetupLogging(logWriter, program, s.LogLevel); err != nil {
		return err
	}
	if s.Workflow != nil {
		components, err := daemon.AssembleAgent(daemon.Process{
			ID: s.Workflow.Node, FailureDomain: s.FailureDomain, Listen: s.Address, Address: s.AdvertiseAddress, Security: s.Security, Clients: s.Clients,
		}, *s.Workflow)
		if err != nil {
			return err
		}
		return kernel.Run(context.Background(), components...)
	}
	api, err := workerapi.Open(s.WorkerAPI)
	if err != nil {
		return err
	}
	a, err := agent.New(s, api)
	if err != nil {
		return err
	}
	return kernel.Run(context.Background(), a)
}

// reportParseError prints the help if the command line asks for it, and err if the
// command line is invalid. It returns the exit status.
func reportParseError(err error) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return 0
	}
	return reportError(exitBadSettings, err)
}

// reportError prints err to standard error and returns status.
func reportError(status int, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	return status
}

// version returns the version of the main module that the Go toolchain recorded.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
