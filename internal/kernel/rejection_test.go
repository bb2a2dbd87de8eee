package kernel

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// Guards against a writer that fills the log: one input that is read again and again, many
// different ones, and very long ones.
func TestRejectedInputsAreLoggedOnceAndAtABoundedRate(t *testing.T) {
	former := log.Log
	defer func() { log.Log = former }()
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		log.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
		var l RejectionLog
		for range 1000 {
			l.Report("record_unreadable", "record", "k", errors.New("no address"), "ignored")
		}
		if n := len(lines.Entries); n != 1 || lines.Entries[0].Fields["key"] != "k" || lines.Entries[0].Fields["error"] != "no address" {
			t.Fatalf("%d lines for one input: %v", n, lines.Entries)
		}
		for i := range 1000 {
			l.Report("record_unreadable", "record", fmt.Sprint(i), errors.New(strings.Repeat("\xff", 10_000)), "ignored")
		}
		if n := len(lines.Entries); n != rejectionBurst {
			t.Fatalf("%d lines for many inputs, expected %d", n, rejectionBurst)
		}
		time.Sleep(rejectionInterval)
		for i := range 1000 {
			l.Report("record_unreadable", "record", fmt.Sprint("later ", i), errors.New("x"), "ignored")
		}
		if n := len(lines.Entries); n != rejectionBurst+1 || lines.Entries[n-1].Fields["suppressed"] != 1000-(rejectionBurst-1) {
			t.Fatalf("%d lines after an interval: %v", n, lines.Entries[n-1])
		}
		for i := range 10 * maxRejections {
			time.Sleep(rejectionInterval)
			l.Report("record_unreadable", "record", fmt.Sprint("slow ", i), errors.New("x"), "ignored")
		}
		if n := len(l.logged); n > maxRejections {
			t.Fatalf("%d inputs are remembered", n)
		}
		for _, e := range lines.Entries {
			if n := len(fmt.Sprint(e.Fields)); n > 1000 {
				t.Fatalf("line of %d bytes", n)
			}
		}
	})
}
