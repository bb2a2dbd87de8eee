// Command snipegw-standin runs a stand-in for the platform's store, for the worker
// interface or for a backend server. It is for development only.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"snipegw/internal/kernel"
	"snipegw/internal/standin"
	"snipegw/internal/standin/backend"
	"snipegw/internal/standin/kv"
	"snipegw/internal/standin/worker"
)

// exitBadSettings is the exit status for invalid settings and command lines.
const exitBadSettings = 2

// sharedOptions are the options that all subcommands share.
type sharedOptions struct {
	SettingsFile string `long:"settings" description:"JSON settings file" required:"yes"`
}

type (
	storeCommand   struct{ sharedOptions }
	workerCommand  struct{ sharedOptions }
	backendCommand struct{ sharedOptions }
)

// Execute implements flags.Commander: it runs the stand-in for the store.
func (c *storeCommand) Execute([]string) error {
	var s kv.Settings
	return run(c.SettingsFile, "store", &s, func() (standin.Server, error) { return kv.Start(s) })
}

// Execute implements flags.Commander: it runs the stand-in for a worker interface.
func (c *workerCommand) Execute([]string) error {
	var s worker.Settings
	return run(c.SettingsFile, "worker", &s, func() (standin.Server, error) { return worker.Start(s) })
}

// Execute implements flags.Commander: it runs the stand-in for a backend server.
func (c *backendCommand) Execute([]string) error {
	var s backend.Settings
	return run(c.SettingsFile, "backend", &s, func() (standin.Server, error) { return backend.Start(s) })
}

// run loads the settings file into s and runs the server that start returns until
// the process is told to stop.
func run(file, name string, s kernel.Settings, start func() (standin.Server, error)) error {
	if err := kernel.LoadSettings(file, s); err != nil {
		return err
	}
	if err := kernel.SetupLogging(os.Stderr, "snipegw-standin-"+name, "info"); err != nil {
		return err
	}
	return kernel.Run(context.Background(), standin.NewComponent(name, start))
}

func main() {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for name, command := range map[string]any{"store": &storeCommand{}, "worker": &workerCommand{}, "backend": &backendCommand{}} {
		if _, err := p.AddCommand(name, "Run a stand-in: "+name, "", command); err != nil {
			panic(err)
		}
	}
	_, err := p.Parse()
	var fe *flags.Error
	var invalidSettings kernel.ValidationErrors
	switch {
	case err == nil:
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
	case errors.As(err, &invalidSettings), errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
