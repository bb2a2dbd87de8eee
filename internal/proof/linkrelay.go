package proof

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// blockedPollInterval is the interval at which a blocked connection checks whether its link is
// restored.
const blockedPollInterval = 5 * time.Millisecond

// linkRelay forwards TCP connections between processes to a target. While the link to the
// sender of a connection is cut, it holds back all bytes and closes in both directions, like a
// network that loses packets.
type linkRelay struct {
	ln     net.Listener
	target string
	// newFilter returns, for a connection from port, a function that reports whether the link to
	// its sender is cut.
	newFilter func(port int) func() bool
	mu        sync.Mutex
	conns     map[net.Conn]struct{} // nil after close
}

func newLinkRelay(listen, target string, newFilter func(port int) func() bool) (*linkRelay, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("link relay: %w", err)
	}
	r := &linkRelay{ln: ln, target: target, newFilter: newFilter, conns: make(map[net.Conn]struct{})}
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

func (r *linkRelay) serve(conn net.Conn) {
	defer r.closeConn(conn)
	isBlocked := r.newFilter(conn.RemoteAddr().(*net.TCPAddr).Port)
	if !r.waitWhileBlocked(isBlocked) {
		return
	}
	upstream, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	if !r.track(upstream) {
		return
	}
	defer r.closeConn(upstream)
	returnDone := make(chan struct{})
	go func() {
		defer close(returnDone)
		r.copy(conn, upstream, isBlocked)
	}()
	r.copy(upstream, conn, isBlocked)
	<-returnDone
}

// copy forwards bytes from src to dst. It forwards the end of the stream as a half-close, and
// closes both connections after an error.
func (r *linkRelay) copy(dst, src net.Conn, isBlocked func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !r.waitWhileBlocked(isBlocked) {
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

// waitWhileBlocked waits until isBlocked returns false. It returns false if the relay was
// closed meanwhile.
func (r *linkRelay) waitWhileBlocked(isBlocked func() bool) bool {
	for isBlocked() {
		r.mu.Lock()
		closed := r.conns == nil
		r.mu.Unlock()
		if closed {
			return false
		}
		time.Sleep(blockedPollInterval)
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

func (r *linkRelay) closeConn(c net.Conn) {
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
