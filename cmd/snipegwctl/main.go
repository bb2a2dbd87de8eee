// Command snipegwctl is the command-line client of snipegw for operators and
// callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"snipegw/internal/ctl"
	_ "snipegw/platform" // registers the store plug-in and the configuration format
)

// version is set by the linker.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := ctl.Run(ctx, os.Args[1:], ctl.Env{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Version: version,
	})
	stop()
	os.Exit(status)
}
