// Command lab3 plays the scripts of the third review: a small deployment of the project's own programs as separate
// processes on loopback addresses, with stand-ins of the platform's store, the workers and the callers.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// outcome is what a case finds: empty if the rule held.
type outcome string

// cases holds the cases by name. Each gets the record and the root of the repository, and whether to bring about
// the disruption.
var cases = map[string]func(rec *record, root string, trouble bool) (outcome, error){}

const limit = 118 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER")
		return 2
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go func() {
		time.Sleep(limit)
		rec.printf("the case has taken too long")
		os.Exit(2) // the programs end with this process
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", os.Args[1], trouble)
	found, err := cases[os.Args[1]](rec, filepath.Dir(filepath.Dir(folder)), trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case found != "":
		rec.printf("BROKEN: %s", found)
		fmt.Println("broken:", found)
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("held")
	return 0
}
