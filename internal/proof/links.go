package proof

import "sync"

// links holds the cut links between nodes and decides for the relays which traffic passes. All
// traffic to a node goes through its relay, which identifies the sender by its port.
type links struct {
	mu        sync.RWMutex
	nodes     []*Node
	udpOwners map[int]*Node     // UDP port of the sender -> node
	cutPairs  map[[2]*Node]bool // sender and receiver
}

func newLinks() *links {
	return &links{udpOwners: make(map[int]*Node), cutPairs: make(map[[2]*Node]bool)}
}

// setLinkCut cuts or restores the link between a and b in both directions.
func (l *links) setLinkCut(a, b *Node, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, pair := range [][2]*Node{{a, b}, {b, a}} {
		if cut {
			l.cutPairs[pair] = true
		} else {
			delete(l.cutPairs, pair)
		}
	}
}

// udpFilter returns a function that reports whether datagrams from a port to the node to are
// blocked.
func (l *links) udpFilter(to *Node) func(port int) bool {
	return func(port int) bool {
		l.mu.RLock()
		noCuts := len(l.cutPairs) == 0
		owner, known := l.udpOwners[port]
		l.mu.RUnlock()
		if noCuts {
			return false
		}
		if !known || (owner != nil && !owner.Running()) {
			owner = l.resolveOwner(port)
		}
		l.mu.RLock()
		defer l.mu.RUnlock()
		return owner != nil && l.cutPairs[[2]*Node{owner, to}]
	}
}

// resolveOwner looks up the node whose process has the UDP port, and remembers it.
func (l *links) resolveOwner(port int) *Node {
	owner := l.portOwner(port, "udp")
	l.mu.Lock()
	defer l.mu.Unlock()
	if owner != nil {
		l.udpOwners[port] = owner
	}
	return owner
}

// portOwner returns the running node whose process has the local port, nil if none has.
func (l *links) portOwner(port int, protocol string) *Node {
	for _, n := range l.nodes {
		if pid := n.PID(); pid != 0 && localPorts(pid, protocol)[port] {
			return n
		}
	}
	return nil
}

// tcpFilter returns a function that makes a filter for one connection from a port to the node to.
// The filter reports whether the connection is blocked. TCP ports are soon reused by other
// processes, so the owner is remembered for each connection and not for the port.
func (l *links) tcpFilter(to *Node) func(port int) func() bool {
	return func(port int) func() bool {
		owner := sync.OnceValue(func() *Node { return l.portOwner(port, "tcp") })
		return func() bool {
			l.mu.RLock()
			noCuts := len(l.cutPairs) == 0
			l.mu.RUnlock()
			if noCuts {
				return false
			}
			n := owner()
			l.mu.RLock()
			defer l.mu.RUnlock()
			return n != nil && l.cutPairs[[2]*Node{n, to}]
		}
	}
}

// forgetPorts removes the remembered UDP ports of a node whose process has ended.
func (l *links) forgetPorts(n *Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for port, owner := range l.udpOwners {
		if owner == n {
			delete(l.udpOwners, port)
		}
	}
}
