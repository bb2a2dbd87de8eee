package daemon

import (
	"context"
	"net"
	"sync/atomic"

	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/mirror"
	"snipegw/internal/workflow/relay"
)

// knownEntries tells the relay which entries there are: those in the store, and
// those that the settings name, which may be old. It is a kernel.Component and a
// kernel.Reloader.
type knownEntries struct {
	process Process
	table   *relay.Table
	records *mirror.Mirror
	seeds   atomic.Pointer[[]string]
}

// Name implements kernel.Component.
func (k *knownEntries) Name() string { return "known entries" }

// Start implements kernel.Component.
func (k *knownEntries) Start(context.Context) error { return nil }

// Stop implements kernel.Component.
func (k *knownEntries) Stop(context.Context) error { return nil }

// Reload implements kernel.Reloader.
func (k *knownEntries) Reload() error {
	if k.process.Reload == nil {
		return nil
	}
	s, err := k.process.Reload()
	if err != nil {
		return err
	}
	k.set(s)
	return nil
}

func (k *knownEntries) set(s EntrySettings) {
	seeds := s.peers(k.process.Address)
	k.seeds.Store(&seeds)
	k.update()
}

// update gives the relay the present addresses.
func (k *knownEntries) update() {
	var addresses []string
	k.records.Each(workflow.EntryPrefix, func(r store.Record) {
		if e, err := workflow.Decode[workflow.ProcessRecord](r.Value); err == nil {
			addresses = append(addresses, e.Address)
		}
	})
	k.table.SetPeers(append(addresses, *k.seeds.Load()...))
}

// peers returns the addresses that the seeds stand for.
func (s *EntrySettings) peers(own string) []string {
	var out []string
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil // the address was validated
	}
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}
