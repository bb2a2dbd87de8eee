// Command snipegw-proof runs the programs of snipegw as separate processes on
// loopback and checks the required properties under faults. It is for
// development only.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"snipegw/internal/proof"
)

// options are the command-line options.
type options struct {
	BinDir      string `long:"bin" default:"bin" description:"directory of the built programs"`
	Seed        uint64 `long:"seed" description:"seed of random choices; 0 derives one from the clock"`
	Only        string `long:"only" description:"run only proofs whose name contains this text"`
	Control     bool   `long:"control" description:"violate each property on purpose; every proof has to fail"`
	Keep        bool   `long:"keep" description:"keep the settings and logs of the processes after a pass"`
	Verbose     bool   `long:"verbose" description:"print the steps of the proofs"`
	ExamplesDir string `long:"examples" description:"directory with the settings files for --demo; without it, settings on free ports are generated"`
	Demo        bool   `long:"demo" description:"run the demonstration of make run instead of the proofs"`
	SoakSeconds int    `long:"soak" value-name:"SECONDS" description:"inject random faults while workflows run, for this time, instead of the proofs"`
	Stay        bool   `long:"stay" description:"start the processes of the demonstration and keep them running until interrupted"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano() % 1_000_000)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, o))
}

func run(ctx context.Context, o options) int {
	dir, err := os.MkdirTemp("", "snipegw-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	env := proof.Env{Bin: o.BinDir, Dir: dir, Seed: o.Seed, Control: o.Control, Trace: stepWriter{o.Verbose}}
	var ok bool
	switch {
	case o.Stay:
		ok = proof.RunDemoCluster(ctx, env, os.Stdout)
	case o.SoakSeconds > 0:
		err := proof.Soak(ctx, env, time.Duration(o.SoakSeconds)*time.Second)
		ok = err == nil
		fmt.Printf("soak seed=%d seconds=%d %s\n", o.Seed, o.SoakSeconds, map[bool]string{true: "pass", false: "fail"}[ok])
		if err != nil {
			fmt.Println(err)
		}
	case o.Demo:
		ok = proof.Demo(ctx, env, o.ExamplesDir, os.Stdout)
	default:
		ok = proof.RunAll(ctx, env, o.Only, os.Stdout)
	}
	if ok && !o.Keep {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "settings and logs of the processes are in", dir)
	}
	if !ok {
		return 1
	}
	return 0
}

// stepWriter prints the steps of the proofs to standard error if it is enabled.
type stepWriter struct{ enabled bool }

func (w stepWriter) Write(p []byte) (int, error) {
	if w.enabled {
		return os.Stderr.Write(p)
	}
	return len(p), nil
}
