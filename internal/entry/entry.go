package entry

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"time"

	"github.com/apex/log"

	"snipegw/internal/config"
	"snipegw/internal/entry/forward"
	"snipegw/internal/entry/httpapi"
	"snipegw/internal/entry/router"
	"snipegw/internal/jobs"
	"snipegw/internal/kernel"
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

const (
	// storeCallsPerSecond and storeBurst bound the calls of one entry to the
	// platform's store, which serves several hundred writes a second in all. The
	// burst covers a change of planner, which reads and writes every job page
	// once; a burst of 50 delayed it by 1.8 s, and urgent jobs started later than
	// in 4.7 s. The rate lets a planner write every page twice a second and leaves
	// room for two regions and the operators' patches.
	storeCallsPerSecond = 150
	storeBurst          = 4 * jobs.Pages
)

// PackCheck returns one sentence for each team and shape whose guarantees do not
// pack into the workers.
type PackCheck func(teams []model.Team, workers []model.Worker) []string

// Assemble makes the components of the program in the order in which they
// start.
func Assemble(s *Settings, check PackCheck) ([]kernel.Component, error) {
	creds, err := transport.NewCredentials(s.Security)
	if err != nil {
		return nil, err
	}
	if s.Security.Mode == transport.ModeDevelopment {
		log.WithField("event", "development_mode").Warn("connections between processes use a key that is no secret; use development mode on loopback only")
	}
	backend, err := store.Open(s.Store)
	if err != nil {
		return nil, err
	}
	backend = store.Limit(backend, storeCallsPerSecond, storeBurst)
	policy, err := framework.Policies.Get(s.Policy)
	if err != nil {
		return nil, err
	}
	bootstrap, err := readBootstrap(s.BootstrapConfig)
	if err != nil {
		return nil, err
	}
	network, err := transport.NewNetwork(s.Address, creds)
	if err != nil {
		return nil, err
	}
	return assemble(s, parts{store: backend, policy: policy, bootstrap: bootstrap, network: network, check: check}), nil
}

type parts struct {
	store     store.Store
	policy    framework.Factory
	bootstrap []byte
	network   *transport.Network
	check     PackCheck
}

func assemble(s *Settings, p parts) []kernel.Component {
	self := wire.EntryInfo{
		ID:            s.ID,
		Address:       s.AdvertiseAddress,
		HTTPAddress:   s.HTTPAddress,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Incarnation:   wire.NewIncarnation(time.Now()),
	}
	packer := &packer{check: p.check}
	conf := config.New(config.Options{Store: p.store, Bootstrap: p.bootstrap, Pack: packer.pack})
	routes := new(router.Router)
	member := members.New(members.Options{
		Self: self, Store: p.store, Pool: p.network.Pool, Config: conf,
		OnFreeSlots: routes.ReportFree,
	})
	routes.Init(s.ID, member)
	packer.config, packer.members = conf, member
	host := jobs.New(jobs.Options{
		Store: p.store, Membership: member, Pool: p.network.Pool, Config: conf, Policy: p.policy, Entry: self,
	})
	member.SetSink(host)
	for _, r := range []interface{ Register(*transport.Mux) }{conf, member, host} {
		r.Register(&p.network.Mux)
	}
	budget := router.NewRetryBudget()
	dumper := kernel.NewDumper()
	api := httpapi.New(httpapi.Options{
		Address: s.HTTPAddress, Members: member, Config: conf, Jobs: host, Dumper: dumper,
		Forwarder: &forward.Forwarder{Router: routes, Pool: p.network.Pool, Budget: budget},
	})
	dumper.Add("entry", func() any { return self })
	dumper.Add("members", func() any { return member.View() })
	dumper.Add("planner", host.DumpState)
	dumper.Add("routing", func() any { return routes.Counts() })
	dumper.Add("teams", func() any { return api.Teams() })
	dumper.Add("store_calls", func() any { return p.store.Calls() })
	dumper.Add("config_version", func() any { return conf.Version() })
	publishMetrics(p, member, routes, budget, api)
	gone := &goneWorkers{members: member, pool: p.network.Pool}
	background := &kernel.Loops{Label: "router", Runs: []func(context.Context){routes.Run, budget.Run, gone.run}}
	return []kernel.Component{conf, p.network, member, host, background, api}
}

func readBootstrap(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read bootstrap_config: %w", err)
	}
	return data, nil
}

// packer checks the guarantees of a patch against the healthy workers.
type packer struct {
	check   PackCheck
	config  config.Source
	members members.Membership
}

// pack accepts a patch that leaves the guarantees as they are: a shrunken pool
// must not block other changes. With no worker known it accepts all, since the
// first document precedes the first worker.
func (p *packer) pack(teams []model.Team) []string {
	if c := p.config.Current(); c != nil && reflect.DeepEqual(guarantees(c.Teams), guarantees(teams)) {
		return nil
	}
	var workers []model.Worker
	for _, w := range p.members.View().Workers {
		if w.Health != members.Dead && !w.State.Quarantined {
			workers = append(workers, w.State.Worker)
		}
	}
	if len(workers) == 0 {
		return nil
	}
	return p.check(teams, workers)
}

func guarantees(teams []model.Team) map[string][]model.Guarantee {
	m := make(map[string][]model.Guarantee)
	for _, t := range teams {
		if len(t.Guarantees) > 0 {
			m[t.ID] = t.Guarantees
		}
	}
	return m
}
