package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/intake"
	"snipegw/internal/workflow/mirror"
	"snipegw/internal/workflow/planner"
	"snipegw/internal/workflow/relay"
	"snipegw/internal/workflow/runner"
)

// Process holds the identity, the addresses and the security settings of an entry
// or an agent.
type Process struct {
	ID            string
	FailureDomain string
	// Listen is the address on which the process listens for other processes.
	// Address is the one that they call.
	Listen  string
	Address string
	// DebugAddress is the address of the state dump and the metrics.
	DebugAddress string
	Security     transport.Security
	// Clients limits the clients of the HTTP servers.
	Clients kernel.ClientSettings
	// Reload reads the settings of an entry again; nil disables reloading.
	Reload func() (EntrySettings, error)
}

// AssembleEntry returns the components of an entry in the order in which they
// must start.
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
	recordMirror, configMirror := mirror.New(table, workflow.Prefix), mirror.New(table, format.Prefix)
	in := intake.New(table, recordMirror, configMirror, format)
	evacuations, err := evacuationOptions(s, format, in)
	if err != nil {
		return nil, err
	}
	plannerHost := planner.New(planner.Options{
		Evacuations: evacuations,
		Entry:       p.ID, Address: p.Address, Table: table, Records: recordMirror, Pool: network.Pool,
		Engine: s.engineSettings(), LeaseDuration: max(planner.DefaultLeaseDuration, time.Duration(s.MinStoreLeaseMS)*time.Millisecond), EndedJobRetention: s.endedJobRetention(),
		ClosingRetention: max(s.endedJobRetention(), minClosingRetention),
		PublishBacklog:   s.Admission != nil,
	})
	plannerHost.Register(&network.Mux)
	entries := &knownEntries{process: p, table: table, recordMirror: recordMirror}
	entries.setSeeds(s)
	recordMirror.Listen(func([]store.Event) { entries.updatePeers() })
	registration := &registration{table: table, key: workflow.EntryPrefix + p.ID,
		record: workflow.ProcessRecord{Address: p.Address, Zone: p.FailureDomain, Debug: p.DebugAddress}}
	in.OnConfig(plannerHost.SetConfig)
	if evacuations != nil {
		in.OnEvacuations(plannerHost.SetEvacuations)
	}
	if s.Admission != nil {
		in.SetAdmission(s.Admission)
	}
	in.Subscribe()
	clients := kernel.NewClientLimiter(p.Clients)
	dumper := kernel.NewDumper()
	dumper.Add("clients", func() any { return clients.State() })
	dumper.Add("planner", plannerHost.State)
	dumper.Add("peers", func() any { return table.Peers() })
	dumper.Add("admission", in.AdmissionState)
	dumper.Add("config", func() any { return in.Config() })
	debug := http.NewServeMux()
	dumper.Handle(debug, in.Ready)
	debug.Handle("GET /metrics", &kernel.Metrics)
	return []kernel.Component{
		network,
		entries,
		&kernel.Loops{Label: "mirrors", Funcs: []func(context.Context){configMirror.Run, recordMirror.Run, registration.run}},
		&kernel.HTTPServer{Label: "debug", Address: p.DebugAddress, Handler: debug, Clients: clients},
		intake.NewServer(in, front, s.FrontAddress, s.ReadyAddress, clients),
		plannerHost,
	}, nil
}

// evacuationOptions returns what the planner needs to carry out requests to evacuate failure
// domains; nil if the settings switch them off. It fails if the configuration format has no such
// requests.
func evacuationOptions(s EntrySettings, format intake.ConfigFormat, in *intake.Intake) (*planner.EvacuationOptions, error) {
	if s.EvacuateMS == 0 {
		return nil, nil
	}
	if format.Evacuation.Key == nil || format.Evacuation.Decode == nil {
		return nil, fmt.Errorf("evacuate_ms is set, but configuration format %s has no requests to evacuate", s.ConfigFormat)
	}
	if storeTimeout := time.Duration(s.Store.TimeoutMS) * time.Millisecond; s.maxOrderAge() < storeTimeout {
		log.WithFields(log.Fields{"event": "evacuation_bound_short", "limit_ms": s.maxOrderAge().Milliseconds(), "store_timeout_ms": s.Store.TimeoutMS}).Warn("runs whose record takes nearly as long as a call of the store may are retracted")
	}
	return &planner.EvacuationOptions{Key: format.Evacuation.Key, Learn: in.LearnRequests, MaxOrderAge: s.maxOrderAge()}, nil
}

// AssembleAgent returns the components of an agent in the order in which they
// must start.
func AssembleAgent(p Process, s AgentSettings) ([]kernel.Component, error) {
	network, err := newNetwork(p)
	if err != nil {
		return nil, err
	}
	table, err := store.OpenTable(s.Store)
	if err != nil {
		return nil, err
	}
	newWorkerAPI, err := runner.Plugins.Get(s.Worker.Type)
	if err != nil {
		return nil, err
	}
	api, err := newWorkerAPI(s.Worker)
	if err != nil {
		return nil, err
	}
	announcements, err := runner.Announcements.Get(s.Announcements)
	if err != nil {
		return nil, err
	}
	r := runner.New(api)
	r.Register(&network.Mux)
	r.SetServing(false)
	presence := &agentPresence{runner: r, registration: registration{
		table: table, key: workflow.AgentPrefix + s.Node, record: workflow.ProcessRecord{Address: p.Address, Zone: p.FailureDomain, Process: rand.Uint64()},
	}}
	return []kernel.Component{
		network,
		&kernel.HTTPServer{Label: "announcements", Address: s.ControlAddress, Handler: announcements(r), Clients: kernel.NewClientLimiter(p.Clients)},
		&kernel.Loops{Label: "runner", Funcs: []func(context.Context){r.Run}},
		presence,
	}, nil
}

func newNetwork(p Process) (*transport.Network, error) {
	creds, err := transport.NewCredentials(p.Security)
	if err != nil {
		return nil, err
	}
	if p.Security.Mode == transport.ModeDevelopment {
		log.WithField("event", "development_mode").Warn("connections between processes use a publicly known key")
	}
	return transport.NewNetwork(p.Listen, creds)
}
