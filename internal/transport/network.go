package transport

import (
	"context"
	"net"
)

// Network holds the server of a process and its pool of connections to other
// processes. It is a kernel.Component.
type Network struct {
	address string
	creds   *Credentials
	Mux     Mux
	Pool    *Pool
	server  *Server
}

// NewNetwork returns a Network that listens on address (host:port) when it starts.
// Its QUIC connections to other processes are dialed from the same host address.
func NewNetwork(address string, creds *Credentials) (*Network, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	pool, err := NewPool(net.JoinHostPort(host, "0"), creds)
	if err != nil {
		return nil, err
	}
	return &Network{address: address, creds: creds, Pool: pool}, nil
}

// Name implements kernel.Component.
func (n *Network) Name() string { return "network" }

// Start implements kernel.Component.
func (n *Network) Start(context.Context) error {
	var err error
	n.server, err = Listen(n.address, n.creds, &n.Mux)
	return err
}

// Stop implements kernel.Component. It closes all connections. The components
// that make calls have stopped before; agents whose heartbeats fail switch to
// another entry.
func (n *Network) Stop(context.Context) error {
	err := n.server.Close()
	if poolErr := n.Pool.Close(); err == nil {
		err = poolErr
	}
	return err
}

// Stats returns the QUIC traffic with other processes, separately for dialed and
// accepted connections.
func (n *Network) Stats() map[string]Stats {
	out := map[string]Stats{"dialed": n.Pool.Stats()}
	if n.server != nil {
		out["accepted"] = n.server.Stats()
	}
	return out
}
