package replay

import (
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

// Row is the result of one policy on one trace. Each ratio divides the value of
// the policy by that of the better baseline on the same trace; it is 0 if the
// baseline's value is 0.
type Row struct {
	Trace              string
	Result             *Result
	CompletionRatio    float64
	LargeMeanRatio     float64
	LargeP95Ratio      float64
	FragmentationRatio float64
}

// Compare replays a trace with both baselines and the given policies, and returns
// a row for each, the baselines first. weights holds the objective weights by the
// name of the policy. Only an unknown policy is an error.
func Compare(name string, trace *Trace, policies []string, weights map[string]model.Weights) ([]Row, error) {
	all := append([]string{BaselineFIFO, BaselineBackfill}, policies...)
	results := make([]*Result, len(all))
	for i, policy := range all {
		factory, err := framework.Policies.Get(policy)
		if err != nil {
			return nil, err
		}
		results[i] = Run(trace, factory(), weights[policy])
		results[i].Policy = policy
	}
	betterBaseline := func(value func(*Result) float64) float64 {
		return min(value(results[0]), value(results[1]))
	}
	rows := make([]Row, len(all))
	for i, r := range results {
		rows[i] = Row{
			Trace:              filepath.Base(name),
			Result:             r,
			CompletionRatio:    ratio(r.CompletionMeanMS, betterBaseline(func(r *Result) float64 { return r.CompletionMeanMS })),
			LargeMeanRatio:     ratio(r.LargeCompletionMeanMS, betterBaseline(func(r *Result) float64 { return r.LargeCompletionMeanMS })),
			LargeP95Ratio:      ratio(r.LargeCompletionP95MS, betterBaseline(func(r *Result) float64 { return r.LargeCompletionP95MS })),
			FragmentationRatio: ratio(r.Fragmentation, betterBaseline(func(r *Result) float64 { return r.Fragmentation })),
		}
	}
	return rows, nil
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteTable prints rows as a table. An x in the head of a column marks a ratio
// to the better baseline.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "trace\tpolicy\tdone\tlost\tviolations\turgent late\tguarantee late\tmean x\tlarge mean x\tlarge p95 x\tfragmentation x\twasted %\tp99 us\tmax us\theap MB\t")
	for _, row := range rows {
		r := row.Result
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t\n",
			row.Trace, r.Policy, r.Done, r.Lost, len(r.Violations), r.UrgentLate, r.GuaranteeLate,
			row.CompletionRatio, row.LargeMeanRatio, row.LargeP95Ratio, row.FragmentationRatio,
			100*r.WastedShare, r.DecisionP99US, r.DecisionMaxUS, r.PeakMemoryMB)
	}
	return t.Flush()
}
