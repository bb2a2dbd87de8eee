package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"snipegw/internal/result"
)

const causesHelp = `Counts the jobs that were refused, late, failed or unfinished in the logs of all entries, by their main cause.

The cause is where the job lost most time: before it was recorded, before its first run, between the first and the last run of an item, or else in orders and reports. If that does not explain its lateness, it ran longer than estimated.

Example: snipegwctl causes entry-*.log`

type causesCommand struct {
	*app `no-flag:"true"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Causes for which a job was not served in time. Those of repeated runs are derived from
// how the runs ended, see repeatCauses.
const (
	causeRefused  = "refused"
	causeRecorded = "recorded late"
	causeNoRoom   = "waited for room"
	causeReports  = "orders or reports late"
	// causeEstimate is that of jobs whose lost time does not explain their lateness: the
	// objective in the log rests on the planner's estimate of the run time.
	causeEstimate = "ran longer than estimated"
)

// repeatCauses maps the beginning of the reason for which a run was stopped, or else how it
// ended, to a cause.
var repeatCauses = []struct{ prefix, cause string }{
	{"preempted", "stopped for another job"},
	{"worker drains", "worker drained"},
	{"no progress", "run stood still"},
	{"failed", "run failed"},
	{"lost", "worker lost"},
	{"lapsed", "lease expired"},
	{"never", "start without effect"},
}

// loggedJob is what the logs say about a job.
type loggedJob struct {
	firstSeen  time.Time // begin of the first attempt to record it
	recorded   time.Time // zero if all attempts were refused
	code       string    // of the last attempt
	firstRun   time.Time // decision of the first run
	unitFirst  map[string]time.Time
	repeat     time.Duration // longest time from the first to the last run of a unit
	endReasons map[string]int
	ended      time.Time
	state      string
	objective  time.Duration // completion-time objective
	longestRun time.Duration
}

// causeRow is a row of the table.
type causeRow struct {
	Cause       string   `json:"cause"`
	Jobs        int      `json:"jobs"`
	Late        int      `json:"late"`
	Failed      int      `json:"failed"`
	Unfinished  int      `json:"unfinished"`
	LostSeconds float64  `json:"lost_seconds"` // by that cause
	Examples    []string `json:"examples"`
}

// maxExamples limits the job ids that a row names.
const maxExamples = 3

// Execute implements flags.Commander.
func (c *causesCommand) Execute([]string) error {
	jobs := make(map[string]*loggedJob)
	for _, file := range c.Args.Files {
		err := readLog(file, func(_ []byte, fields map[string]string) { noteJobLine(jobs, fields) })
		if err != nil {
			return usagef("%v", err)
		}
	}
	if len(jobs) == 0 {
		return result.Errorf(result.JobGone, "the logs have no line about a job")
	}
	rows := countCauses(jobs)
	if c.JSON {
		return c.printJSON(map[string]any{"jobs": len(jobs), "causes": rows})
	}
	var table [][]string
	for _, r := range rows {
		table = append(table, []string{r.Cause, strconv.Itoa(r.Jobs), strconv.Itoa(r.Late), strconv.Itoa(r.Failed), strconv.Itoa(r.Unfinished),
			strconv.FormatFloat(r.LostSeconds, 'f', 1, 64), strings.Join(r.Examples, " ")})
	}
	return c.printTable("cause jobs late failed unfinished lost_s examples", table)
}

// noteJobLine updates jobs from the fields of a log line.
func noteJobLine(jobs map[string]*loggedJob, fields map[string]string) {
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	id := fields["job"]
	if err != nil || id == "" {
		return
	}
	milliseconds := func(name string) time.Duration {
		n, _ := strconv.ParseInt(fields[name], 10, 64) // 0 if the field is missing
		return time.Duration(n) * time.Millisecond
	}
	j := jobs[id]
	if j == nil {
		j = &loggedJob{unitFirst: make(map[string]time.Time), endReasons: make(map[string]int)}
		jobs[id] = j
	}
	switch fields["event"] {
	case "job_accept":
		if begin := at.Add(-milliseconds("took_ms")); j.firstSeen.IsZero() || begin.Before(j.firstSeen) {
			j.firstSeen = begin
		}
		j.code = fields["code"]
		if j.code == strconv.Itoa(int(result.OK)) && (j.recorded.IsZero() || at.Before(j.recorded)) {
			j.recorded = at
		}
	case "placed":
		if j.firstRun.IsZero() || at.Before(j.firstRun) {
			j.firstRun = at
		}
		unit := fields["unit"]
		if first, ok := j.unitFirst[unit]; ok {
			j.repeat = max(j.repeat, at.Sub(first))
		} else {
			j.unitFirst[unit] = at
		}
	case "run_ended":
		if fields["how"] == "done" {
			j.longestRun = max(j.longestRun, milliseconds("took_ms"))
			return
		}
		j.endReasons[cmp.Or(repeatCause(fields["stop_reason"]), repeatCause(fields["how"]), "other end of a run")]++
	case "job_ended":
		j.ended, j.state, j.objective = at, fields["state"], milliseconds("objective_ms")
	}
}

// repeatCause returns the cause for a reason or a kind of end, empty if it has none.
func repeatCause(text string) string {
	for _, c := range repeatCauses {
		if strings.HasPrefix(text, c.prefix) {
			return c.cause
		}
	}
	return ""
}

// countCauses returns a row for each cause, the one with the most jobs first. Jobs that were
// served in time or cancelled are left out.
func countCauses(jobs map[string]*loggedJob) []causeRow {
	rows := make(map[string]*causeRow)
	for _, id := range sortedKeys(jobs) {
		j := jobs[id]
		if j.firstSeen.IsZero() || j.state == "canceled" {
			continue // the logs do not cover the submission, or nothing is owed
		}
		late := j.state == "complete" && j.ended.Sub(j.firstSeen) > j.objective
		if j.state == "complete" && !late {
			continue
		}
		cause, lost := j.mainCause()
		if late && lost < j.ended.Sub(j.firstSeen)-j.objective {
			cause = causeEstimate
		}
		r := rows[cause]
		if r == nil {
			r = &causeRow{Cause: cause}
			rows[cause] = r
		}
		r.Jobs++
		r.LostSeconds += lost.Seconds()
		switch {
		case late:
			r.Late++
		case j.state == "failed":
			r.Failed++
		case !j.recorded.IsZero():
			r.Unfinished++
		}
		if len(r.Examples) < maxExamples {
			r.Examples = append(r.Examples, id)
		}
	}
	var out []causeRow
	for _, name := range sortedKeys(rows) {
		out = append(out, *rows[name])
	}
	slices.SortStableFunc(out, func(a, b causeRow) int { return cmp.Compare(b.Jobs, a.Jobs) })
	return out
}

// mainCause returns the cause by which the job lost most time, and that time.
func (j *loggedJob) mainCause() (string, time.Duration) {
	if j.recorded.IsZero() {
		return fmt.Sprintf("%s with code %s", causeRefused, j.code), 0
	}
	cause, lost := causeRecorded, j.recorded.Sub(j.firstSeen)
	consider := func(c string, d time.Duration) {
		if d > lost {
			cause, lost = c, d
		}
	}
	if !j.firstRun.IsZero() {
		consider(causeNoRoom, j.firstRun.Sub(j.recorded))
	}
	if j.repeat > 0 {
		consider(j.mostFrequentEnd(), j.repeat)
	}
	if !j.ended.IsZero() && !j.firstRun.IsZero() {
		consider(causeReports, j.ended.Sub(j.firstRun)-j.repeat-j.longestRun)
	}
	return cause, lost
}

// mostFrequentEnd returns the most frequent cause among the runs that were not done.
func (j *loggedJob) mostFrequentEnd() string {
	best := "other end of a run"
	for _, reason := range sortedKeys(j.endReasons) {
		if j.endReasons[reason] > j.endReasons[best] {
			best = reason
		}
	}
	return best
}
