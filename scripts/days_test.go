// Package scripts holds the test of a script. The scripts themselves are written for bash.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// benchProgram plays a day by its name. It takes the arguments that days.sh passes.
const benchProgram = `#!/usr/bin/env bash
report=${10}
[ "$*" = "run $2 $3 --seed 7 --no-cpu --log all --report $report" ] || exit 9
echo 'note: a line that is no error'
echo '  -1.5000 edge-1 time=1 level=info event=state error="goroutine 7 [running]: panic: no" message=x'
played() { printf '{\n  "breaks": %s,\n  "x": 1\n}\n' "$1" >"$report"; }
case $(basename "$3" .toml) in
  sound) played '{}' ;;
  other-site) echo 'bench: evacuate: contract places is not open'; exit 1 ;;
  other-class) echo 'bench: poison: no class c'; exit 1 ;;
  no-build) echo 'the build failed'; exit 1 ;;
  rule) played '{ "LOST": 12 }'; echo 'rules broken: LOST 12' ;;
  untold) played '{ "TWICE": 1 }' ;;
  panic) played '{}'; echo '  8.2584 edge-1 time=1 level=error event=panic_recovered code=900 scope="planner term" stack="goroutine 25"' ;;
  handler) played '{}'; echo '  8.2584 edge-1 time=1 event=library_message error="http: panic serving 10.0.0.1:1"' ;;
  crash) played '{}'; echo '  8.2584 edge-1 panic: runtime error: index out of range' ;;
  fatal) played '{}'; echo '  8.2584 edge-1 fatal error: concurrent map writes' ;;
  code) played '{}'; exit 3 ;;
esac
`

// Guards against a day that passes although a rule is broken, it was not played, or a process has
// contained a panic or ended by one, and against sound days and days of other sites that fail.
func TestDaysFailOnBrokenRulesAndPanics(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	write := func(name, text string, mode os.FileMode) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(text), mode)).To(Succeed())
		return path
	}
	bench, site := write("bench", benchProgram, 0o700), write("a-site.toml", "", 0o600)
	play := func(day string) (string, error) {
		cmd := exec.Command("./days.sh", bench, site, "--", write(day+".toml", "", 0o600))
		cmd.Env = append(os.Environ(), "SEEDS=7", "TMPDIR="+dir)
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	for _, c := range []struct{ day, want string }{
		{"sound", "a-site sound seed=7: ok\n"},
		{"other-site", "a-site other-site seed=7: left out, it does not fit the site: bench: evacuate: contract places is not open\n"},
		{"other-class", "a-site other-class seed=7: left out, it does not fit the site: bench: poison: no class c\n"},
	} {
		out, err := play(c.day)
		g.Expect(err).NotTo(HaveOccurred(), out)
		g.Expect(out).To(Equal(c.want))
	}
	for _, c := range []struct{ day, want string }{
		{"no-build", "not played: the build failed;"},
		{"rule", "rules broken: LOST 12;"},
		{"untold", "the report lists broken rules;"},
		{"panic", `1 contained panics, scopes: "planner term";`},
		{"handler", "1 contained panics, scopes: ;"},
		{"crash", "a process has crashed:   8.2584 edge-1 panic: runtime error: index out of range;"},
		{"fatal", "a process has crashed:   8.2584 edge-1 fatal error: concurrent map writes;"},
		{"code", "exit code 3;"},
	} {
		out, err := play(c.day)
		g.Expect(err).To(HaveOccurred(), c.day)
		g.Expect(out).To(HavePrefix("a-site " + c.day + " seed=7: FAILED; " + c.want))
	}
}
