package standin

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a Close that never returns because a connection is accepted at the
// same moment.
func TestCloseWhileConnectionsArrive(t *testing.T) {
	g := NewWithT(t)
	for range 300 {
		h, err := Listen("127.0.0.1:0", http.NotFoundHandler())
		g.Expect(err).NotTo(HaveOccurred())
		stop := make(chan struct{})
		for range 4 {
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if c, err := net.Dial("tcp", h.Addr()); err == nil {
						_ = c.Close()
					}
				}
			}()
		}
		closed := make(chan error, 1)
		go func() { closed <- h.Close() }()
		g.Eventually(closed, 10*time.Second).Should(Receive(BeNil()))
		close(stop)
	}
}
