package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/intake"
	"snipegw/internal/workflow/mirror"
	"snipegw/internal/workflow/planner"
	"snipegw/internal/workflow/relay"
	"snipegw/internal/workflow/runner"
)

// Process is what an entry or an agent brings along.
type Process struct {
	ID            string
	FailureDomain string
	// Listen is the address on which other processes are served, Address the one
	// under which they reach it.
	Listen  string
	Address string
	// DebugAddress serves the dump and the metrics.
	DebugAddress string
	Security     transport.Security
	// Reload reads the settings of an entry again; nil: they are not read again.
	Reload func() (EntrySettings, error)
}

// AssembleEntry makes the components of an entry in the order in which they
// start.
func AssembleEntry(p Process, s EntrySettings) ([]kernel.Component, error) {
	network, err := newNetwork(p)
	if err != nil {
		return nil, err
	}
	direct, err := store.OpenTable(s.Store)
	if err != nil {
		return nil, err
	}
	table := relay.New(direct, network.Pool, p.Address)
	table.Register(&network.Mux)
	format, err := intake.ConfigFormats.Get(s.ConfigFormat)
	if err != nil {
		return nil, err
	}
	front, err := intake.Fronts.Get(s.Front)
	if err != nil {
		return nil, err
	}
	records, conf := mirror.New(table, workflow.Prefix), mirror.New(table, format.Prefix)
	in := intake.New(table, records, conf, format)
	host := planner.New(planner.Options{
		Entry: p.ID, Address: p.Address, Table: table, Records: records, Pool: network.Pool,
		Engine: s.engine(), Term: max(planner.DefaultTerm, time.Duration(s.MinStoreLeaseMS)*time.Millisecond), KeepEnded: time.Duration(s.KeepEndedMS) * time.Millisecond,
	})
	known := &knownEntries{process: p, table: table, records: records}
	known.set(s)
	records.Listen(func([]store.Event) { known.update() })
	registration := &registration{table: table, key: workflow.EntryPrefix + p.ID,
		record: workflow.ProcessRecord{Address: p.Address, Zone: p.FailureDomain, Debug: p.DebugAddress}}
	in.OnConfig(host.SetConfig)
	in.Subscribe()
	dumper := kernel.NewDumper()
	dumper.Add("planner", host.State)
	dumper.Add("peers", func() any { return table.Peers() })
	dumper.Add("config", func() any { return in.Config() })
	debug := http.NewServeMux()
	dumper.Handle(debug, in.Ready)
	debug.Handle("GET /metrics", &kernel.Metrics)
	return []kernel.Component{
		network,
		known,
		&kernel.Loops{Label: "mirrors", Runs: []func(context.Context){conf.Run, records.Run, registration.run}},
		&kernel.HTTPServer{Label: "debug", Address: p.DebugAddress, Handler: debug},
		intake.NewServer(in, front, s.FrontAddress, s.ReadyAddress),
		host,
	}, nil
}

// AssembleAgent makes the components of an agent in the order in which they
// start.
func AssembleAgent(p Process, s AgentSettings) ([]kernel.Component, error) {
	network, err := newNetwork(p)
	if err != nil {
		return nil, err
	}
	table, err := store.OpenTable(s.Store)
	if err != nil {
		return nil, err
	}
	open, err := runner.Plugins.Get(s.Worker.Type)
	if err != nil {
		return nil, err
	}
	api, err := open(s.Worker)
	if err != nil {
		return nil, err
	}
	announcements, err := runner.Announcements.Get(s.Announcements)
	if err != nil {
		return nil, err
	}
	r := runner.New(api)
	r.Register(&network.Mux)
	registration := &registration{table: table, key: workflow.AgentPrefix + s.Node, record: workflow.ProcessRecord{Address: p.Address, Zone: p.FailureDomain}}
	return []kernel.Component{
		network,
		&kernel.HTTPServer{Label: "announcements", Address: s.ControlAddress, Handler: announcements(r)},
		&kernel.Loops{Label: "runner", Runs: []func(context.Context){r.Run, registration.run}},
	}, nil
}

func newNetwork(p Process) (*transport.Network, error) {
	creds, err := transport.NewCredentials(p.Security)
	if err != nil {
		return nil, err
	}
	if p.Security.Mode == transport.ModeDevelopment {
		log.WithField("event", "development_mode").Warn("connections between processes use a key that is no secret")
	}
	return transport.NewNetwork(p.Listen, creds)
}

// registration makes a process known to the others.
type registration struct {
	table  store.Table
	key    string
	record workflow.ProcessRecord
}

const registrationPause = 300 * time.Millisecond

// run writes the address once, unless it stands there already.
func (g *registration) run(ctx context.Context) {
	value := workflow.Encode(g.record)
	for ctx.Err() == nil {
		err := g.write(ctx, value)
		if err == nil {
			log.WithFields(log.Fields{"event": "registered", "key": g.key, "address": g.record.Address}).Info("the process is known in the store")
			return
		}
		log.WithFields(log.Fields{"event": "not_registered", "key": g.key, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("trying again")
		kernel.Sleep(ctx, registrationPause)
	}
}

func (g *registration) write(ctx context.Context, value []byte) error {
	old, found, err := g.table.Lookup(ctx, g.key)
	if err != nil || found && string(old.Value) == string(value) {
		return err
	}
	out, err := g.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: g.key, Revision: old.Revision}},
		Puts:       []store.Put{{Key: g.key, Value: value}},
	})
	if err == nil && !out.Committed {
		return fmt.Errorf("the record of %s changed meanwhile", g.key)
	}
	return err
}
