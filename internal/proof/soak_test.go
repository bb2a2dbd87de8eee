package proof

import (
	"context"
	"io"
	"os/exec"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// soakSeeds holds seeds that have failed, each with its cause, and one that has not.
var soakSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "the check counted an end that was never acknowledged, from a worker whose lease had expired; and runs of a silent agent were stopped for lack of progress"},
	{2, ""},
	{519, "the check reported a failed stop where two stops of one process overlapped: the second signal ends the process at once"},
	{530, "same as seed 519"},
	{112, "the check reported a failed stop where another fault cut a stop short with SIGKILL"},
}

const soakTestDuration = 5 * time.Second

// Guards against violations that only random, overlapping faults of the real programs cause, such
// as a lost job or an item that runs twice. For longer runs use
// snipegw-proof --soak SECONDS --seed N.
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
