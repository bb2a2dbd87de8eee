// Command rig holds the small stand-ins of the review's scripts and the scripts' drivers: the
// platform's store, a worker, and one driver for each case. Each runs as its own process.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig store|worker|case ...")
		os.Exit(exitCannotRun)
	}
	switch os.Args[1] {
	case "store":
		runStore(os.Args[2:])
	case "worker":
		runWorker(os.Args[2:])
	case "case":
		runCase(os.Args[2:])
	default:
		fmt.Fprintf(os.Stderr, "rig: unknown command %q\n", os.Args[1])
		os.Exit(exitCannotRun)
	}
}
