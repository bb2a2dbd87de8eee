package planner

import (
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
)

// EvacuationOptions connect the planner with operators' requests to evacuate failure domains. All
// fields are set.
type EvacuationOptions struct {
	// Key returns the key whose existence in the store requests the evacuation of a failure
	// domain; empty if no request can name it.
	Key func(failureDomain string) string
	// Learn receives the records of such keys that a transaction has found.
	Learn func([]store.Record)
	// MaxOrderAge is the longest time between the transaction that records a run and its start
	// orders. With engine.StartExpiry it makes up the time within which starts must stop.
	MaxOrderAge time.Duration
}

// noEvacuations stands for EvacuationOptions where such requests are not supported, so that no code
// of a term depends on whether they are.
func noEvacuations() *EvacuationOptions {
	return &EvacuationOptions{
		Key:         func(string) string { return "" },
		Learn:       func([]store.Record) {},
		MaxOrderAge: math.MaxInt64,
	}
}

const (
	// evacuationReportInterval is the interval at which the metrics of evacuations are updated.
	evacuationReportInterval = time.Second
	// maxStartDomains is the largest number of failure domains in which the runs of one change
	// start items: a transaction has a condition for each, one for the planner's key and the entries
	// of the change.
	maxStartDomains = store.MaxTxnEntries - 1 - entriesPerChange
)

// SetEvacuations sets the evacuations that the engine observes from the next pass on.
func (h *Host) SetEvacuations(inForce []workflow.Evacuation) {
	h.mu.Lock()
	h.evacuations, h.evacuationsVersion = inForce, h.evacuationsVersion+1
	h.mu.Unlock()
	h.wake()
}

// guardKeys returns the sorted keys that must not exist when the changes are stored: those of the
// requests to evacuate a failure domain in which the changes start items.
func (t *term) guardKeys(changes []engine.Change) []string {
	var keys []string
	for _, c := range changes {
		for _, domain := range t.guardedDomains(c) {
			if key := t.host.options.Evacuations.Key(domain); !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

// guardedDomains returns the failure domains in which c starts items and that a request to evacuate
// can name.
func (t *term) guardedDomains(c engine.Change) []string {
	return slices.DeleteFunc(slices.Clone(c.StartDomains), func(domain string) bool { return t.host.options.Evacuations.Key(domain) == "" })
}

// chunkSize returns how many of the first changes fit into one transaction.
func (t *term) chunkSize(changes []engine.Change) int {
	n := min(len(changes), changesPerTxn)
	for n > 1 && 1+n*entriesPerChange+len(t.guardKeys(changes[:n])) > store.MaxTxnEntries {
		n--
	}
	return n
}

// limitStartDomains retracts the starts of a change in the failure domains beyond maxStartDomains,
// for which its transaction has no room. They are decided anew.
func (t *term) limitStartDomains(c engine.Change) engine.Change {
	domains := t.guardedDomains(c)
	if len(domains) <= maxStartDomains {
		return c
	}
	return t.retractStarts(c, domains[maxStartDomains:])
}

// retractStarts retracts the starts of a change in the failure domains, and returns the change
// without them.
func (t *term) retractStarts(c engine.Change, failureDomains []string) engine.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engine.RetractStartsIn(c.ID, failureDomains, time.Now())
	if without, ok := t.engine.TakeChange(c.ID); ok {
		return without
	}
	return c
}

// learnEvacuations passes the requests among the records that a transaction has found on, and
// returns the keys of those that the changes depend on.
func (t *term) learnEvacuations(changes []engine.Change, current map[string]store.Record) map[string]bool {
	found := make(map[string]bool)
	var records []store.Record
	for _, key := range t.guardKeys(changes) {
		if r, ok := current[key]; ok {
			found[key] = true
			records = append(records, r)
		}
	}
	if len(records) == 0 {
		return nil
	}
	t.host.options.Evacuations.Learn(records)
	t.host.mu.Lock()
	inForce := t.host.evacuations
	t.host.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engine.SetEvacuations(inForce)
	return found
}

// evacuatedDomains returns the failure domains in which c starts items and whose keys are in found.
func (t *term) evacuatedDomains(c engine.Change, found map[string]bool) []string {
	var domains []string
	for _, domain := range t.guardedDomains(c) {
		if found[t.host.options.Evacuations.Key(domain)] {
			domains = append(domains, domain)
		}
	}
	return domains
}

// noteStoredStarts notes that the store has shown at or after the given time that no failure domain
// in which the stored changes start items is evacuated.
func (t *term) noteStoredStarts(changes []engine.Change, at time.Time) {
	hasStarts := slices.ContainsFunc(changes, func(c engine.Change) bool { return c.HasNewRuns })
	if hasStarts && (t.startsStoredAt.IsZero() || at.Before(t.startsStoredAt)) {
		t.startsStoredAt = at
	}
}

// retractOldStarts retracts the stored runs of a pass if they were stored so long ago that their
// orders would take effect too late after an evacuation that this planner does not know of. t.mu
// is held.
func (t *term) retractOldStarts(now time.Time) {
	limit, at := t.host.options.Evacuations.MaxOrderAge, t.startsStoredAt
	t.startsStoredAt = time.Time{}
	if at.IsZero() || now.Sub(at) <= limit {
		return
	}
	log.WithFields(log.Fields{"event": "starts_outdated", "epoch": t.epoch, "age_ms": now.Sub(at).Milliseconds(), "limit_ms": limit.Milliseconds()}).Warn("runs were stored too long ago to be ordered, as a failure domain may have been evacuated since; they are decided anew")
	t.engine.RetractUnsentStarts("stored too long ago", now)
}

// reportEvacuations logs evacuations that come into force, and updates their metrics. The version
// is that of the evacuations that the engine has.
func (t *term) reportEvacuations(version uint64, now time.Time) {
	if now.Sub(t.evacuationsReportedAt) < evacuationReportInterval && version == t.evacuationsVersion {
		return
	}
	var states []engine.EvacuationState
	var settled bool
	t.locked(func() { states, settled = t.engine.Evacuations(now), t.engine.Settled(now) })
	t.evacuationsReportedAt, t.evacuationsVersion = now, version
	inForce := make(map[string]bool, len(states))
	for _, s := range states {
		inForce[s.FailureDomain] = true
		setEvacuationMetrics(s)
		if t.reportedEvacuations[s.FailureDomain] == s.Revision || s.Workers == 0 && !settled {
			continue
		}
		t.reportedEvacuations[s.FailureDomain] = s.Revision
		fields := log.Fields{"failure_domain": s.FailureDomain, "key": s.Key, "revision": s.Revision, "age_ms": s.AgeMS, "epoch": t.epoch}
		if s.Workers == 0 {
			kernel.Metrics.Count("snipegw_operator_requests_total", "code", result.NotFound.String())
			log.WithFields(fields).WithFields(log.Fields{"event": "evacuation_unknown_domain", "code": int(result.NotFound)}).Warn("no worker is known in the failure domain that an operator wants to be evacuated; the request holds for workers that come")
			continue
		}
		log.WithFields(fields).WithFields(log.Fields{"event": "evacuation_in_force", "workers": s.Workers, "items": s.Items}).Info("nothing starts in the failure domain any more")
	}
	for domain := range t.reportedEvacuations {
		if !inForce[domain] {
			delete(t.reportedEvacuations, domain)
			setEvacuationMetrics(engine.EvacuationState{FailureDomain: domain})
		}
	}
}

func setEvacuationMetrics(s engine.EvacuationState) {
	kernel.Metrics.Set(float64(s.Workers), "snipegw_evacuation_workers", "failure_domain", s.FailureDomain)
	kernel.Metrics.Set(float64(s.Items), "snipegw_evacuation_items_left", "failure_domain", s.FailureDomain)
	kernel.Metrics.Set(float64(s.AgeMS)/1000, "snipegw_evacuation_age_seconds", "failure_domain", s.FailureDomain)
}

// clearEvacuationMetrics resets the metrics when the term ends, since another planner reports them.
func (t *term) clearEvacuationMetrics() {
	for domain := range t.reportedEvacuations {
		setEvacuationMetrics(engine.EvacuationState{FailureDomain: domain})
	}
}
