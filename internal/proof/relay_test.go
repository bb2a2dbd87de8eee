package proof

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("relays", func() {
	// Guards against a cut link that still passes datagrams, and against one that also blocks
	// other senders: a proof would then inject another fault than it names.
	It("drop the datagrams of a blocked sender and pass those of others", func() {
		echo, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer echo.Close()
		go func() {
			buf := make([]byte, 100)
			for {
				n, from, err := echo.ReadFrom(buf)
				if err != nil {
					return
				}
				_, _ = echo.WriteTo(buf[:n], from)
			}
		}()
		var blocked atomic.Int64
		r, err := newUDPRelay("127.0.0.1:0", echo.LocalAddr().String(), func(port int) bool { return int64(port) == blocked.Load() })
		Expect(err).NotTo(HaveOccurred())
		defer r.close()
		ask := func(c net.Conn) error {
			_, _ = c.Write([]byte("x"))
			_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			_, err := c.Read(make([]byte, 10))
			return err
		}
		blockedSender, err := net.Dial("udp", r.conn.LocalAddr().String())
		Expect(err).NotTo(HaveOccurred())
		defer blockedSender.Close()
		otherSender, err := net.Dial("udp", r.conn.LocalAddr().String())
		Expect(err).NotTo(HaveOccurred())
		defer otherSender.Close()
		Expect(ask(blockedSender)).To(Succeed())
		blocked.Store(int64(blockedSender.LocalAddr().(*net.UDPAddr).Port))
		Expect(ask(blockedSender)).To(MatchError(os.ErrDeadlineExceeded))
		Expect(ask(otherSender)).To(Succeed())
	})

	// Guards against cuts without effect: a relay that does not find the sender by its port blocks
	// nothing.
	It("know the UDP and TCP ports of a process", func() {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(localPorts(os.Getpid(), "udp")).To(HaveKey(c.LocalAddr().(*net.UDPAddr).Port))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		Expect(localPorts(os.Getpid(), "tcp")).To(HaveKey(ln.Addr().(*net.TCPAddr).Port))
	})

	// Guards against a cut link that loses bytes that TCP has accepted: they must arrive after
	// the link is restored, and the end of one side must reach the other.
	It("hold the bytes of a blocked TCP sender and pass those of others", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					_, _ = io.Copy(c, c)
				}()
			}
		}()
		var blocked atomic.Int64
		r, err := newLinkRelay("127.0.0.1:0", ln.Addr().String(), func(port int) func() bool {
			return func() bool { return int64(port) == blocked.Load() }
		})
		Expect(err).NotTo(HaveOccurred())
		defer r.close()
		dial := func() net.Conn {
			c, err := net.Dial("tcp", r.ln.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			return c
		}
		read := func(c net.Conn, limit time.Duration) error {
			_ = c.SetReadDeadline(time.Now().Add(limit))
			_, err := c.Read(make([]byte, 1))
			return err
		}
		blockedSender, otherSender := dial(), dial()
		blocked.Store(int64(blockedSender.LocalAddr().(*net.TCPAddr).Port))
		for _, c := range []net.Conn{blockedSender, otherSender} {
			_, err := c.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(read(otherSender, 5*time.Second)).To(Succeed())
		Expect(read(blockedSender, 100*time.Millisecond)).To(MatchError(os.ErrDeadlineExceeded))
		blocked.Store(0)
		Expect(read(blockedSender, 5*time.Second)).To(Succeed())
		Expect(otherSender.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(read(otherSender, 5*time.Second)).To(MatchError(io.EOF))
	})

	// Guards against an entry that still reaches the store while it is isolated.
	It("break connections and refuse new ones while cut", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write([]byte("hello"))
			}
		}()
		r, err := newTCPRelay("127.0.0.1:0", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer r.close()
		read := func(c net.Conn) error {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, err := c.Read(make([]byte, 5))
			return err
		}
		c, err := net.Dial("tcp", r.ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(read(c)).To(Succeed())
		r.setCut(true)
		Expect(read(c)).To(HaveOccurred())
		again, err := net.Dial("tcp", r.ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer again.Close()
		Expect(read(again)).To(HaveOccurred())
	})
})
