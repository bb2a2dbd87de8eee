package ctl

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/result"
)

func (a *app) jobCommands() []command {
	return []command{
		{name: "submit", short: "Submit a job", long: submitHelp, options: &jobSubmit{app: a}},
		{name: "status", short: "Show one job", long: "Example: snipegwctl job status train-7 --watch", options: &jobStatus{app: a}},
		{name: "cancel", short: "Cancel jobs", long: "\"-\" reads ids from standard input, one per line.\n\nExamples:\n  snipegwctl job cancel train-7 train-8\n  snipegwctl job list --json | jq -r .jobs[].job.id | snipegwctl job cancel -", options: &jobCancel{app: a}},
		{name: "wait", short: "Wait for a job", long: "Exits with status 0 when the job is running (--until running) or has succeeded,\n4 on timeout, 5 when the job failed or was cancelled.\n\nExample: snipegwctl job wait train-7 --until ended --for 10m", options: &jobWait{app: a}},
		{name: "explain", short: "Explain why a job is in its state", long: "Example: snipegwctl job explain train-7", options: &jobExplain{app: a}},
		{name: "list", short: "List jobs that have not ended", long: "Example: snipegwctl job list --watch", options: &jobList{app: a}},
	}
}

const submitHelp = `Options give the shape of the job, or --file the whole job as JSON. A submission is
safe to repeat under the same id: submitting the same job again returns its status.

Examples:
  snipegwctl job submit --team casa --id train-7 --tasks 2 --accelerators 8 --adjacent rack --wait -- train.sh --epochs 3
  snipegwctl job submit --file job.json`

type jobSubmit struct {
	*app         `no-flag:"true"`
	File         string        `long:"file" short:"f" description:"file with the job as JSON; - for standard input" value-name:"FILE"`
	ID           string        `long:"id" description:"id of the job (default: a random one)"`
	Team         string        `long:"team" description:"team; needed with an operator's token"`
	Class        string        `long:"class" description:"scheduling class" choice:"guaranteed" choice:"preemptible" choice:"urgent" default:"preemptible"`
	Tasks        int           `long:"tasks" description:"number of tasks" default:"1"`
	Accelerators int           `long:"accelerators" description:"number of accelerators per task"`
	Cores        int           `long:"cores" description:"number of cores per task" default:"1"`
	MemoryGB     int           `long:"memory-gb" description:"memory per task in GB" default:"1"`
	Adjacent     string        `long:"adjacent" description:"how close to each other the tasks must be placed" choice:"host" choice:"rack" choice:"failure_domain" choice:"any" default:"any"`
	Declared     time.Duration `long:"declared" description:"expected run time"`
	Checkpoint   time.Duration `long:"checkpoint" description:"checkpoint interval"`
	Wait         bool          `long:"wait" description:"wait until all tasks are running"`
	For          time.Duration `long:"for" description:"maximum time to wait" default:"1m"`
	Args         struct {
		Command []string `positional-arg-name:"COMMAND"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *jobSubmit) Execute([]string) error {
	job, err := c.job()
	if err != nil {
		return err
	}
	var st model.JobStatus
	if err := c.client.call(c.ctx, http.MethodPost, "/v1/jobs", job, &st); err != nil {
		if exitStatus(result.CodeOf(err)) == ExitUnknown {
			fmt.Fprintf(c.env.Stderr, "Repeat with --id %s; the job is accepted at most once.\n", job.ID)
		}
		return err
	}
	if c.Wait {
		return c.waitJob(st.Job.ID, "running", c.For)
	}
	return c.printStatus(st)
}

func (c *jobSubmit) job() (model.Job, error) {
	var job model.Job
	if c.File != "" {
		data, err := c.readFile(c.File)
		if err != nil {
			return job, err
		}
		if err := json.Unmarshal(data, &job); err != nil {
			return job, usagef("%s: %v", c.File, err)
		}
	} else {
		job = model.Job{
			ID: c.ID, Team: c.Team, Class: model.Class(c.Class),
			Shape: model.Shape{Tasks: c.Tasks, AcceleratorsPerTask: c.Accelerators, CoresPerTask: c.Cores,
				MemoryGBPerTask: c.MemoryGB, Adjacent: model.Adjacency(c.Adjacent)},
			DeclaredMS: c.Declared.Milliseconds(), CheckpointIntervalMS: c.Checkpoint.Milliseconds(), Command: c.Args.Command,
		}
	}
	if job.ID == "" {
		job.ID = "job-" + strings.ToLower(rand.Text()[:16])
	}
	return job, nil
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

func (a *app) jobStatus(id string) (st model.JobStatus, err error) {
	err = a.client.get(a.ctx, jobPath(id), &st)
	return st, err
}

func (a *app) printStatus(st model.JobStatus) error {
	if a.JSON {
		return a.printJSON(st)
	}
	fmt.Fprintf(a.env.Stdout, "job %s of team %s, %s, %s\n", st.Job.ID, st.Job.Team, st.Job.Class, formatShape(st.Job.Shape))
	fmt.Fprintf(a.env.Stdout, "state    %s (attempt %d)\n", st.State, st.Attempt)
	fmt.Fprintf(a.env.Stdout, "reason   %s: %s\n", st.Reason.Rule, st.Reason.Sentence)
	for _, k := range sortedKeys(st.Reason.Fields) {
		fmt.Fprintf(a.env.Stdout, "         %s=%s\n", k, st.Reason.Fields[k])
	}
	if len(st.Workers) > 0 {
		fmt.Fprintf(a.env.Stdout, "workers  %s\n", strings.Join(st.Workers, " "))
	}
	for _, t := range []struct {
		name string
		ms   int64
	}{{"submitted", st.Job.SubmittedMS}, {"started", st.StartedMS}, {"ended", st.EndedMS}} {
		if t.ms != 0 {
			fmt.Fprintf(a.env.Stdout, "%-9s %s ago\n", t.name, formatAge(t.ms))
		}
	}
	return nil
}

type jobArgument struct {
	Args struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

type jobStatus struct {
	*app `no-flag:"true"`
	watchOptions
	jobArgument
}

// Execute implements flags.Commander.
func (c *jobStatus) Execute([]string) error {
	return c.showRepeatedly(c.watchOptions, func() error {
		st, err := c.app.jobStatus(c.Args.Job)
		if err != nil {
			return err
		}
		return c.printStatus(st)
	})
}

type jobExplain struct {
	*app `no-flag:"true"`
	jobArgument
}

// Execute implements flags.Commander.
func (c *jobExplain) Execute([]string) error {
	var out struct {
		Job     string         `json:"job"`
		State   model.JobState `json:"state"`
		Attempt uint64         `json:"attempt"`
		Workers []string       `json:"workers,omitempty"`
		Reason  model.Reason   `json:"reason"`
	}
	if err := c.client.get(c.ctx, jobPath(c.Args.Job)+"/explain", &out); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(out)
	}
	fmt.Fprintf(c.env.Stdout, "%s is %s: %s\nrule %s\n", out.Job, out.State, out.Reason.Sentence, out.Reason.Rule)
	for _, k := range sortedKeys(out.Reason.Fields) {
		fmt.Fprintf(c.env.Stdout, "  %s=%s\n", k, out.Reason.Fields[k])
	}
	return nil
}

type jobWait struct {
	*app `no-flag:"true"`
	jobArgument
	Until string        `long:"until" description:"state to wait for" choice:"running" choice:"ended" default:"ended"`
	For   time.Duration `long:"for" description:"maximum time to wait" default:"1h"`
}

// Execute implements flags.Commander.
func (c *jobWait) Execute([]string) error { return c.waitJob(c.Args.Job, c.Until, c.For) }

// waitJob polls until a job has reached the state until, which is "running" or "ended",
// and prints its status. It returns an error if the job ended without success. After
// timeout it returns the error of the last poll or, if that succeeded, one with code
// InProgress.
func (a *app) waitJob(id, until string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	pollInterval := 50 * time.Millisecond
	for {
		st, err := a.jobStatus(id)
		switch {
		case result.CodeOf(err) == result.UnknownJob || result.CodeOf(err) == result.Forbidden:
			return err
		case err != nil:
		case st.State == model.JobDone || until == "running" && st.State == model.JobRunning:
			return a.printStatus(st)
		case st.State.Final():
			return endError(st)
		}
		if time.Now().After(deadline) || !a.pause(pollInterval) {
			if err != nil {
				return err
			}
			return result.Errorf(result.InProgress, "job %s is %s: %s", id, st.State, st.Reason.Sentence)
		}
		pollInterval = min(pollInterval*3/2, time.Second)
	}
}

// endError returns the error for a job that ended without success.
func endError(st model.JobStatus) error {
	code := result.TaskFailed
	switch st.State {
	case model.JobCancelled:
		code = result.Cancelled
	case model.JobRefused:
		code = result.ImpossibleShape
	}
	return result.Errorf(code, "job %s is %s: %s", st.Job.ID, st.State, st.Reason.Sentence)
}

type jobCancel struct {
	*app `no-flag:"true"`
	Args struct {
		Jobs []string `positional-arg-name:"JOB" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobCancel) Execute([]string) error {
	ids := c.Args.Jobs
	if len(ids) == 1 && ids[0] == "-" {
		ids = nil
		for s := bufio.NewScanner(c.env.Stdin); s.Scan(); {
			if id := strings.TrimSpace(s.Text()); id != "" {
				ids = append(ids, id)
			}
		}
	}
	var out struct {
		Results []struct {
			ID   string      `json:"id"`
			Code result.Code `json:"code"`
			Name string      `json:"name"`
		} `json:"results"`
	}
	if err := c.client.call(c.ctx, http.MethodPost, "/v1/jobs:cancel", map[string][]string{"ids": ids}, &out); err != nil {
		return err
	}
	worstCode := result.OK
	var rows [][]string
	for _, r := range out.Results {
		if exitStatus(r.Code) > exitStatus(worstCode) {
			worstCode = r.Code
		}
		rows = append(rows, []string{r.ID, strconv.Itoa(int(r.Code)), r.Name})
	}
	var err error
	if c.JSON {
		err = c.printJSON(out)
	} else {
		err = c.printTable("job code result", rows)
	}
	if err == nil && worstCode != result.OK {
		return result.Errorf(worstCode, "not all jobs were cancelled; see the result of each job")
	}
	return err
}

type jobList struct {
	*app `no-flag:"true"`
	watchOptions
	Limit int `long:"limit" description:"maximum number of jobs to list" default:"1000"`
}

// Execute implements flags.Commander.
func (c *jobList) Execute([]string) error {
	return c.showRepeatedly(c.watchOptions, c.show)
}

func (c *jobList) show() error {
	var out struct {
		Jobs          []model.JobStatus `json:"jobs"`
		UnpackedTeams []string          `json:"unpacked"`
		Epoch         uint64            `json:"epoch"`
	}
	if err := c.client.get(c.ctx, "/v1/jobs?limit="+strconv.Itoa(c.Limit), &out); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(out)
	}
	var rows [][]string
	for _, st := range out.Jobs {
		rows = append(rows, []string{st.Job.ID, st.Job.Team, string(st.Job.Class), formatShape(st.Job.Shape),
			string(st.State), formatAge(st.Job.SubmittedMS), st.Reason.Rule})
	}
	return c.printTable("job team class shape state age reason", rows)
}
