package main

import (
	"fmt"
	"time"
)

// agentSection measures an idle agent: its backend server is announced, but there
// are no requests and no tasks. The baseline is the entry of the same region.
func agentSection(o *options, r *report) error {
	reg, _, err := startWorkerRegion(o.BinDir, deploymentSlots)
	if err != nil {
		return err
	}
	defer reg.close()
	entryURL := "http://" + reg.entries[0].httpAddr + "/v1/services/" + benchService + "/request/x"
	if err := waitFor("service", respondsOK(entryURL, benchToken)); err != nil {
		return fmt.Errorf("%w: %s", err, reg.logTail("agent"))
	}
	time.Sleep(settleTime)
	r.title("Agent without requests and tasks")
	r.row("process", "resident MB", "core share")
	for _, p := range []struct {
		name string
		proc *process
	}{{"agent", reg.agent}, {"entry (baseline)", reg.entries[0].process}} {
		before, err := p.proc.readUsage()
		if err != nil {
			return err
		}
		time.Sleep(o.MeasureTime)
		after, err := p.proc.readUsage()
		if err != nil {
			return err
		}
		r.row(p.name, float64(after.residentBytes)/(1<<20), fmt.Sprintf("%.2f%%", 100*(after.cpuTime-before.cpuTime).Seconds()/o.MeasureTime.Seconds()))
	}
	return nil
}
