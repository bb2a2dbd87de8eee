package docs_test

import (
	"regexp"
	"slices"
	"sort"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"snipegw/internal/ctl"
)

// metricsIn returns the names that match a pattern in the code of the programs.
// A computed rest of a name is given as *.
func metricsIn(code, pattern string) []string {
	var names []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(code, -1) {
		name := m[1]
		if len(m) > 2 && m[2] != "" {
			name += "*"
		}
		names = append(names, name)
	}
	sort.Strings(names)
	return slices.Compact(names)
}

// Guards against metrics without an explanation, and against documented ones
// that no process exposes.
func TestMetrics(t *testing.T) {
	g := NewWithT(t)
	code, page := sources(t), read(t, "OPERATIONS.md")
	_, section, found := strings.Cut(page, "\n## Metrics\n")
	g.Expect(found).To(BeTrue())
	section, _, _ = strings.Cut(section, "\n## ")
	var rows []string
	counters := map[string][]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| (`.*?) \\| (.*) \\|$").FindAllStringSubmatch(section, -1) {
		names := metricsIn(row[1], "`([^`]+)`")
		rows = append(rows, names...)
		counters[names[0]] = metricsIn(row[2], "`([^`]+)`")
	}
	sort.Strings(rows)
	published := metricsIn(code, `expvar\.(?:NewMap|NewInt|NewFloat|NewString|Publish)\("(\w+)"`)
	published = append(published, metricsIn(code, `"(\w+)": +func\(\) any`)...)
	published = append(published, metricsIn(code, `Metrics\.(?:Count|Add|Observe|Set)\((?:[^"]*, )?"(\w+)"`)...)
	sort.Strings(published)
	g.Expect(rows).To(Equal(published))
	g.Expect(counters["jobs"]).To(Equal(metricsIn(code, `metrics\.Add\("(\w+)"( *\+)?`)))
}

// commandsIn returns the command lines of snipegwctl that a page shows in
// indented blocks and in code spans, without the name of the program.
func commandsIn(t *testing.T, page string) [][]string {
	t.Helper()
	page = strings.ReplaceAll(page, "\\\n", " ")
	lines := regexp.MustCompile("(?m)^    (.*snipegwctl .*)$").FindAllStringSubmatch(page, -1)
	lines = append(lines, regexp.MustCompile("`([^`\n]*snipegwctl [^`]+)`").FindAllStringSubmatch(page, -1)...)
	var commands [][]string
	for _, m := range lines {
		words := splitWords(t, m[1])
		at := slices.Index(words, "snipegwctl")
		if at < 0 {
			t.Errorf("no command in %q", m[1])
			continue
		}
		commands = append(commands, words[at+1:])
	}
	return commands
}

// splitWords splits a line of shell into words up to a comment, a redirection
// or the end of a substitution. It knows quotes and no expansions.
func splitWords(t *testing.T, line string) []string {
	t.Helper()
	line = strings.ReplaceAll(line, "<(", " ")
	var words []string
	for _, m := range regexp.MustCompile(`'([^']*)'|"([^"]*)"|([#>|)])|([^\s'"#>|)]+)`).FindAllStringSubmatch(line, -1) {
		if m[3] != "" {
			break
		}
		words = append(words, m[1]+m[2]+m[4])
	}
	return words
}

// Guards against documented commands that the program refuses.
func TestCommands(t *testing.T) {
	for name, atLeast := range map[string]int{"../README.md": 7, "OPERATIONS.md": 13} {
		commands := commandsIn(t, read(t, name))
		if len(commands) < atLeast {
			t.Errorf("%s: only %d commands found: %q", name, len(commands), commands)
		}
		for _, args := range commands {
			if err := ctl.Parse(args); err != nil {
				t.Errorf("%s: snipegwctl %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	for _, wrong := range []string{"no-such-command", "status --no-such-option", "worker drain", "worker drain w1 w2"} {
		if ctl.Parse(strings.Fields(wrong)) == nil {
			t.Errorf("the faulty command %q parses", wrong)
		}
	}
}
