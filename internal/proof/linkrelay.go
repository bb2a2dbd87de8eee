package proof

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// blockedPoll is the interval at which a held connection asks again.
const blockedPoll = 5 * time.Millisecond

// linkRelay forwards TCP connections between processes to a target. While the
// sender of a connection is blocked it holds all bytes and ends in both
// directions, like a network that loses packets.
type linkRelay struct {
	ln      net.Listener
	target  string
	blocked func(port int) func() bool // for a connection from port
	mu      sync.Mutex
	conns   map[net.Conn]struct{} // nil after close
}

func newLinkRelay(listen, target string, blocked func(port int) func() bool) (*linkRelay, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &linkRelay{ln: ln, target: target, blocked: blocked, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

func (r *linkRelay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		if r.track(c) {
			go r.serve(c)
		}
	}
}

func (r *linkRelay) serve(c net.Conn) {
	defer r.end(c)
	blocked := r.blocked(c.RemoteAddr().(*net.TCPAddr).Port)
	if !r.await(blocked) {
		return
	}
	up, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	if !r.track(up) {
		return
	}
	defer r.end(up)
	back := make(chan struct{})
	go func() {
		defer close(back)
		r.copy(c, up, blocked)
	}()
	r.copy(up, c, blocked)
	<-back
}

// copy passes on bytes and the end of a direction. After an error both
// connections are closed.
func (r *linkRelay) copy(dst, src net.Conn, blocked func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !r.await(blocked) {
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		switch {
		case err == io.EOF:
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}

// await waits while the sender is blocked; false after close.
func (r *linkRelay) await(blocked func() bool) bool {
	for blocked() {
		r.mu.Lock()
		closed := r.conns == nil
		r.mu.Unlock()
		if closed {
			return false
		}
		time.Sleep(blockedPoll)
	}
	return true
}

func (r *linkRelay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *linkRelay) end(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns != nil {
		delete(r.conns, c)
	}
}

func (r *linkRelay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	open := r.conns
	r.conns = nil
	r.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}
