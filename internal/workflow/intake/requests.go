package intake

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
)

// EvacuationFormat describes how operators' requests to evacuate failure domains are stored. A
// request holds while its key exists.
type EvacuationFormat struct {
	// Key returns the key of the request for a failure domain; empty if no request can name it.
	Key func(failureDomain string) string
	// Decode returns the failure domain that a request names, and false if the key is not that of a
	// request to evacuate. It returns an error if the request cannot be read.
	Decode func(key string, value []byte) (failureDomain string, ok bool, err error)
}

// trackedEvacuation is the latest known state of the request for one failure domain. A withdrawn
// request is kept with its revision, so that a late event of an earlier revision does not revive it.
type trackedEvacuation struct {
	workflow.Evacuation
	withdrawn bool
}

// OnEvacuations adds a function that is called with all evacuations in force, sorted by failure
// domain, whenever they change. Without such a function the requests are unsupported. It must be
// called before Subscribe.
func (in *Intake) OnEvacuations(f func([]workflow.Evacuation)) {
	in.onEvacuations = append(in.onEvacuations, f)
}

// LearnRequests applies records of operators' requests that this process has read itself.
func (in *Intake) LearnRequests(records []store.Record) {
	events := make([]store.Event, 0, len(records))
	for _, r := range records {
		events = append(events, store.Event{Record: r})
	}
	in.configMirror.Apply(events)
}

// applyRequest applies a change of an operator's request.
func (in *Intake) applyRequest(e store.Event) {
	if len(in.onEvacuations) > 0 {
		domain, ok, err := in.format.Evacuation.Decode(e.Key, e.Value)
		if ok {
			if err != nil && !e.Deleted {
				kernel.Metrics.Count("snipegw_operator_requests_total", "code", result.BadRequest.String())
				log.WithFields(log.Fields{"event": "evacuation_unreadable", "key": e.Key, "revision": e.Revision, "code": int(result.BadRequest), "error": err.Error()}).Error("request to evacuate cannot be read: its key is in force if it names a failure domain")
			}
			if domain != "" {
				in.applyEvacuation(domain, e)
			}
			return
		}
	}
	if e.Deleted {
		return
	}
	kernel.Metrics.Count("snipegw_operator_requests_total", "code", result.Unsupported.String())
	log.WithFields(log.Fields{"event": "operator_request_unsupported", "key": e.Key, "revision": e.Revision, "code": int(result.Unsupported)}).Error("operator request is not supported: it is ignored and no status is written")
}

// applyEvacuation applies a change of the request for a failure domain, unless a later one is known.
func (in *Intake) applyEvacuation(domain string, e store.Event) {
	old, known := in.evacuations[domain]
	if known && e.Revision <= old.Revision || !known && e.Deleted {
		return
	}
	now := time.Now()
	fields := log.Fields{"failure_domain": domain, "key": e.Key, "revision": e.Revision}
	t := trackedEvacuation{Evacuation: workflow.Evacuation{FailureDomain: domain, Key: e.Key, Revision: e.Revision, SeenAt: now}, withdrawn: e.Deleted}
	switch {
	case !e.Deleted:
		log.WithFields(fields).WithFields(log.Fields{"event": "evacuation_requested", "age_ms": 0}).Info("an operator requests that nothing starts in a failure domain")
	case !old.withdrawn:
		log.WithFields(fields).WithFields(log.Fields{"event": "evacuation_withdrawn", "age_ms": now.Sub(old.SeenAt).Milliseconds()}).Info("the failure domain may be used again")
	}
	if in.evacuations == nil {
		in.evacuations = make(map[string]trackedEvacuation)
	}
	in.evacuations[domain] = t
	inForce := []workflow.Evacuation{}
	for _, t := range in.evacuations {
		if !t.withdrawn {
			inForce = append(inForce, t.Evacuation)
		}
	}
	slices.SortFunc(inForce, func(a, b workflow.Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	for _, f := range in.onEvacuations {
		f(inForce)
	}
}
