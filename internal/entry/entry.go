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
	// storeCallsPerSecond and storeBurst limit the rate of calls of one entry to the
	// platform's store, which serves several hundred writes per second in total. The
	// burst covers a change of planner, which reads and writes every job page once; a
	// burst of 50 delayed it by 1.8 s, and urgent jobs took longer than 4.7 s to
	// start. The rate lets a planner write every page twice per second and leaves room
	// for two regions and the operators' patches.
	storeCallsPerSecond = 150
	storeBurst          = 4 * jobs.PageCount
)

// GuaranteeCheck checks that the guarantees of all teams fit the workers at the same
// time. It returns one sentence for each team and shape that does not fit.
type GuaranteeCheck func(teams []model.Team, workers []model.Worker) []string

// Assemble creates the components of snipegw-entry and returns them in the order in
// which they must start.
func Assemble(s *Settings, check GuaranteeCheck) ([]kernel.Component, error) {
	creds, err := transport.NewCredentials(s.Security)
	if err != nil {
		return nil, err
	}
	if s.Security.Mode == transport.ModeDevelopment {
		log.WithField("event", "development_mode").Warn("security mode is development: connections between processes use a key that is not secret; use it on loopback only")
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
	return assemble(s, dependencies{store: backend, policy: policy, bootstrap: bootstrap, network: network, check: check}), nil
}

// dependencies holds what assemble needs beside the settings.
type dependencies struct {
	store     store.Store
	policy    framework.Factory
	bootstrap []byte
	network   *transport.Network
	check     GuaranteeCheck
}

// assemble creates the components with the given dependencies.
func assemble(s *Settings, deps dependencies) []kernel.Component {
	self := wire.EntryInfo{
		ID:            s.ID,
		Address:       s.AdvertiseAddress,
		HTTPAddress:   s.HTTPAddress,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Incarnation:   wire.NewIncarnation(time.Now()),
	}
	checker := &guaranteeChecker{check: deps.check}
	configManager := config.New(config.Options{Store: deps.store, Bootstrap: deps.bootstrap, CheckGuarantees: checker.checkPatch})
	routes := new(router.Router)
	membership := members.New(members.Options{
		Self: self, Store: deps.store, Pool: deps.network.Pool, Config: configManager,
		OnFreeSlots: routes.ReportFree,
	})
	routes.Init(s.ID, membership)
	checker.config, checker.members = configManager, membership
	jobHost := jobs.New(jobs.Options{
		Store: deps.store, Membership: membership, Pool: deps.network.Pool, Config: configManager, Policy: deps.policy, Entry: self,
	})
	membership.SetSink(jobHost)
	for _, r := range []interface{ Register(*transport.Mux) }{configManager, membership, jobHost} {
		r.Register(&deps.network.Mux)
	}
	budget := router.NewRetryBudget()
	dumper := kernel.NewDumper()
	clients := kernel.NewClientLimiter(s.Clients)
	api := httpapi.New(httpapi.Options{
		Address: s.HTTPAddress, Members: membership, Config: configManager, Jobs: jobHost, Dumper: dumper, Clients: clients,
		Forwarder: &forward.Forwarder{Router: routes, Pool: deps.network.Pool, Budget: budget},
	})
	dumper.Add("entry", func() any { return self })
	dumper.Add("clients", func() any { return clients.State() })
	dumper.Add("members", func() any { return membership.View() })
	dumper.Add("planner", jobHost.DumpState)
	dumper.Add("routing", func() any { return routes.Counts() })
	dumper.Add("teams", func() any { return api.Teams() })
	dumper.Add("store_calls", func() any { return deps.store.Calls() })
	dumper.Add("config_version", func() any { return configManager.Version() })
	publishMetrics(deps, membership, routes, budget, api)
	deadConnections := &deadConnectionCloser{members: membership, pool: deps.network.Pool}
	background := &kernel.Loops{Label: "router", Funcs: []func(context.Context){routes.Run, budget.Run, deadConnections.run}}
	return []kernel.Component{configManager, deps.network, membership, jobHost, background, api}
}

// readBootstrap returns the content of the file, or nil if path is empty.
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

// guaranteeChecker checks the guarantees of a patch against the healthy workers.
type guaranteeChecker struct {
	check   GuaranteeCheck
	config  config.Source
	members members.Membership
}

// checkPatch returns one sentence for each guarantee of the patched teams that does not
// pack, and nil if the patch is accepted. A patch that does not change guarantees is
// always accepted, since a loss of workers must not block other changes. If no healthy
// worker is known, every patch is accepted, since the first document is written before
// the first worker starts.
func (g *guaranteeChecker) checkPatch(teams []model.Team) []string {
	if c := g.config.Current(); c != nil && reflect.DeepEqual(guaranteesByTeam(c.Teams), guaranteesByTeam(teams)) {
		return nil
	}
	var workers []model.Worker
	for _, w := range g.members.View().Workers {
		if w.Health != members.Dead && !w.State.Quarantined {
			workers = append(workers, w.State.Worker)
		}
	}
	if len(workers) == 0 {
		return nil
	}
	return g.check(teams, workers)
}

// guaranteesByTeam returns the guarantees of the teams that have any, by team id.
func guaranteesByTeam(teams []model.Team) map[string][]model.Guarantee {
	m := make(map[string][]model.Guarantee)
	for _, t := range teams {
		if len(t.Guarantees) > 0 {
			m[t.ID] = t.Guarantees
		}
	}
	return m
}
