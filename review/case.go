package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	reason string
}

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

var cases = map[string]struct {
	labels func(side int) string
	play   func(c *cluster, trouble bool) (verdict, error)
}{}

func runCase(args []string) {
	f := flag.NewFlagSet("case", flag.ExitOnError)
	name, root, record := f.String("name", "", ""), f.String("root", "", "root of the repository"), f.String("record", "", "file to write")
	trouble := f.Bool("trouble", true, "play the disruption")
	_ = f.Parse(args)
	k, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig: no case %q\n", *name)
		os.Exit(exitCannotRun)
	}
	labels := k.labels
	if labels == nil {
		labels = func(side int) string { return fmt.Sprintf("a,r1-%d", side/3+1) }
	}
	c, err := launch(*root, *record, labels)
	var v verdict
	if err == nil {
		time.AfterFunc(caseTimeout, func() {
			c.note("the case has not ended in time")
			c.stop()
			os.Exit(exitCannotRun)
		})
		v, err = k.play(c, *trouble)
	}
	code := exitHeld
	switch {
	case err != nil:
		code = exitCannotRun
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		if c != nil {
			c.note("the case could not run: %v", err)
		}
	case v.broken:
		code = exitBroken
		fmt.Println("rule broken:", v.reason)
		c.note("rule broken: %s", v.reason)
	default:
		fmt.Println("rule held:", v.reason)
		c.note("rule held: %s", v.reason)
	}
	if c != nil {
		c.stop()
	}
	os.Exit(code)
}
