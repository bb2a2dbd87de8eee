package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// worldEvacuations are the operators' requests of a world. Each worker names one of
// evacuationDomains.
type worldEvacuations struct {
	rng         *rand.Rand           // apart, so that a seed keeps its other faults
	requestedAt map[string]time.Time // requests in force, by failure domain
	hide        bool                 // neither the planner nor its transactions observe requests, to test the check
}

var evacuationDomains = []string{"d0", "d1"}

// domainOf returns the failure domain that a worker names.
func (w *world) domainOf(m *modelWorker) string {
	return evacuationDomains[slices.Index(w.workers, m)%len(evacuationDomains)]
}

// changeEvacuations makes or withdraws a request at random. Half of the time the planner learns of
// it by its next transaction only.
func (w *world) changeEvacuations() {
	e := &w.evacuations
	if e.rng.Float64() > 0.01 {
		return
	}
	domain := evacuationDomains[e.rng.IntN(len(evacuationDomains))]
	if _, ok := e.requestedAt[domain]; ok {
		delete(e.requestedAt, domain)
	} else {
		e.requestedAt[domain] = w.now
	}
	if e.rng.IntN(2) == 0 {
		w.showEvacuations()
	}
}

// showEvacuations passes the requests in force to the planner.
func (w *world) showEvacuations() {
	if w.evacuations.hide {
		return
	}
	var inForce []workflow.Evacuation
	for _, domain := range sortedKeys(w.evacuations.requestedAt) {
		inForce = append(inForce, workflow.Evacuation{FailureDomain: domain})
	}
	w.planner.SetEvacuations(inForce)
}

// checkedStarts returns a change without the starts in evacuated failure domains, as the
// conditions of its transaction demand.
func (w *world) checkedStarts(c Change) Change {
	evacuated := slices.DeleteFunc(slices.Clone(c.StartDomains), func(domain string) bool {
		_, ok := w.evacuations.requestedAt[domain]
		return !ok
	})
	if len(evacuated) == 0 || w.evacuations.hide {
		return c
	}
	w.showEvacuations()
	w.planner.RetractStartsIn(c.ID, evacuated, w.now)
	if without, ok := w.planner.TakeChange(c.ID); ok {
		return without
	}
	return c
}

// checkEvacuation records a violation if a run starts on m too late after a request.
func (w *world) checkEvacuation(m *modelWorker, ref workflow.ItemRef) {
	if at, ok := w.evacuations.requestedAt[w.domainOf(m)]; ok && w.now.Sub(at) > StartExpiry() {
		w.recordViolation("EVAC: %s starts on %s %v after the request to evacuate", ref, m.node, w.now.Sub(at))
	}
}
