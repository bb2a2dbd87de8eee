// Package docs_test compares the pages with the code that they describe.
package docs_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"snipegw/internal/agent"
	"snipegw/internal/entry"
	"snipegw/internal/result"
)

func read(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a code whose meaning the page does not state.
func TestResultCodes(t *testing.T) {
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile("result-codes.md", []byte(result.Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	g := NewWithT(t)
	g.Expect(read(t, "result-codes.md")).To(Equal(result.Markdown()), "run UPDATE_DOCS=1 go test ./docs")
	for i, info := range result.Table() {
		if i > 0 {
			g.Expect(info.Code).To(BeNumerically(">", result.Table()[i-1].Code))
		}
	}
}

// tableOf returns the first column of the table under a heading of a page.
func tableOf(page, heading string) []string {
	_, rest, _ := strings.Cut(page, "\n"+heading+"\n")
	if next := strings.Index(rest, "\n## "); next >= 0 {
		rest = rest[:next]
	}
	if next := strings.Index(rest, "\n### "); next >= 0 {
		rest = rest[:next]
	}
	var names []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(rest, -1) {
		names = append(names, m[1])
	}
	sort.Strings(names)
	return names
}

// keys returns the dotted JSON keys of a settings type.
func keys(t reflect.Type, prefix string) []string {
	var list []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		section := f.Type
		if section.Kind() == reflect.Pointer {
			section = section.Elem()
		}
		switch {
		case name == "" || name == "-":
		case section.Kind() == reflect.Struct:
			list = append(list, keys(section, prefix+name+".")...)
		default:
			list = append(list, prefix+name)
		}
	}
	sort.Strings(list)
	return list
}

// Guards against settings that an operator cannot look up, and against
// documented ones that a program refuses.
func TestSettingsKeys(t *testing.T) {
	g := NewWithT(t)
	page := read(t, "OPERATIONS.md")
	g.Expect(tableOf(page, "### Settings of snipegw-entry")).To(Equal(keys(reflect.TypeFor[entry.Settings](), "")))
	g.Expect(tableOf(page, "### Settings of snipegw-agent")).To(Equal(keys(reflect.TypeFor[agent.Settings](), "")))
}

// sources returns the Go code of the programs without tests, and without the
// programs for development.
func sources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, root := range []string{"../internal", "../cmd", "../platform"} {
		err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && regexp.MustCompile(`standin|proof|replay|bench`).MatchString(d.Name()) {
				return filepath.SkipDir
			}
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				data, err := os.ReadFile(path)
				all.Write(data)
				return err
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all.String()
}

// Guards against log events without an explanation. An event that is documented
// but no longer logged fails as well.
func TestLogEvents(t *testing.T) {
	logged := map[string]bool{}
	pattern := regexp.MustCompile(`(?:"event"[:,] *|logEvent\(|Rejections\.Report\()"([a-z_]+)"( \+)?`)
	for _, m := range pattern.FindAllStringSubmatch(sources(t), -1) {
		name := m[1]
		if m[2] != "" {
			name += "*" // the rest of the name is computed
		}
		logged[name] = true
	}
	names := make([]string, 0, len(logged))
	for name := range logged {
		names = append(names, name)
	}
	sort.Strings(names)
	NewWithT(t).Expect(tableOf(read(t, "OPERATIONS.md"), "## Log events")).To(Equal(names))
}

// Guards against lines of the page that the programs no longer write so: their
// events and fields must stand in the code.
func TestLogLinesOfThePage(t *testing.T) {
	g := NewWithT(t)
	code := sources(t)
	lines := regexp.MustCompile(`(?m)^    time=\S+ (.*)$`).FindAllStringSubmatch(read(t, "OPERATIONS.md"), -1)
	g.Expect(len(lines)).To(BeNumerically(">=", 9), "three lines for each of three kinds of failure")
	for _, line := range lines {
		for _, pair := range regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`).FindAllStringSubmatch(line[1], -1) {
			key, value := pair[1], pair[2]
			switch key {
			case "time", "level", "program", "message":
			case "event":
				computed := strings.HasPrefix(value, "job_") || strings.HasPrefix(value, "item_")
				g.Expect(computed || strings.Contains(code, `"`+value+`"`)).To(BeTrue(), "event %s", value)
			default:
				g.Expect(code).To(ContainSubstring(`"`+key+`"`), "field %s of %s", key, line[1])
			}
		}
	}
}

// Guards against a reference to a result code that does not exist.
func TestCodesInPages(t *testing.T) {
	names := map[string]bool{}
	for _, info := range result.Table() {
		names[info.Name] = true
	}
	pattern := regexp.MustCompile("code `([a-z_]+)`")
	for _, page := range []string{"OPERATIONS.md", "glossary.md", "design.md"} {
		for _, m := range pattern.FindAllStringSubmatch(read(t, page), -1) {
			if !names[m[1]] {
				t.Errorf("%s names the unknown code %s", page, m[1])
			}
		}
	}
}

// Guards against a failure effect of the design without instructions.
func TestFailureSections(t *testing.T) {
	g := NewWithT(t)
	page := read(t, "OPERATIONS.md")
	for _, failure := range []string{"entry", "planner", "agent", "worker host", "backend server", "store", "link between entries", "failure domain", "network partition between regions"} {
		_, rest, found := strings.Cut(page, "### Failure: "+failure+"\n")
		g.Expect(found).To(BeTrue(), failure)
		section, _, _ := strings.Cut(rest, "\n### ")
		for _, part := range []string{"What you see", "What the system does", "What to do"} {
			g.Expect(section).To(ContainSubstring(part), failure)
		}
	}
}
