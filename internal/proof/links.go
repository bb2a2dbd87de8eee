package proof

import "sync"

// links decides which datagrams and connections between processes pass. All traffic to a node
// goes through its relay; the sender is known by its port.
type links struct {
	mu        sync.RWMutex
	nodes     []*Node
	udpOwners map[int]*Node // sender's UDP port -> node
	cutPairs  map[[2]*Node]bool
}

func newLinks() *links {
	return &links{udpOwners: make(map[int]*Node), cutPairs: make(map[[2]*Node]bool)}
}

// setLinkCut cuts or joins the link between a and b in both directions.
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

// udpFilter returns the function that a relay in front of to asks.
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

func (l *links) resolveOwner(port int) *Node {
	owner := l.portOwner(port, "udp")
	l.mu.Lock()
	defer l.mu.Unlock()
	if owner != nil {
		l.udpOwners[port] = owner
	}
	return owner
}

// portOwner returns the node whose process has the port, nil if none has.
func (l *links) portOwner(port int, protocol string) *Node {
	for _, n := range l.nodes {
		if pid := n.PID(); pid != 0 && localPorts(pid, protocol)[port] {
			return n
		}
	}
	return nil
}

// tcpFilter returns the function that a relay in front of to asks, for one
// connection from port. Ports of TCP are soon used again by other processes, so
// that the owner is kept for the connection and not for the port.
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

// forgetPorts drops the ports of a node whose process has ended.
func (l *links) forgetPorts(n *Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for port, owner := range l.udpOwners {
		if owner == n {
			delete(l.udpOwners, port)
		}
	}
}
