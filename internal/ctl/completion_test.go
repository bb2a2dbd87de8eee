package ctl

import (
	"bytes"
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func runWithoutEnv(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	status := Run(context.Background(), args, Env{Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }})
	return status, out.String(), errs.String()
}

// Guards against a completion script that does not get its completions from
// snipegwctl, and against a shell that is accepted although it has no script.
func TestCompletionScript(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{"bash", "zsh"} {
		status, out, errs := runWithoutEnv("completion", name)
		g.Expect(status).To(Equal(ExitOK), errs)
		g.Expect(out).To(ContainSubstring("GO_FLAGS_COMPLETION=1"))
		g.Expect(out).To(HaveSuffix("snipegwctl\n"))
	}
	for _, args := range [][]string{{"completion", "fish"}, {"completion"}} {
		status, out, errs := runWithoutEnv(args...)
		g.Expect(status).To(Equal(ExitUsage), errs)
		g.Expect(out).To(BeEmpty())
	}
}

// Guards against a completion request that executes the command, and against
// missing commands, options and argument values.
func TestCompletions(t *testing.T) {
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	g := NewWithT(t)
	for line, want := range map[string]string{
		"conf":                     "config",
		"worker dr":                "drain",
		"job submit --accelerator": "--accelerators",
		"completion b":             "bash",
	} {
		status, out, errs := runWithoutEnv(strings.Fields(line)...)
		g.Expect(status).To(Equal(ExitOK), errs)
		g.Expect(strings.Fields(out)).To(ContainElement(want), line)
	}
}
