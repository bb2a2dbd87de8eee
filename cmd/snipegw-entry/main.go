// Command snipegw-entry is the HTTP entry for callers and operators. In each region
// one entry at a time is also the planner, which schedules the jobs of the region.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"

	"snipegw/internal/entry"
	"snipegw/internal/kernel"
	"snipegw/internal/planner"
	"snipegw/internal/result"
	_ "snipegw/internal/store/consulkv" // registers the store plug-in
	"snipegw/internal/workflow/daemon"
	_ "snipegw/platform" // registers the platform's plug-ins
)

// version is set by the linker.
var version = "development"

// exitBadSettings is the exit status for invalid settings and command lines.
const exitBadSettings = 2

type options struct {
	Settings      string `long:"settings" description:"settings file (JSON)" value-name:"FILE"`
	CheckSettings bool   `long:"check-settings" description:"check the settings and exit"`
	Version       bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return exitBadSettings
	}
	if o.Version {
		fmt.Println("snipegw-entry", version)
		return 0
	}
	var s entry.Settings
	if err := kernel.LoadSettings(o.Settings, &s); err != nil {
		fmt.Fprintf(os.Stderr, "%d %s\n%v\n", int(result.InvalidSettings), result.InvalidSettings, err)
		return exitBadSettings
	}
	if o.CheckSettings {
		fmt.Println("settings are valid")
		return 0
	}
	return serve(&s, o.Settings)
}

// assemble makes the components of the entry, or those of an entry for workflows
// if the settings have the section workflow. An entry for workflows reads
// settingsFile again when it reloads.
func assemble(s *entry.Settings, settingsFile string) ([]kernel.Component, error) {
	if s.Workflow == nil {
		return entry.Assemble(s, planner.CheckGuarantees)
	}
	return daemon.AssembleEntry(daemon.Process{
		ID: s.ID, FailureDomain: s.FailureDomain, Listen: s.Address, Address: s.AdvertiseAddress, DebugAddress: s.HTTPAddress, Security: s.Security, Clients: s.Clients,
		Reload: func() (daemon.EntrySettings, error) { return entry.LoadWorkflow(settingsFile) },
	}, *s.Workflow)
}

// serve runs the entry until the process is told to stop and returns the exit
// status.
func serve(s *entry.Settings, settingsFile string) int {
	logWriter := kernel.NewDropWriter(os.Stdout)
	defer logWriter.Close()
	if err := kernel.SetupLogging(logWriter, "snipegw-entry", s.LogLevel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	components, err := assemble(s, settingsFile)
	if err == nil {
		components = append(components, &kernel.FileWatcher{File: settingsFile})
		err = kernel.Run(context.Background(), components...)
	}
	if err != nil {
		log.WithFields(log.Fields{"event": "failed", "code": int(result.CodeOf(err))}).Error(err.Error())
		return 1
	}
	return 0
}
