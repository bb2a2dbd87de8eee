package ctl

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// printTable prints rows in aligned columns. The words of header are the column
// heads; an empty cell is shown as "-".
func (a *app) printTable(header string, rows [][]string) error {
	w := tabwriter.NewWriter(a.env.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(strings.ToUpper(header), " ", "\t"))
	for _, r := range rows {
		for i, cell := range r {
			if cell == "" {
				r[i] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// formatAge formats the time since ms, a Unix time in milliseconds; 0 gives "".
func formatAge(ms int64) string {
	if ms == 0 {
		return ""
	}
	return formatDuration(time.Since(time.UnixMilli(ms)))
}

// formatDuration formats d in its largest unit or its two largest units.
func formatDuration(d time.Duration) string {
	switch {
	case d < time.Minute:
		return fmt.Sprintf("%.0fs", d.Seconds())
	case d < time.Hour:
		return fmt.Sprintf("%dm%02ds", int(d.Minutes()), int(d.Seconds())%60)
	case d < 48*time.Hour:
		return fmt.Sprintf("%dh%02dm", int(d.Hours()), int(d.Minutes())%60)
	}
	return fmt.Sprintf("%dd", int(d.Hours()/24))
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// trueKeys returns the keys whose value is true, sorted and joined by commas.
func trueKeys(flags map[string]bool) string {
	var names []string
	for _, k := range sortedKeys(flags) {
		if flags[k] {
			names = append(names, k)
		}
	}
	return strings.Join(names, ",")
}
