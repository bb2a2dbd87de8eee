package agent

import (
	"expvar"
	"sync/atomic"
)

// publishedAgent is the agent whose metrics /debug/vars shows: the latest one
// started. expvar accepts a name only once, but tests run several agents in one
// process.
var publishedAgent atomic.Pointer[Agent]

func init() {
	expvar.Publish("snipegw_agent", expvar.Func(func() any {
		if a := publishedAgent.Load(); a != nil {
			return a.metrics()
		}
		return nil
	}))
}

func (a *Agent) metrics() map[string]any {
	return map[string]any{
		"requests_active":  a.gate.ActiveRequests(),
		"free_slots":       a.gate.FreeSlots(),
		"services":         a.gate.Dump(),
		"tickets":          a.tickets.Stats(),
		"gang_events":      len(a.gangs.Events()),
		"heartbeats_sent":  a.heartbeats.Stats().Sent,
		"connections_open": a.pool.Connections(),
		"calls_active":     a.server.Active(),
		"config_version":   a.config.version(),
		"epoch":            a.arbiter.Epoch(),
	}
}

// registerDumps registers the parts of the state dump and publishes the metrics. No
// part contains tokens or keys.
func (a *Agent) registerDumps() {
	a.dumper.Add("agent", func() any { return a.State() })
	a.dumper.Add("services", func() any { return a.gate.Dump() })
	a.dumper.Add("tickets", func() any { return a.tickets.Stats() })
	a.dumper.Add("reservations", func() any { return a.arbiter.Holds() })
	a.dumper.Add("gangs", func() any { return a.gangs.Dump() })
	a.dumper.Add("gang_events", func() any { return a.gangs.Events() })
	a.dumper.Add("heartbeat", func() any { return a.heartbeats.Stats() })
	publishedAgent.Store(a)
}
