package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/standin/backend"
)

const (
	demoRequests = 20
	demoTimeout  = 60 * time.Second
)

// Demo starts one store, three workers with agents and backend servers, and two entries, or
// the processes whose settings are in the directory examples. It runs a gang job, requests, a
// request with a ticket, a configuration patch and workflows, and prints the outcome of each.
// It reports whether all of them succeeded.
func Demo(ctx context.Context, env Env, examples string, out io.Writer) bool {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	launch := func() (*Cluster, error) { return Launch(ctx, env.Bin, env.Dir, DefaultSpec()) }
	if examples != "" {
		launch = func() (*Cluster, error) { return LaunchExamples(ctx, env.Bin, env.Dir, examples) }
	}
	c, err := launch()
	if err != nil {
		fmt.Fprintln(out, "start:", err)
		return false
	}
	defer c.Kill()
	fmt.Fprintf(out, "started 1 store, %d workers, %d entries, %d agents, %d backend servers\n",
		len(c.Workers), len(c.Entries), len(c.Agents), len(c.Backends))
	steps := []struct {
		name string
		run  func(context.Context, *Cluster) (string, error)
	}{{"gang job", demoGang}, {"requests", demoRequestSet}, {"ticket", demoTicket}, {"configuration patch", demoPatch}}
	ok := true
	for _, s := range steps {
		text, err := s.run(ctx, c)
		if err != nil {
			ok = false
			text = "FAILED: " + err.Error()
		}
		fmt.Fprintf(out, "%s: %s\n", s.name, text)
	}
	text, err := demoWorkflows(ctx, env)
	if err != nil {
		ok = false
		text = "FAILED: " + err.Error()
	}
	fmt.Fprintf(out, "workflows: %s\n", text)
	took, err := c.Stop(StopTimeout)
	fmt.Fprintf(out, "stopped with SIGTERM, longest stop %s\n", took.Round(10*time.Millisecond))
	if err != nil {
		fmt.Fprintln(out, "stop FAILED:", err)
		ok = false
	}
	if err := checkPanics(env.Dir); err != nil {
		fmt.Fprintln(out, "panics FAILED:", err)
		ok = false
	}
	return ok
}

func demoGang(ctx context.Context, c *Cluster) (string, error) {
	team, adjacent := c.Spec.Teams[1].ID, model.AdjacentRack
	if c.Spec.PerRack < 2 {
		adjacent = model.AdjacentAny
	}
	client := NewClient(TeamToken(team))
	job := model.Job{
		ID: "gang-1", Team: team, Class: model.ClassPreemptible, DeclaredMS: 1500, CheckpointIntervalMS: 500,
		Shape:   model.Shape{Tasks: 2, AcceleratorsPerTask: 8, CoresPerTask: 8, MemoryGBPerTask: 32, Adjacent: adjacent},
		Command: []string{"sleep", "1500"},
	}
	began := time.Now()
	if _, err := client.Submit(ctx, c.Entries, job); err != nil {
		return "", err
	}
	st, err := client.AwaitJob(ctx, c.Entries, job.ID, func(st model.JobStatus) bool { return st.State.Final() })
	if err != nil {
		return "", err
	}
	if st.State != model.JobDone {
		return "", fmt.Errorf("job %s ended as %s: %s", job.ID, st.State, st.Reason.Sentence)
	}
	return fmt.Sprintf("%s of 2 x 8 accelerators is %s after %s on attempt %d", job.ID, st.State, time.Since(began).Round(10*time.Millisecond), st.Attempt), nil
}

func demoRequestSet(ctx context.Context, c *Cluster) (string, error) {
	client := NewClient(TeamToken(c.Spec.Teams[0].ID))
	for i := range demoRequests {
		path := fmt.Sprintf("/manifests/%d", i)
		body := []byte(path)
		url := c.Entries[i%len(c.Entries)].URL() + "/v1/services/" + c.Spec.Service + "/request" + path + "?delay_ms=10"
		resp := client.Call(ctx, http.MethodPost, url, nil, body)
		want := backend.Digest(http.MethodPost, path, body)
		if !resp.Complete() || resp.Status != http.StatusOK || resp.Header.Get(backend.DigestHeader) != want {
			return "", fmt.Errorf("request %d: status %d code %d error %v", i, resp.Status, resp.Code, resp.Err)
		}
	}
	return fmt.Sprintf("%d of %d complete with the right digest", demoRequests, demoRequests), nil
}

// demoTicket runs a request and reads its recorded response by its ticket through the other
// entry.
func demoTicket(ctx context.Context, c *Cluster) (string, error) {
	client := NewClient(TeamToken(c.Spec.Teams[0].ID))
	url := c.Entries[0].URL() + "/v1/services/" + c.Spec.Service + "/request/bookings/1"
	first := client.Call(ctx, http.MethodPost, url, nil, []byte("booking"))
	if !first.Complete() || first.Ticket == "" {
		return "", fmt.Errorf("request: status %d code %d ticket %q error %v", first.Status, first.Code, first.Ticket, first.Err)
	}
	again := client.Call(ctx, http.MethodGet, c.Entries[1].URL()+"/v1/tickets/"+first.Ticket, nil, nil)
	if !again.Complete() || string(again.Body) != string(first.Body) {
		return "", fmt.Errorf("ticket at the other entry: status %d code %d error %v", again.Status, again.Code, again.Err)
	}
	return "the other entry returned the recorded response of " + first.Ticket, nil
}

func demoPatch(ctx context.Context, c *Cluster) (string, error) {
	client := NewClient(OperatorToken)
	load := &patchLoad{cluster: c}
	doc, err := client.Config(ctx, c.Entries[0])
	if err != nil {
		return "", err
	}
	began := time.Now()
	load.sendPatch(ctx, client, c.Entries[0], doc.Version, "run-1", 500)
	if len(load.accepted) != 1 {
		return "", fmt.Errorf("the patch of version %d was not accepted", doc.Version)
	}
	total := c.Spec.Entries + c.Spec.Agents
	for {
		st, err := client.Status(ctx, c.Entries[1])
		if err == nil && st.Config.Version == load.accepted[0].version && st.Config.InForce == total {
			return fmt.Sprintf("version %d in force on %d of %d after %s", st.Config.Version, total, total, time.Since(began).Round(10*time.Millisecond)), nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("the patched version is in force on %d of %d processes", st.Config.InForce, total)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
