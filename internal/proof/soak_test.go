package proof

import (
	"context"
	"io"
	"os/exec"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Seeds that failed once, each with its cause, and one more.
var soakSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "the check took an end that was never acknowledged, on a worker whose lease had lapsed, for one that counts; and runs of a silent agent were stopped for lack of progress"},
	{2, ""},
	{519, "the check took two stops of one process that overlapped, of which the second signal ends it at once, for a failed stop"},
	{530, "as seed 519"},
	{112, "the check took a stop that another fault cut short by SIGKILL for a failed stop"},
}

const soakTestDuration = 5 * time.Second

// Random faults against the real programs must not lead to what callers or
// workers may not see. Longer runs: snipegw-proof --soak SECONDS --seed N.
func TestShortSoak(t *testing.T) {
	g := NewWithT(t)
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "snipegw/cmd/snipegw-entry", "snipegw/cmd/snipegw-agent").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	for _, s := range soakSeeds {
		t.Logf("seed %d", s.seed)
		g.Expect(Soak(context.Background(), Env{Bin: bin, Dir: t.TempDir(), Seed: s.seed, Trace: io.Discard}, soakTestDuration)).To(Succeed())
	}
}
