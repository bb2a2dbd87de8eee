package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipegw/internal/model"
	"snipegw/internal/proof"
	"snipegw/internal/standin/kv"
)

const (
	// gangStarts is the number of gangs whose start is timed for each row of the table.
	gangStarts = 100
	// storeDelayMS is the response time of the slow store in milliseconds.
	storeDelayMS = 3
	// statusPollInterval is the interval at which the state of a gang is polled. It
	// adds up to its own length to each measured time.
	statusPollInterval = time.Millisecond
	// jobsTimeout bounds the duration of the whole section.
	jobsTimeout = 3 * time.Minute
	// jobsTeam is one of the teams of proof.DefaultSpec.
	jobsTeam = "routes"
)

// jobsSection measures the time from the submission of a gang on an idle pool to
// its state running, and the calls to the store per second with and without jobs.
// The gang has 2 tasks with 8 accelerators each. The baseline is a store that
// answers without a delay.
func jobsSection(o *options, r *report) error {
	ctx, cancel := context.WithTimeout(context.Background(), jobsTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "snipegw-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := proof.Launch(ctx, o.BinDir, filepath.Join(dir, "cluster"), proof.DefaultSpec())
	if err != nil {
		return err
	}
	defer c.Kill()
	r.title("Jobs: submit to start of a gang of 2 x 8 on an idle pool, 3 agents, 2 entries (target p99 below 100 ms with a store that answers in %d ms)", storeDelayMS)
	r.row("store", "gangs", "p50 ms", "p99 ms", "max ms", "store calls/s idle", "store calls/s with gangs")
	for _, delayMS := range []int{0, storeDelayMS} {
		if err := jobsRow(ctx, o, r, c, delayMS); err != nil {
			return err
		}
	}
	return nil
}

// jobsRow measures with a store that delays each answer by delayMS milliseconds, and
// prints one row.
func jobsRow(ctx context.Context, o *options, r *report, c *proof.Cluster, delayMS int) error {
	if err := proof.SetFaults(c.Store, map[string]any{"slow_ms": delayMS}); err != nil {
		return err
	}
	before, err := storeCalls(c.Store.URL())
	if err != nil {
		return err
	}
	time.Sleep(o.MeasureTime)
	idle, err := storeCalls(c.Store.URL())
	if err != nil {
		return err
	}
	startTimes := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	begin := time.Now()
	for i := range gangStarts {
		took, err := timeGangStart(ctx, c, fmt.Sprintf("gang-%d-%d", delayMS, i))
		if err != nil {
			return err
		}
		_ = startTimes.RecordValue(took.Microseconds())
		time.Sleep(rand.N(20 * time.Millisecond)) // so that submissions are not in step with the planner's ticks
	}
	seconds := time.Since(begin).Seconds()
	loaded, err := storeCalls(c.Store.URL())
	if err != nil {
		return err
	}
	percentileMS := func(q float64) float64 { return float64(startTimes.ValueAtPercentile(q)) / 1000 }
	r.row(fmt.Sprintf("%d ms", delayMS), gangStarts, percentileMS(50), percentileMS(99), float64(startTimes.Max())/1000,
		float64(idle-before)/o.MeasureTime.Seconds(), float64(loaded-idle)/seconds)
	return nil
}

// timeGangStart submits a gang, returns the time until its state is running, and
// cancels it. It returns after the gang has ended.
func timeGangStart(ctx context.Context, c *proof.Cluster, id string) (time.Duration, error) {
	client := proof.NewClient(proof.TeamToken(jobsTeam))
	job := model.Job{
		ID: id, Team: jobsTeam, Class: model.ClassPreemptible, DeclaredMS: 60_000, CheckpointIntervalMS: 1000,
		Shape:   model.Shape{Tasks: 2, AcceleratorsPerTask: 8, CoresPerTask: 8, MemoryGBPerTask: 32, Adjacent: model.AdjacentRack},
		Command: []string{"sleep", "60000"},
	}
	begin := time.Now()
	if _, err := client.Submit(ctx, c.Entries, job); err != nil {
		return 0, err
	}
	for {
		st, err := client.Job(ctx, c.Entries, id)
		if err != nil {
			return 0, err
		}
		if st.State == model.JobRunning {
			break
		}
		if st.State.Final() {
			return 0, fmt.Errorf("gang %s ended as %s: %s", id, st.State, st.Reason.Sentence)
		}
		time.Sleep(statusPollInterval)
	}
	took := time.Since(begin)
	if err := client.Cancel(ctx, c.Entries, id); err != nil {
		return 0, err
	}
	_, err := client.AwaitJob(ctx, c.Entries, id, func(st model.JobStatus) bool { return st.State.Final() })
	return took, err
}

// storeCalls returns how many calls the stand-in for the store at url has served.
func storeCalls(url string) (uint64, error) {
	resp, err := http.Get(url + "/standin/counts")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var c kv.Counts
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		return 0, fmt.Errorf("decode the call counts of the store: %w", err)
	}
	total := uint64(0)
	for _, n := range c.Calls {
		total += n
	}
	return total, nil
}
