package transport

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Stats counts the traffic of QUIC connections, including the overhead of QUIC but
// not UDP and IP headers. Connections is the number of open connections.
type Stats struct {
	BytesSent       uint64 `json:"bytes_sent"`
	BytesReceived   uint64 `json:"bytes_received"`
	PacketsSent     uint64 `json:"packets_sent"`
	PacketsReceived uint64 `json:"packets_received"`
	Connections     int    `json:"connections"`
}

func (s *Stats) addConn(c quic.ConnectionStats) {
	s.BytesSent += c.BytesSent
	s.BytesReceived += c.BytesReceived
	s.PacketsSent += c.PacketsSent
	s.PacketsReceived += c.PacketsReceived
}

// Add adds the counts of o to s.
func (s *Stats) Add(o Stats) {
	s.BytesSent += o.BytesSent
	s.BytesReceived += o.BytesReceived
	s.PacketsSent += o.PacketsSent
	s.PacketsReceived += o.PacketsReceived
	s.Connections += o.Connections
}

// connTracker sums the traffic of open and closed QUIC connections. Its lock is
// taken when a connection opens or closes and by stats, not per call.
type connTracker struct {
	mu     sync.Mutex
	open   map[*quic.Conn]struct{}
	closed Stats
}

// track includes the traffic of c from now on.
func (t *connTracker) track(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*quic.Conn]struct{})
	}
	t.open[c] = struct{}{}
	go func() {
		<-c.Context().Done()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, c)
		t.closed.addConn(c.ConnectionStats())
	}()
}

func (t *connTracker) stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.closed
	for c := range t.open {
		s.addConn(c.ConnectionStats())
	}
	s.Connections = len(t.open)
	return s
}

// Stats returns the traffic of all connections that the server accepted.
func (s *Server) Stats() Stats { return s.connTracker.stats() }

// Stats returns the traffic of all connections that the pool dialed.
func (p *Pool) Stats() Stats { return p.connTracker.stats() }
