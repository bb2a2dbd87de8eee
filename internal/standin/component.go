package standin

import (
	"context"
	"fmt"
)

// Server is a running stand-in.
type Server interface {
	// Addr returns the listen address as host:port.
	Addr() string
	// Stop ends the stand-in gracefully, until ctx ends at the latest.
	Stop(ctx context.Context) error
}

// Component adapts a stand-in to kernel.Component.
type Component struct {
	name   string
	start  func() (Server, error)
	server Server
}

// NewComponent returns a component that calls start to run a stand-in.
func NewComponent(name string, start func() (Server, error)) *Component {
	return &Component{name: name, start: start}
}

// Name implements kernel.Component.
func (c *Component) Name() string { return c.name }

// Start implements kernel.Component. It prints the address on which the stand-in
// listens.
func (c *Component) Start(context.Context) error {
	s, err := c.start()
	if err != nil {
		return err
	}
	c.server = s
	fmt.Printf("%s listens on %s\n", c.name, s.Addr())
	return nil
}

// Stop implements kernel.Component.
func (c *Component) Stop(ctx context.Context) error { return c.server.Stop(ctx) }
