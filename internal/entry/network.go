package entry

import (
	"context"
	"net"

	"snipegw/internal/transport"
)

// network holds the QUIC server and the pool of connections to other processes.
// It is a kernel.Component.
type network struct {
	address string
	creds   *transport.Credentials
	mux     transport.Mux
	pool    *transport.Pool
	server  *transport.Server
}

func newNetwork(address string, creds *transport.Credentials) (*network, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	pool, err := transport.NewPool(net.JoinHostPort(host, "0"), creds)
	if err != nil {
		return nil, err
	}
	return &network{address: address, creds: creds, pool: pool}, nil
}

// Name implements kernel.Component.
func (n *network) Name() string { return "network" }

// Start implements kernel.Component.
func (n *network) Start(context.Context) error {
	var err error
	n.server, err = transport.Listen(n.address, n.creds, &n.mux)
	return err
}

// Stop implements kernel.Component. Callers of this process have stopped
// before; heartbeats that are cut off go to another entry.
func (n *network) Stop(context.Context) error {
	err := n.server.Close()
	if perr := n.pool.Close(); err == nil {
		err = perr
	}
	return err
}

// stats returns the traffic with other processes by direction of dialing.
func (n *network) stats() map[string]transport.Stats {
	out := map[string]transport.Stats{"dialed": n.pool.Stats()}
	if n.server != nil {
		out["accepted"] = n.server.Stats()
	}
	return out
}

// loops is a kernel.Component of functions that run until their context ends.
type loops struct {
	name   string
	runs   []func(context.Context)
	cancel context.CancelFunc
}

// Name implements kernel.Component.
func (l *loops) Name() string { return l.name }

// Start implements kernel.Component.
func (l *loops) Start(ctx context.Context) error {
	ctx, l.cancel = context.WithCancel(ctx)
	for _, run := range l.runs {
		go run(ctx)
	}
	return nil
}

// Stop implements kernel.Component.
func (l *loops) Stop(context.Context) error {
	l.cancel()
	return nil
}
