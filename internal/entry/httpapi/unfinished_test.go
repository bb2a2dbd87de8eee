package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/connlimit"
	"snipegw/internal/result"
)

// sendUnfinished sends a POST whose body lacks its last byte, and returns the response.
func (g *gateway) sendUnfinished(path string, size int, header ...string) reply {
	ginkgo.GinkgoHelper()
	c, err := net.Dial("tcp", g.Addr())
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n%s",
		path, teamToken, size, strings.Join(header, ""), strings.Repeat("x", size-1))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return reply{status: resp.StatusCode, header: resp.Header, code: resp.Header.Get(HeaderCode), body: string(data)}
}

var _ = ginkgo.Describe("requests whose body does not arrive", func() {
	// Guards against a refusal that does not say that the request has not run, or that runs it.
	ginkgo.It("are refused as overloaded when clients hold too much", func() {
		agents := startAgents(1, 1, answer)
		g := startGateway(agents, func(o *Options) { o.Clients = connlimit.New(100_000, 100, nil) })
		expectRefusal(g.sendUnfinished(requestPathPrefix+"/x", 50_000), result.Overloaded)
		Expect(agents.runs.Load()).To(BeZero())
		Expect(g.call("POST", requestPathPrefix+"/x", "body").status).To(Equal(http.StatusOK))
	})

	// Guards against a body that keeps its request open beyond the time limit of the call.
	ginkgo.It("end with their time limit", func() {
		agents := startAgents(1, 1, answer)
		g := startGateway(agents)
		expectRefusal(g.sendUnfinished(requestPathPrefix+"/x", 1000, HeaderTimeout+": 100\r\n"), result.DeadlineNotRun)
		Expect(agents.runs.Load()).To(BeZero())
	})
})
