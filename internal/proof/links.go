package proof

import "sync"

// links decides which datagrams and connections between processes pass. All traffic to a node
// goes through its relay; the sender is known by its port.
type links struct {
	mu     sync.RWMutex
	nodes  []*Node
	owners map[int]*Node // sender's UDP port -> node
	cut    map[[2]*Node]bool
}

func newLinks() *links {
	return &links{owners: make(map[int]*Node), cut: make(map[[2]*Node]bool)}
}

// set cuts or joins the link between a and b in both directions.
func (l *links) set(a, b *Node, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, pair := range [][2]*Node{{a, b}, {b, a}} {
		if on {
			l.cut[pair] = true
		} else {
			delete(l.cut, pair)
		}
	}
}

// blocked returns the function that a relay in front of to asks.
func (l *links) blocked(to *Node) func(port int) bool {
	return func(port int) bool {
		l.mu.RLock()
		none := len(l.cut) == 0
		owner, known := l.owners[port]
		l.mu.RUnlock()
		if none {
			return false
		}
		if !known || (owner != nil && !owner.Running()) {
			owner = l.lookUp(port)
		}
		l.mu.RLock()
		defer l.mu.RUnlock()
		return owner != nil && l.cut[[2]*Node{owner, to}]
	}
}

func (l *links) lookUp(port int) *Node {
	owner := l.ownerOf(port, "udp")
	l.mu.Lock()
	defer l.mu.Unlock()
	if owner != nil {
		l.owners[port] = owner
	}
	return owner
}

// ownerOf returns the node whose process has the port, nil if none has.
func (l *links) ownerOf(port int, protocol string) *Node {
	for _, n := range l.nodes {
		if pid := n.PID(); pid != 0 && localPorts(pid, protocol)[port] {
			return n
		}
	}
	return nil
}

// blockedTCP returns the function that a relay in front of to asks, for one
// connection from port. Ports of TCP are soon used again by other processes, so
// that the owner is kept for the connection and not for the port.
func (l *links) blockedTCP(to *Node) func(port int) func() bool {
	return func(port int) func() bool {
		owner := sync.OnceValue(func() *Node { return l.ownerOf(port, "tcp") })
		return func() bool {
			l.mu.RLock()
			none := len(l.cut) == 0
			l.mu.RUnlock()
			if none {
				return false
			}
			n := owner()
			l.mu.RLock()
			defer l.mu.RUnlock()
			return n != nil && l.cut[[2]*Node{n, to}]
		}
	}
}

// forget drops the ports of a node whose process has ended.
func (l *links) forget(n *Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for port, owner := range l.owners {
		if owner == n {
			delete(l.owners, port)
		}
	}
}
