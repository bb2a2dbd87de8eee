package proof

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Processes are started while other clusters look for free ports. Guards against
// a port that is still held when it is used, because a child that is being
// started has a copy of the socket that tried it.
func TestFreeAddressIsFreeWhileProcessesStart(t *testing.T) {
	g := NewWithT(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	defer wg.Wait()
	defer close(stop)
	for range 2000 {
		addr, err := freeAddress()
		g.Expect(err).NotTo(HaveOccurred())
		udp, err := net.ListenPacket("udp", addr)
		g.Expect(err).NotTo(HaveOccurred())
		tcp, err := net.Listen("tcp", addr)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = udp.Close(), tcp.Close()
	}
}
