package proof

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a port that is reported as free, but still in use. This happens if a process is
// started while the port is checked: the child holds a copy of the checking socket until it
// executes its program. Here processes are started all the time.
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
