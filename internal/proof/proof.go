package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"time"
)

// Env is the environment of a proof. Bin is the directory of the programs, and settings and logs
// are written to Dir.
type Env struct {
	Bin  string
	Dir  string
	Seed uint64
	Rand *rand.Rand
	// Control breaks the property on purpose, so that the proof must fail.
	Control bool
	// Trace receives messages about the steps of the proof.
	Trace io.Writer
}

// tracef writes a line with the time of day to Trace.
func (e *Env) tracef(format string, args ...any) {
	fmt.Fprintf(e.Trace, time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
}

// Verdict is the result of one proof.
type Verdict struct {
	Pass     bool
	Measured string
}

// Proof is a fault injection test of a required property.
type Proof struct {
	Name     string
	Property string // required property that the proof checks
	Bound    string // condition that must hold, as text
	// Timeout bounds the duration of the run.
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

// RunAll runs the proofs whose names contain nameFilter. It reports whether at least one ran and
// all of them passed, or failed if Control is set.
func RunAll(ctx context.Context, e Env, nameFilter string, out io.Writer) bool {
	ok, ran := true, 0
	for _, p := range Proofs() {
		if strings.Contains(p.Name, nameFilter) && ctx.Err() == nil {
			ok = RunOne(ctx, p, e, out) && ok
			ran++
		}
	}
	if ran == 0 {
		fmt.Fprintf(out, "no proof has a name that contains %q\n", nameFilter)
	}
	return ok && ran > 0 && ctx.Err() == nil
}

// RunOne runs a proof and writes its result as one line to out. It reports whether the result is the
// expected one: a pass, or with Control a failure. A panic in a process that the proof has started
// is unexpected in both cases.
func RunOne(ctx context.Context, p Proof, e Env, out io.Writer) bool {
	e.Rand = rand.New(rand.NewPCG(e.Seed, 7))
	e.Dir = filepath.Join(e.Dir, p.Name)
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	began := time.Now()
	v, err := p.Run(ctx, &e)
	panics := checkPanics(e.Dir)
	err = errors.Join(err, panics)
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
	return v.Pass != e.Control && panics == nil
}
