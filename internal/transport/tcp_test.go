package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Request methods that select the behaviour of requestServer.
const (
	methodEcho        = "ECHO"
	methodRefuse      = "REFUSE"       // refuses without reading the body
	methodBreakBefore = "BREAK-BEFORE" // fails before the admission
	methodBreakAfter  = "BREAK-AFTER"  // fails after the admission
	methodBreakBody   = "BREAK-BODY"   // fails within the response body
	methodHeadFault   = "HEAD-FAULT"   // sends a response head with a fault
	methodHang        = "HANG"         // sends a part of the body and blocks
)

// requestServer is a Handler that echoes requests. It counts the calls in progress,
// their maximum and the calls whose context was cancelled, and records whether two
// calls ever used a connection at the same time.
type requestServer struct {
	active, maxActive, cancelledCalls atomic.Int64
	busyConns                         sync.Map // *tcpConn -> calls in progress
	connShared                        atomic.Bool
}

func (r *requestServer) ServeCall(_ context.Context, _ wire.Kind, s *Stream) error {
	if s.tcp != nil {
		if _, busy := r.busyConns.LoadOrStore(s.tcp.conn, true); busy {
			r.connShared.Store(true)
		}
		defer r.busyConns.Delete(s.tcp.conn)
	}
	n := r.active.Add(1)
	defer r.active.Add(-1)
	for m := r.maxActive.Load(); n > m && !r.maxActive.CompareAndSwap(m, n); m = r.maxActive.Load() {
	}
	var head wire.RequestHead
	if err := s.Receive(&head); err != nil {
		return err
	}
	switch head.Method {
	case methodRefuse:
		return s.Send(&wire.Admission{Fault: wire.FaultOf(result.Errorf(result.WorkerFull, "refused"))})
	case methodBreakBefore:
		return errors.New("broken on purpose")
	}
	if err := s.Send(&wire.Admission{Ticket: head.ID}); err != nil {
		return err
	}
	if head.Method == methodBreakAfter {
		return errors.New("broken on purpose")
	}
	body, err := io.ReadAll(s.Body())
	if err != nil {
		return err
	}
	if head.Method == methodHeadFault {
		return s.Send(&wire.ResponseHead{Fault: wire.FaultOf(result.Errorf(result.OutcomeUnknown, "fault"))})
	}
	if err := s.SendBuffered(&wire.ResponseHead{Status: 200}); err != nil {
		return err
	}
	w := s.BodyWriter(true)
	_, _ = w.Write(append([]byte(head.ID+":"), body...))
	switch head.Method {
	case methodBreakBody:
		return errors.New("broken on purpose")
	case methodHang:
		<-s.Context().Done()
		r.cancelledCalls.Add(1)
		return s.Context().Err()
	}
	return w.Close()
}

var _ = Describe("requests over TCP", func() {
	var (
		creds   *Credentials
		handler *requestServer
		server  *Server
		pool    *Pool
		ctx     context.Context
	)

	BeforeEach(func() {
		var err error
		creds, err = NewCredentials(Security{Mode: ModeDevelopment})
		Expect(err).NotTo(HaveOccurred())
		handler = &requestServer{}
		server, err = Listen("127.0.0.1:0", creds, handler)
		Expect(err).NotTo(HaveOccurred())
		pool, err = NewPool("127.0.0.1:0", creds)
		Expect(err).NotTo(HaveOccurred())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(func() {
			cancel()
			_ = pool.Close()
			_ = server.Close()
		})
	})

	openRequest := func(ctx context.Context, method, id string) (*Stream, func()) {
		GinkgoHelper()
		s, done, err := pool.Open(ctx, server.Addr(), wire.KindRequest, &wire.RequestHead{ID: id, Method: method})
		Expect(err).NotTo(HaveOccurred())
		return s, done
	}
	sendBody := func(s *Stream, body string) error {
		w := s.BodyWriter(false)
		if _, err := io.WriteString(w, body); err != nil {
			return err
		}
		return errors.Join(w.Close(), s.CloseWrite())
	}
	readResponse := func(s *Stream) (string, error) {
		var adm wire.Admission
		if err := s.Receive(&adm); err != nil {
			return "", err
		}
		if adm.Fault != nil {
			return "", adm.Fault.Err()
		}
		var head wire.ResponseHead
		if err := s.Receive(&head); err != nil {
			return "", err
		}
		if head.Fault != nil {
			return "", head.Fault.Err()
		}
		body, err := io.ReadAll(s.Body())
		return string(body), err
	}
	echoOnce := func(id string) *tcpConn {
		GinkgoHelper()
		s, done := openRequest(ctx, methodEcho, id)
		defer done()
		Expect(s.tcp).NotTo(BeNil())
		Expect(sendBody(s, "body")).To(Succeed())
		Expect(readResponse(s)).To(Equal(id + ":body"))
		return s.tcp.conn
	}

	It("reuses a connection after a complete response and never shares one between concurrent calls", func() {
		Expect(echoOnce("1")).To(BeIdenticalTo(echoOnce("2")))
		var wg sync.WaitGroup
		var wrong atomic.Int64
		for i := range 30 {
			wg.Go(func() {
				for j := range 50 {
					id := strconv.Itoa(i) + "/" + strconv.Itoa(j)
					s, done, err := pool.Open(ctx, server.Addr(), wire.KindRequest, &wire.RequestHead{ID: id, Method: methodEcho})
					if err != nil {
						wrong.Add(1)
						continue
					}
					sendErr := sendBody(s, "b")
					if got, err := readResponse(s); err != nil || sendErr != nil || got != id+":b" {
						wrong.Add(1)
					}
					done()
				}
			})
		}
		wg.Wait()
		Expect(wrong.Load()).To(BeZero())
		Expect(handler.connShared.Load()).To(BeFalse())
		v, _ := pool.peers.Load(server.Addr())
		Expect(v.(*peer).tcp.connCount.Load()).To(BeNumerically("<=", maxTCPConns))
		Expect(v.(*peer).tcp.closeIdleConns(time.Now().Add(2 * PoolIdleTimeout))).To(BeTrue())
	})

	// Guards against reuse of a connection that is not at a frame boundary: the
	// next caller would receive the rest of the previous response.
	for _, method := range []string{methodBreakBefore, methodBreakAfter, methodBreakBody, methodHeadFault} {
		It("does not reuse a connection after "+method, func() {
			s, done := openRequest(ctx, method, "1")
			_ = sendBody(s, "body") // the server may fail first
			_, err := readResponse(s)
			Expect(err).To(HaveOccurred())
			used := s.tcp.conn
			done()
			Expect(used.ctx.Err()).To(HaveOccurred())
			Expect(echoOnce("2")).NotTo(BeIdenticalTo(used))
		})
	}

	It("reuses a connection after a refusal, with or without a body sent", func() {
		first := echoOnce("1")
		for _, body := range []string{"", "body", string(bytes.Repeat([]byte("x"), maxDrainBytes-1))} {
			s, done := openRequest(ctx, methodRefuse, "2")
			if body != "" {
				Expect(sendBody(s, body)).To(Succeed())
			} else {
				Expect(s.Flush()).To(Succeed())
			}
			_, err := readResponse(s)
			Expect(result.CodeOf(err)).To(Equal(result.WorkerFull))
			s.EndRefused()
			done()
			Expect(echoOnce("3")).To(BeIdenticalTo(first))
		}
	})

	It("closes a connection after a refusal if the unread body exceeds the limit", func() {
		s, done := openRequest(ctx, methodRefuse, "1")
		_ = sendBody(s, string(bytes.Repeat([]byte("x"), 4*maxDrainBytes)))
		_, err := readResponse(s)
		Expect(result.CodeOf(err)).To(Equal(result.WorkerFull))
		s.EndRefused()
		used := s.tcp.conn
		done()
		Eventually(func() bool { return used.ctx.Err() != nil || used.isUnusable() }).Should(BeTrue())
		time.Sleep(idleCheckAfter) // idle connections are checked only after this time
		Expect(echoOnce("2")).NotTo(BeIdenticalTo(used))
	})

	It("does not reuse the connection of a call cancelled during the response, and cancels the context of its handler", func() {
		callCtx, cancel := context.WithCancel(ctx)
		s, done := openRequest(callCtx, methodHang, "1")
		stop := context.AfterFunc(callCtx, s.Abort)
		Expect(sendBody(s, "body")).To(Succeed())
		Eventually(handler.active.Load).Should(Equal(int64(1)))
		cancel()
		_, err := readResponse(s)
		Expect(err).To(HaveOccurred())
		used := s.tcp.conn
		stop()
		done()
		Expect(echoOnce("2")).NotTo(BeIdenticalTo(used))
		Eventually(handler.cancelledCalls.Load).Should(Equal(int64(1)))
	})

	It("never lets an abort after the end of a call affect the next call", func() {
		for i := range 300 {
			id := strconv.Itoa(i)
			s, done := openRequest(ctx, methodEcho, id)
			Expect(sendBody(s, "body")).To(Succeed())
			Expect(readResponse(s)).To(Equal(id + ":body"))
			aborted := make(chan struct{})
			go func() {
				s.Abort()
				close(aborted)
			}()
			done()
			echoOnce("next")
			<-aborted
			s.Abort()
		}
	})

	It("delivers the ticket sent before a truncated response", func() {
		for i := range 200 {
			id := strconv.Itoa(i)
			s, done := openRequest(ctx, methodBreakAfter, id)
			Expect(sendBody(s, "a body that the handler does not read")).To(Succeed())
			var adm wire.Admission
			Expect(s.Receive(&adm)).To(Succeed())
			Expect(adm.Ticket).To(Equal(id))
			Expect(s.Receive(&wire.ResponseHead{})).NotTo(Succeed())
			done()
		}
	})

	It("uses QUIC above the TCP connection limit and while dialing TCP fails", func() {
		var doneFuncs []func()
		overQUIC := 0
		for i := range maxTCPConns + 2 {
			s, done := openRequest(ctx, methodEcho, strconv.Itoa(i))
			if s.tcp == nil {
				overQUIC++
			}
			Expect(sendBody(s, "body")).To(Succeed())
			Expect(readResponse(s)).To(Equal(strconv.Itoa(i) + ":body"))
			doneFuncs = append(doneFuncs, done)
		}
		Expect(overQUIC).To(Equal(2))
		for _, done := range doneFuncs {
			done()
		}
		_ = server.tcp.listener.Close()
		pool.CloseConnections(server.Addr())
		s, done := openRequest(ctx, methodEcho, "last")
		defer done()
		Expect(s.tcp).To(BeNil())
		Expect(sendBody(s, "body")).To(Succeed())
		Expect(readResponse(s)).To(Equal("last:body"))
	})

	It("does not use an idle connection that the peer has closed", func() {
		used := echoOnce("1")
		addr := server.Addr()
		Expect(server.Close()).To(Succeed())
		var err error
		Eventually(func() error {
			server, err = Listen(addr, creds, handler)
			return err
		}).Should(Succeed())
		time.Sleep(idleCheckAfter) // idle connections are checked only after this time
		Expect(echoOnce("2")).NotTo(BeIdenticalTo(used))
	})

	It("accepts only requests over TCP, and only with a certificate", func() {
		c, err := (&tcpPeer{}).dial(ctx, creds, server.Addr())
		Expect(err).NotTo(HaveOccurred())
		_, err = c.tls.Write([]byte{byte(wire.KindRelease)})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.tls.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse())
		raw, err := net.Dial("tcp", server.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		_, _ = raw.Write([]byte{byte(wire.KindRequest)})
		_ = raw.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = io.Copy(io.Discard, raw)
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse())
		Expect(handler.maxActive.Load()).To(BeZero())
	})
})
