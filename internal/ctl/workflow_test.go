package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/config"
	"snipegw/internal/standin/platformstore"
	"snipegw/internal/workflow"
	_ "snipegw/platform" // registers the store and the configuration format
)

const workflowDocument = `{"version":9,"routes":[{"name":"urgent","hostname":"q.example","pathPrefix":"/u/","backend":"svc","maxAttempts":3},
{"name":"batch","hostname":"q.example","pathPrefix":"/b/","backend":"svc","priority":1,"maxAttempts":2}],
"services":[{"name":"svc"}],"tenants":[{"name":"a","apiKeys":["secret"],"guaranteed":{"gpus":8}},{"name":"b","apiKeys":["other"],"guaranteed":{"gpus":4}}]}`

const plannerDumpJSON = `{"planner":{"planning":true,"epoch":7,"engine":{"jobs":[{"id":"00000000000000a2","class":"other","waiting":"item 00000000000000a2/0/0/1 finds no room"}],
"workers":[{"node":"w1","rack":"r1","usable":true,"accelerators":8,"accelerators_free":2,"items":2}]}}}`

var _ = Describe("snipegwctl workflow", func() {
	var (
		store     *platformstore.Store
		endpoint  *platformstore.Endpoint
		out, errs bytes.Buffer
	)
	run := func(args ...string) int {
		out.Reset()
		errs.Reset()
		return Run(context.Background(), args, Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Version: "test",
			Getenv: func(name string) string { return map[string]string{"SNIPEGW_STORE": endpoint.Addr()}[name] }})
	}
	put := func(key string, v any) { store.Put(key, workflow.Encode(v)) }
	job := func(id, queue, team string, count int, accelerators int64) {
		put(workflow.JobPrefix+id, workflow.JobRecord{Queue: queue, Team: team, AcceptedMS: time.Now().UnixMilli(), MaxAttempts: 3,
			Job: workflow.Job{Steps: []workflow.Step{{Count: count, Accelerators: accelerators}}}})
	}
	BeforeEach(func() {
		store = platformstore.New()
		var err error
		endpoint, err = store.OpenEndpoint()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(endpoint.Close)
		planner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, plannerDumpJSON) }))
		DeferCleanup(planner.Close)
		store.Put("op/config", []byte(workflowDocument))
		put(workflow.PlannerKey, workflow.PlannerRecord{Entry: "e1", Address: "10.0.0.1:7000"})
		put(workflow.EntryPrefix+"e1", workflow.ProcessRecord{Address: "10.0.0.1:7000", Zone: "z", Debug: strings.TrimPrefix(planner.URL, "http://")})
		put(workflow.AgentPrefix+"w1", workflow.ProcessRecord{Address: "10.0.0.2:7000", Zone: "z"})
		job("00000000000000a1", "urgent", "a", 2, 1)
		put(workflow.ProgressPrefix+"00000000000000a1", workflow.Progress{State: workflow.StateComplete, Units: []workflow.UnitProgress{{Done: true}, {First: 1, Done: true}}})
		job("00000000000000a2", "batch", "b", 2, 6)
		put(workflow.ProgressPrefix+"00000000000000a2", workflow.Progress{State: workflow.StateActive,
			Units: []workflow.UnitProgress{{Run: 1, Members: []workflow.MemberProgress{{Worker: "w1|5"}}}}})
		job("00000000000000a3", "batch", "a", 1, 1)
		put(workflow.ProgressPrefix+"00000000000000a3", workflow.Progress{State: workflow.StateFailed, Units: []workflow.UnitProgress{{Failed: 2}}})
	})

	// Guards against a document that passes the check and has faults, against an exit status
	// that a script would misread, and against tokens in the output.
	It("checks a configuration and compares it with the one in force", func() {
		dir := GinkgoT().TempDir()
		write := func(name, text string) string {
			file := filepath.Join(dir, name)
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			return file
		}
		fine := strings.ReplaceAll(workflowDocument, `"maxAttempts"`, `"slackFactor":2,"maxAttempts"`)
		Expect(run("config", "check", write("fine", fine), "--format", "platform")).To(Equal(ExitOK), out.String()+errs.String())
		Expect(out.String()).To(Equal("0 findings\n"))

		faulty := strings.ReplaceAll(strings.ReplaceAll(fine, `"backend":"svc","priority":1`, `"backend":"none","priority":1`), `"other"`, `"secret"`)
		file := write("faulty", strings.ReplaceAll(faulty, `"version":9`, `"version":10`))
		Expect(run("config", "check", file, "--format", "platform", "--against", "in-force")).To(Equal(ExitRefused), errs.String())
		Expect(out.String()).To(ContainSubstring(`routes[1].backend: there is no service "none"`))
		Expect(out.String()).To(ContainSubstring(`tenants[b].apiKeys[0]: the token also belongs to team "a"`))
		Expect(out.String()).To(ContainSubstring("but the known workers have 8"))
		Expect(out.String()).To(ContainSubstring("- /version 9\n+ /version 10"))
		Expect(out.String()).NotTo(ContainSubstring("secret"))
		Expect(run("config", "check", file, "--format", "platform", "--against", write("other", fine), "--json")).To(Equal(ExitRefused))
		var report checkReport
		Expect(json.Unmarshal(out.Bytes(), &report)).To(Succeed())
		Expect(report.Findings).To(HaveLen(2))
		Expect(report.Changes).To(ContainElement("+ /version 10"))

		own := write("own", `{"version":4,"teams":[{"id":"A","weight":1}]}`)
		Expect(run("config", "check", own, "--against", own)).To(Equal(ExitRefused))
		Expect(out.String()).To(ContainSubstring("teams[0].id"))
		for name, text := range map[string]string{
			"empty": "", "not JSON": "{\n\n]", "of another version": `{"routes":[]}`, "of other types": `{"version":"9"}`,
			"too large": `"` + strings.Repeat("x", config.MaxDocumentBytes) + `"`,
		} {
			Expect(run("config", "check", write("bad", text), "--format", "platform")).To(Equal(ExitUsage), name)
			Expect(errs.String()).NotTo(BeEmpty(), name)
		}
		Expect(run("config", "check", write("bad", "{\n\n]"))).To(Equal(ExitUsage))
		Expect(errs.String()).To(ContainSubstring("line 3"))
		Expect(run("config", "check", filepath.Join(dir, "absent"))).To(Equal(ExitUsage))
		Expect(run("config", "check", write("list", "[]"))).To(Equal(ExitUsage))
		Expect(run("config", "check", file, "--format", "unknown")).To(Equal(ExitUsage))
	})

	It("lists all jobs or only those that match a filter", func() {
		Expect(run("workflow", "jobs")).To(Equal(ExitOK), errs.String())
		Expect(out.String()).To(MatchRegexp(`00000000000000a2\s+batch\s+b\s+1\s+active\s+\S+\s+0/2\s+1\s+w1`))
		Expect(run("workflow", "jobs", "--state", "failed", "--json")).To(Equal(ExitOK))
		Expect(out.String()).To(ContainSubstring("00000000000000a3"))
		Expect(out.String()).NotTo(ContainSubstring("00000000000000a1"))
	})

	It("explains each state of a job, with the planner's reason for waiting items", func() {
		for id, text := range map[string]string{
			"00000000000000a1": "is complete. All 2 items are done.",
			"00000000000000a2": "1 run on w1, 1 wait: item 00000000000000a2/0/0/1 finds no room.",
			"00000000000000a3": "An item failed 2 times, and its queue allows 2 attempts",
		} {
			Expect(run("workflow", "explain", id)).To(Equal(ExitOK), errs.String())
			Expect(out.String()).To(ContainSubstring(text))
		}
		Expect(run("workflow", "explain", "00000000000000ff")).To(Equal(ExitRefused))
		Expect(errs.String()).To(ContainSubstring("job_gone"))
	})

	// Guards against a limit of failures that is named as the reason where workers have crashed.
	It("explains that a job was given up for crashes of workers", func() {
		put(workflow.ProgressPrefix+"00000000000000a3", workflow.Progress{
			State: workflow.StateFailed, GivenUp: true, Crashes: []workflow.ItemCrashes{{AtStart: 2, Total: 2}, {Index: 1, AtStart: 3, Total: 4}},
		})
		Expect(run("workflow", "explain", "00000000000000a3")).To(Equal(ExitOK), errs.String())
		Expect(out.String()).To(ContainSubstring("Workers crashed under an item 4 times, so the job was given up"))
	})

	// Guards against an explanation that reads as if the planner had no reason, when
	// in fact the planner was not reachable.
	It("says that the planner's reason is not available", func() {
		put(workflow.EntryPrefix+"e1", workflow.ProcessRecord{Address: "10.0.0.1:7000", Debug: "127.0.0.1:1"})
		Expect(run("workflow", "explain", "00000000000000a2")).To(Equal(ExitOK))
		Expect(out.String()).To(ContainSubstring("the planner e1 did not tell why"))
		Expect(errs.String()).To(ContainSubstring("the state of the planner is not available"))
	})

	// Guards against a loan that is shown for the wrong team or not at all.
	It("shows how many accelerators each team borrows and lends", func() {
		Expect(run("workflow", "status")).To(Equal(ExitOK), errs.String())
		Expect(out.String()).To(MatchRegexp(`(?m)^a\s+8\s+0\s+0\s+0\s+8$`))
		Expect(out.String()).To(MatchRegexp(`(?m)^b\s+4\s+0\s+6\s+6\s+4$`))
		Expect(out.String()).To(ContainSubstring("1 active, 1 complete, 1 failed"))
	})

	It("shows queues, workers, planner and configuration, but no tokens", func() {
		for command, text := range map[string]string{"queues": "q.example/b/", "workers": "2/8", "planner": "planner, epoch", "config": "version 9"} {
			Expect(run("workflow", command)).To(Equal(ExitOK), command+errs.String())
			Expect(out.String()).To(ContainSubstring(text), command)
			Expect(run("workflow", command, "--json")).To(Equal(ExitOK), command)
			Expect(out.String()).NotTo(ContainSubstring("secret"), command)
		}
	})

	// Guards against a job that counts as started for operators, but as queued for callers, because a
	// start was decided that no worker has carried out.
	It("counts a job as queued until a worker has begun an item", func() {
		Expect(run("workflow", "queues")).To(Equal(ExitOK), errs.String())
		Expect(out.String()).To(MatchRegexp(`q\.example/b/\s+1\s+0\s+1\s+1`))
		put(workflow.ProgressPrefix+"00000000000000a2", workflow.Progress{State: workflow.StateActive, Begun: true})
		Expect(run("workflow", "queues")).To(Equal(ExitOK), errs.String())
		Expect(out.String()).To(MatchRegexp(`q\.example/b/\s+0\s+0\s+1\s+1`))
	})

	// Guards against a store that is down being reported as an invalid command line.
	It("distinguishes an unavailable store from a missing store address", func() {
		endpoint.SetFaults(platformstore.Faults{Down: platformstore.DownUnavailable})
		Expect(run("workflow", "jobs")).To(Equal(ExitRefused))
		Expect(errs.String()).To(ContainSubstring("store_unavailable"))
		Expect(Run(context.Background(), []string{"workflow", "jobs"}, Env{Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }})).To(Equal(ExitUsage))
	})
})

var _ = Describe("snipegwctl trace", func() {
	// Guards against lines that are out of order, and against lines of other jobs,
	// also of those whose id begins with the traced id.
	It("merges the lines of one job from several logs in order of time", func() {
		dir := GinkgoT().TempDir()
		write := func(name, text string) string {
			file := filepath.Join(dir, name)
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			return file
		}
		a := write("entry.log", `time=2026-01-01T00:00:01.2Z level=info program=snipegw-entry event=job_accept code=100 job=a1 message="recorded"
time=2026-01-01T00:00:01.25Z level=info program=snipegw-entry event=placed job=a1 message="run decided"
time=2026-01-01T00:00:01.9Z level=info program=snipegw-entry event=job_ended job=a1 message="job ended"
time=2026-01-01T00:00:01.3Z level=info program=snipegw-entry event=job_accept code=100 job=a11 message="recorded"
not a log line about a1
`)
		b := write("agent.log", `time=2026-01-01T00:00:01.5Z level=info program=snipegw-agent event=item_start item=a1/0/0/0 code=100 message="a \"quoted\" word"`)
		var out, errs bytes.Buffer
		env := Env{Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
		Expect(Run(context.Background(), []string{"trace", "a1", a, b}, env)).To(Equal(ExitOK), errs.String())
		var events []string
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n")[1:] {
			events = append(events, strings.Fields(line)[2])
		}
		Expect(events).To(Equal([]string{"job_accept", "placed", "item_start", "job_ended"}))
		Expect(Run(context.Background(), []string{"trace", "zz", a}, env)).To(Equal(ExitRefused))
		Expect(Run(context.Background(), []string{"trace", "a1", filepath.Join(dir, "none.log")}, env)).To(Equal(ExitUsage))
	})
})

var _ = Describe("snipegwctl causes", func() {
	// Guards against a late day whose causes are counted wrongly: jobs in time and
	// cancelled ones must be left out, and a job counts where it lost most time.
	It("counts the jobs that were not served in time by their main cause", func() {
		file := filepath.Join(GinkgoT().TempDir(), "entry.log")
		line := func(at, event, job, fields string) string {
			return "time=2026-01-01T00:00:" + at + "Z level=info event=" + event + " job=" + job + " " + fields + "\n"
		}
		text := line("01.1", "job_accept", "intime", "code=100 took_ms=10") + line("01.2", "placed", "intime", "unit=intime/0/0/0") +
			line("02", "run_ended", "intime", "how=done took_ms=790") + line("02", "job_ended", "intime", "state=complete objective_ms=1000") +
			line("01", "job_accept", "away", "code=306 took_ms=900") + line("02", "job_accept", "away", "code=306 took_ms=0") +
			line("01", "job_accept", "room", "code=100 took_ms=10") + line("04", "placed", "room", "unit=room/0/0/0") +
			line("05", "run_ended", "room", "how=done took_ms=990") + line("05", "job_ended", "room", "state=complete objective_ms=1500") +
			line("01", "job_accept", "stopped", "code=100 took_ms=10") + line("01.1", "placed", "stopped", "unit=stopped/0/0/0") +
			line("03", "run_ended", "stopped", `how=stopped stop_reason="preempted for room" took_ms=1900`) + line("04.5", "placed", "stopped", "unit=stopped/0/0/0") +
			line("01", "job_accept", "late", "code=306 took_ms=100") + line("03", "job_accept", "late", "code=100 took_ms=10") +
			line("01", "job_accept", "long", "code=100 took_ms=10") + line("01.1", "placed", "long", "unit=long/0/0/0") + line("06", "run_ended", "long", "how=done took_ms=4890") + line("06", "job_ended", "long", "state=complete objective_ms=1500") +
			line("03.1", "placed", "late", "unit=late/0/0/0") + line("04", "run_ended", "late", "how=done took_ms=890") + line("04", "job_ended", "late", "state=complete objective_ms=1500") +
			line("01", "job_accept", "cancelled", "code=100 took_ms=10") + line("09", "job_ended", "cancelled", "state=canceled objective_ms=1500")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		var out, errs bytes.Buffer
		env := Env{Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
		Expect(Run(context.Background(), []string{"causes", file}, env)).To(Equal(ExitOK), errs.String())
		Expect(out.String()).To(And(
			MatchRegexp(`(?m)^recorded late\s+1\s+1\s+0\s+0\s+2\.1\s+late$`),
			MatchRegexp(`(?m)^refused with code 306\s+1\s+0\s+0\s+0\s+0\.0\s+away$`),
			MatchRegexp(`(?m)^stopped for another job\s+1\s+0\s+0\s+1\s+3\.4\s+stopped$`),
			MatchRegexp(`(?m)^ran longer than estimated\s+1\s+1\s+0\s+0\s+\S+\s+long$`),
			MatchRegexp(`(?m)^waited for room\s+1\s+1\s+0\s+0\s+3\.0\s+room$`),
			Not(ContainSubstring("intime")), Not(ContainSubstring("cancelled"))))
		Expect(Run(context.Background(), []string{"causes", filepath.Join(GinkgoT().TempDir(), "none.log")}, env)).To(Equal(ExitUsage))
	})
})
