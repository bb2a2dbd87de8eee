package ctl

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

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
	// RFC 3339 times in UTC sort as text if they have the same number of digits. Lines
	// with the same time keep their order.
	slices.SortStableFunc(lines, func(a, b traceLine) int { return cmp.Compare(a.Time, b.Time) })
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
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []traceLine
	idPattern := regexp.MustCompile(`(^|[^0-9A-Za-z])` + regexp.QuoteMeta(id) + `($|[^0-9A-Za-z])`)
	r := bufio.NewReaderSize(f, maxLogLineBytes)
	for {
		line, err := r.ReadSlice('\n')
		if err == nil || errors.Is(err, io.EOF) {
			if fields := parseLogFields(string(line)); fields["time"] != "" && idPattern.Match(line) {
				lines = append(lines, traceLine{Time: fields["time"], File: filepath.Base(file), Fields: fields})
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return lines, nil
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
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
