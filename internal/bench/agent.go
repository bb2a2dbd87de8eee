package main

import (
	"fmt"
	"time"
)

// agentSection measures an agent with an announced backend server and without
// requests or tasks. The baseline is the entry of the same run.
func agentSection(o *options, r *report) error {
	reg, _, err := startWorker(o.Bin, workloadSlots)
	if err != nil {
		return err
	}
	defer reg.close()
	through := "http://" + reg.entries[0].http + "/v1/services/" + benchService + "/request/x"
	if err := waitFor("service", answers(through, benchToken)); err != nil {
		return fmt.Errorf("%w: %s", err, reg.log("agent"))
	}
	time.Sleep(settleTime)
	r.title("Agent without requests and tasks")
	r.row("process", "resident MB", "core share")
	for _, p := range []struct {
		name string
		proc *process
	}{{"agent", reg.agent}, {"entry (baseline)", reg.entries[0].process}} {
		before, err := p.proc.usage()
		if err != nil {
			return err
		}
		time.Sleep(o.Measure)
		after, err := p.proc.usage()
		if err != nil {
			return err
		}
		r.row(p.name, float64(after.resident)/(1<<20), fmt.Sprintf("%.2f%%", 100*(after.cpu-before.cpu).Seconds()/o.Measure.Seconds()))
	}
	return nil
}
