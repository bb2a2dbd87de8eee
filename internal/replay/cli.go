package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

// Exit statuses of the command.
const (
	ExitOK         = 0
	ExitViolations = 1 // the policy broke a scheduling requirement
	ExitBadTrace   = 2 // the trace could not be read, or the policy is unknown
)

// maxShownViolations bounds the violations listed in the text output.
const maxShownViolations = 20

// deploymentWeights are the objective weights of the two deployments by the
// name of their policy.
var deploymentWeights = map[string]model.Weights{
	"loads": {CompletionTime: 0.8, Fragmentation: 0.2},
	"casa":  {CompletionTime: 0.3, Fragmentation: 0.7},
}

// ReadFile reads a trace from a file of JSON lines.
func ReadFile(name string) (*Trace, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	trace, err := Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return trace, nil
}

// RunFile replays one trace file with one policy and prints the result to w, as
// one line of JSON or as text. It returns the exit status of the command.
func RunFile(w io.Writer, file, policy string, asJSON bool) (status int, err error) {
	factory, err := framework.Policies.Get(policy)
	if err != nil {
		return ExitBadTrace, err
	}
	trace, err := ReadFile(file)
	if err != nil {
		return ExitBadTrace, err
	}
	r := Run(trace, factory(), deploymentWeights[policy])
	r.Policy = policy
	status = ExitOK
	if !r.OK() {
		status = ExitViolations
	}
	return status, r.write(w, asJSON)
}

func (r *Result) write(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	summary := *r
	summary.Violations = nil
	data, err := json.MarshalIndent(&summary, "", "  ")
	if err != nil {
		return err
	}
	shown := r.Violations[:min(len(r.Violations), maxShownViolations)]
	_, err = fmt.Fprintf(w, "%s\nviolations: %d\n%s\n", data, len(r.Violations), strings.Join(shown, "\n"))
	return err
}

// CompareFiles prints a table that compares the production policies with the
// baselines on each trace file. The status is ExitViolations if a production
// policy broke a scheduling requirement.
func CompareFiles(w io.Writer, files []string) (status int, err error) {
	var rows []Row
	for _, name := range files {
		trace, err := ReadFile(name)
		if err != nil {
			return ExitBadTrace, err
		}
		traceRows, err := Compare(name, trace, []string{"loads", "casa"}, deploymentWeights)
		if err != nil {
			return ExitBadTrace, err
		}
		rows = append(rows, traceRows...)
	}
	if err := WriteTable(w, rows); err != nil {
		return ExitBadTrace, err
	}
	for _, row := range rows {
		if _, production := deploymentWeights[row.Result.Policy]; production && !row.Result.OK() {
			fmt.Fprintf(w, "%s %s: %s\n", row.Trace, row.Result.Policy, row.Result.Violations[0])
			status = ExitViolations
		}
	}
	return status, nil
}

// RunGenerated replays generated traces with the seeds 1 to count on the workers
// and teams of a trace file. It prints one line for each trace on which the
// policy breaks a scheduling requirement, then the number of such traces.
func RunGenerated(w io.Writer, file, policy string, count int, singleFailures bool) (status int, err error) {
	factory, err := framework.Policies.Get(policy)
	if err != nil {
		return ExitBadTrace, err
	}
	base, err := ReadFile(file)
	if err != nil {
		return ExitBadTrace, err
	}
	broken := 0
	for seed := 1; seed <= count; seed++ {
		r := Run(Generate(base, uint64(seed), singleFailures), factory(), deploymentWeights[policy])
		if !r.OK() {
			broken++
			fmt.Fprintf(w, "%s seed=%d violations=%d unpacked=%d guarantee_late=%d urgent_late=%d lost=%d first: %s\n",
				policy, seed, len(r.Violations), r.GuaranteeUnpacked, r.GuaranteeLate, r.UrgentLate, r.Lost, r.Violations[0])
		}
	}
	fmt.Fprintf(w, "%s: %d of %d generated traces break a stated outcome\n", policy, broken, count)
	if broken > 0 {
		return ExitViolations, nil
	}
	return ExitOK, nil
}
