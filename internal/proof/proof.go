package proof

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"time"
)

// Env is what a proof runs with.
type Env struct {
	Bin  string
	Dir  string
	Seed uint64
	Rand *rand.Rand
	// Control breaks the property on purpose, so that the proof has to fail.
	Control bool
	// Trace receives notes on the steps of the proof.
	Trace io.Writer
}

func (e *Env) tracef(format string, args ...any) {
	fmt.Fprintf(e.Trace, time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
}

// Verdict is the outcome of one proof.
type Verdict struct {
	Pass     bool
	Measured string
}

// Proof is one fault injection test of a required property.
type Proof struct {
	Name     string
	Property string
	Bound    string
	// Timeout bounds the run.
	Timeout time.Duration
	Run     func(ctx context.Context, e *Env) (Verdict, error)
}

// Proofs returns all proofs in the order in which they run.
func Proofs() []Proof {
	return []Proof{
		requestProof(), digestProof(), gangProof(), leaveProof(), rollingProof(), patchProof(), guaranteeProof(),
		workflowProof(),
	}
}

// RunAll runs the proofs whose names contain only. It reports whether there is
// one and every one passed, or with Control failed.
func RunAll(ctx context.Context, e Env, nameFilter string, out io.Writer) bool {
	ok, ran := true, 0
	for _, p := range Proofs() {
		if strings.Contains(p.Name, nameFilter) && ctx.Err() == nil {
			ok = RunOne(ctx, p, e, out) != e.Control && ok
			ran++
		}
	}
	if ran == 0 {
		fmt.Fprintf(out, "no proof is named like %q\n", nameFilter)
	}
	return ok && ran > 0 && ctx.Err() == nil
}

// RunOne runs a proof and writes its line to out. It reports whether it passed.
func RunOne(ctx context.Context, p Proof, e Env, out io.Writer) bool {
	e.Rand = rand.New(rand.NewPCG(e.Seed, 7))
	e.Dir = filepath.Join(e.Dir, p.Name)
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	began := time.Now()
	v, err := p.Run(ctx, &e)
	measured := v.Measured
	if err != nil {
		v.Pass = false
		measured = fmt.Sprintf("%s error: %v", measured, err)
	}
	outcome := "fail"
	if v.Pass {
		outcome = "pass"
	}
	fmt.Fprintf(out, "%s %s seed=%d bound=%q measured=%q took=%s %s\n",
		p.Property, p.Name, e.Seed, p.Bound, measured, time.Since(began).Round(100*time.Millisecond), outcome)
	return v.Pass
}
