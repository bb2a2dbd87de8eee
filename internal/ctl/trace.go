package ctl

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"snipegw/internal/result"
)

const traceHelp = `Prints the lines about one job or request from the logs of several processes, in order of time.

Example: snipegwctl trace 5c0e7a21d94b36f8 entry-1.log entry-2.log agent-w07.log`

// maxLogLineBytes limits the length of a log line; longer lines are skipped.
const maxLogLineBytes = 1 << 20

type traceCommand struct {
	*app `no-flag:"true"`
	Args struct {
		ID    string   `positional-arg-name:"ID"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// traceLine is a log line that contains the traced id.
type traceLine struct {
	at     time.Time
	Time   string            `json:"time"`
	File   string            `json:"file"`
	Fields map[string]string `json:"fields"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	var lines []traceLine
	for _, file := range c.Args.Files {
		found, err := traceFile(file, c.Args.ID)
		if err != nil {
			return usagef("%v", err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return result.Errorf(result.JobGone, "no log line contains the id %s", c.Args.ID)
	}
	// Lines with the same time keep their order. Times do not sort as text, since their
	// fractions have no trailing zeros.
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.at.Compare(b.at) })
	if c.JSON {
		return c.printJSON(map[string]any{"lines": lines})
	}
	var rows [][]string
	for _, l := range lines {
		rows = append(rows, []string{l.Time, l.File, l.Fields["event"], l.Fields["code"], traceDetails(l.Fields)})
	}
	return c.printTable("time file event code details", rows)
}

// traceDetails returns the message, after the fields that have no column of their own.
// The job, the level and the program are left out.
func traceDetails(fields map[string]string) string {
	var parts []string
	for _, k := range sortedKeys(fields) {
		switch k {
		case "time", "code", "job", "level", "program", "message", "event":
		default:
			if v := fields[k]; v != "" {
				parts = append(parts, fmt.Sprintf("%s=%s", k, v))
			}
		}
	}
	return strings.Join(append(parts, fields["message"]), " ")
}

// traceFile returns the lines of a log that contain id as a whole word.
func traceFile(file, id string) ([]traceLine, error) {
	var lines []traceLine
	idPattern := regexp.MustCompile(`(^|[^0-9A-Za-z])` + regexp.QuoteMeta(id) + `($|[^0-9A-Za-z])`)
	err := readLog(file, func(line []byte, fields map[string]string) {
		if idPattern.Match(line) {
			at, _ := time.Parse(time.RFC3339Nano, fields["time"]) // other times come first
			lines = append(lines, traceLine{at: at, Time: fields["time"], File: filepath.Base(file), Fields: fields})
		}
	})
	return lines, err
}

// readLog calls visit for each line of a log that has a time. The line is valid during the
// call only. Lines longer than maxLogLineBytes are skipped.
func readLog(file string, visit func(line []byte, fields map[string]string)) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, maxLogLineBytes)
	for {
		line, err := r.ReadSlice('\n')
		if err == nil || errors.Is(err, io.EOF) {
			if fields := parseLogFields(string(line)); fields["time"] != "" {
				visit(line, fields)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}

var logFieldPattern = regexp.MustCompile(`([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|[^ \n]*)`)

// parseLogFields parses the key=value pairs of a log line.
func parseLogFields(line string) map[string]string {
	fields := make(map[string]string)
	for _, m := range logFieldPattern.FindAllStringSubmatch(line, -1) {
		fields[m[1]] = strings.Trim(m[2], `"`)
	}
	return fields
}
