// Command lab runs the cases of the second review: it starts the system's programs as separate processes on loopback
// addresses, with stand-ins for the platform's store, the workers and the requesters.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Results of a case, which are the exit status of the program.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

// maxDuration limits a case.
const maxDuration = 115 * time.Second

var errNotRun = errors.New("the case could not run")

// cases holds the cases by name. Each reports whether the rule held. It makes its disruption if trouble is set.
var cases = map[string]func(record *Record, repo string, trouble bool) (bool, error){}

func main() {
	repo := flag.String("repo", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file that is written")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Println("no such case:", flag.Arg(0))
		os.Exit(invalid)
	}
	record, err := NewRecord(*out)
	if err != nil {
		fmt.Println(err)
		os.Exit(invalid)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		ok, err := run(record, *repo, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			record.Say("could not run: %v", err)
			done <- invalid
		case ok:
			record.Say("result: the rule held")
			done <- held
		default:
			record.Say("result: the rule is broken")
			done <- broken
		}
	}()
	status := invalid
	select {
	case status = <-done:
	case <-signals:
	case <-time.After(maxDuration):
		record.Say("could not run: not finished after %v", maxDuration)
	}
	closeFleets()
	os.Exit(status)
}
