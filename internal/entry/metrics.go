package entry

import (
	"expvar"

	"snipegw/internal/entry/httpapi"
	"snipegw/internal/entry/router"
	"snipegw/internal/members"
)

// publishMetrics exposes the counters of the entry at /debug/vars. It skips names that
// are already published, since expvar.Publish panics on them.
func publishMetrics(deps dependencies, m *members.Service, r *router.Router, b *router.RetryBudget, api *httpapi.Server) {
	vars := map[string]func() any{
		"entry_routing":      func() any { return r.Counts() },
		"entry_teams":        func() any { return api.Teams() },
		"entry_retries_left": func() any { return b.RetriesLeft() },
		"entry_workers":      func() any { return len(m.View().Workers) },
		"store_calls":        func() any { return deps.store.Calls() },
		"transport":          func() any { return deps.network.Stats() },
	}
	for name, f := range vars {
		if expvar.Get(name) == nil {
			expvar.Publish(name, expvar.Func(f))
		}
	}
}
