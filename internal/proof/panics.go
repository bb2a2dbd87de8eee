package proof

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

var (
	// goCrash matches the lines with which the Go runtime begins the report of a panic or a fatal
	// error that ends a process. The stack in a log entry is quoted on the entry's line.
	goCrash = regexp.MustCompile(`^(panic: |fatal error: |goroutine \d+ .*\[running)`)
	// logField matches a field of a log entry; the value may be quoted.
	logField = regexp.MustCompile(` (event|scope|error)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// checkPanics returns an error that holds an error for each kind of panic that the logs below dir
// show. The log of a process has the output of all its starts.
func checkPanics(dir string) error {
	var errs []error
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != logSuffix {
			return err
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		kinds, counts, err := panicsIn(file)
		for _, kind := range kinds {
			errs = append(errs, fmt.Errorf("%s: %s, %d times, log %s", strings.TrimSuffix(entry.Name(), logSuffix), kind, counts[kind], path))
		}
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		err = nil // no process was started
	}
	return errors.Join(append(errs, err)...)
}

// panicsIn returns the kinds of panics in a log in the order of their first lines, and how often
// each occurs: those that a process has contained, by scope and error, those that net/http has
// contained without a log entry of ours, and those that have ended the process.
func panicsIn(logFile io.Reader) (kinds []string, counts map[string]int, err error) {
	counts = make(map[string]int)
	for r := bufio.NewReader(logFile); ; {
		line, err := r.ReadString('\n')
		if kind := panicKind(strings.TrimRight(line, "\n")); kind != "" {
			if !slices.Contains(kinds, kind) {
				kinds = append(kinds, kind)
			}
			counts[kind]++
		}
		if errors.Is(err, io.EOF) {
			return kinds, counts, nil
		}
		if err != nil {
			return kinds, counts, err
		}
	}
}

// panicKind returns the kind of the panic that a line of a log reports, an empty text for none.
func panicKind(line string) string {
	switch {
	case goCrash.MatchString(line):
		return "process ended by a Go crash: " + strings.TrimSuffix(line, ":")
	case !strings.Contains(line, "event=panic_recovered ") && !strings.Contains(line, "http: panic serving "):
		return ""
	}
	fields := make(map[string]string)
	for _, f := range logField.FindAllStringSubmatch(line, -1) {
		value, err := strconv.Unquote(f[2])
		if err != nil {
			value = f[2]
		}
		fields[f[1]] = value
	}
	if fields["event"] == "panic_recovered" {
		return fmt.Sprintf("contained panic, scope %q: %s", fields["scope"], fields["error"])
	}
	return "panic of an HTTP handler that net/http has contained"
}
