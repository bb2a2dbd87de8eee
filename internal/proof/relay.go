package proof

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// udpRelay forwards datagrams to a target and back. It drops a datagram in either direction if
// isBlocked returns true for the port of the process that opened the flow.
type udpRelay struct {
	conn      *net.UDPConn
	target    *net.UDPAddr
	isBlocked func(port int) bool
	mu        sync.Mutex
	flows     map[string]*net.UDPConn // by address of the sender
}

// maxDatagram is larger than any QUIC datagram on loopback.
const maxDatagram = 64 << 10

func newUDPRelay(listen, target string, isBlocked func(port int) bool) (*udpRelay, error) {
	listenAddr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", listenAddr)
	if err != nil {
		return nil, fmt.Errorf("UDP relay: %w", err)
	}
	r := &udpRelay{conn: conn, target: targetAddr, isBlocked: isBlocked, flows: make(map[string]*net.UDPConn)}
	go r.forward()
	return r, nil
}

// forward forwards datagrams from the senders to the target.
func (r *udpRelay) forward() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if r.isBlocked(from.Port) {
			continue
		}
		flow, err := r.flow(from)
		if err == nil {
			_, _ = flow.Write(buf[:n])
		}
	}
}

// flow returns the socket that forwards the datagrams of one sender, opening it if necessary.
func (r *udpRelay) flow(from *net.UDPAddr) (*net.UDPConn, error) {
	key := from.String()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.flows[key]; ok {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, err
	}
	r.flows[key] = c
	go r.backward(c, from)
	return c, nil
}

// backward forwards the target's datagrams on c to the sender.
func (r *udpRelay) backward(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // a target that does not run refuses datagrams
			continue
		}
		if !r.isBlocked(to.Port) {
			_, _ = r.conn.WriteToUDP(buf[:n], to)
		}
	}
}

func (r *udpRelay) close() {
	_ = r.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.flows {
		_ = c.Close()
	}
}

// tcpRelay forwards connections to a target. While it is cut, it breaks and refuses connections.
type tcpRelay struct {
	ln     net.Listener
	target string
	cut    atomic.Bool
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

func newTCPRelay(listen, target string) (*tcpRelay, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("TCP relay: %w", err)
	}
	r := &tcpRelay{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

func (r *tcpRelay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		if r.cut.Load() {
			_ = c.Close()
			continue
		}
		go r.serve(c)
	}
}

func (r *tcpRelay) serve(c net.Conn) {
	upstream, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	r.track(c, upstream)
	go r.copy(c, upstream)
	r.copy(upstream, c)
}

func (r *tcpRelay) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !r.cut.Load() {
			_, _ = dst.Write(buf[:n])
		}
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	delete(r.conns, src)
	r.mu.Unlock()
	_ = dst.Close()
	_ = src.Close()
}

func (r *tcpRelay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

// setCut breaks all connections and refuses new ones, or accepts connections again.
func (r *tcpRelay) setCut(isCut bool) {
	r.cut.Store(isCut)
	if !isCut {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *tcpRelay) close() {
	_ = r.ln.Close()
	r.setCut(true)
}

// localPorts returns the local ports of a process for the protocol "udp" or "tcp", from the tables
// of the kernel in /proc. A relay uses them to find the process that sent a datagram or opened a
// connection.
func localPorts(pid int, protocol string) map[int]bool {
	inodes := make(map[string]bool)
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, l := range links {
		target, err := os.Readlink(l)
		if err == nil && strings.HasPrefix(target, "socket:[") {
			inodes[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
		}
	}
	ports := make(map[int]bool)
	for _, table := range []string{protocol, protocol + "6"} {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, table))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n")[1:] {
			f := strings.Fields(line)
			if len(f) < 10 || !inodes[f[9]] {
				continue
			}
			_, hex, _ := strings.Cut(f[1], ":")
			if port, err := strconv.ParseUint(hex, 16, 16); err == nil {
				ports[int(port)] = true
			}
		}
	}
	return ports
}
