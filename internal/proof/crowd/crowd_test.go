package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/proof"
)

const (
	requestHost  = "entry"
	requestPath  = "/v1/services/booking/request/x"
	workflowHost = "queue.example"
	announcePath = "/api/Instances.Deregister/unknown"
	// answerTimeout limits one attempt of the ordinary request, sendTimeout the time in which a member sends, and
	// endTimeout all attempts. None is a property of the system: they end a test that would hang.
	answerTimeout = 20 * time.Second
	sendTimeout   = 30 * time.Second
	endTimeout    = 150 * time.Second
)

// requestHead returns a request without its body. The given lines, which end in CRLF, follow the other header lines.
func requestHead(method, path, host string, bodyBytes int, lines ...string) []byte {
	token := "Bearer " + proof.TeamToken("routes")
	if host == workflowHost {
		token = "Token workflow-token"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\n", method, path, host, token)
	switch {
	case bodyBytes < 0:
		head += "Transfer-Encoding: chunked\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	}
	return []byte(head + strings.Join(lines, "") + "\r\n")
}

const tokenCharacters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"

// differentLines returns header lines of 4 to 6 bytes with different names, of about the given size in all.
func differentLines(size int) string {
	var b strings.Builder
	n := len(tokenCharacters)
	for i := 0; b.Len() < size; i++ {
		for k := i; ; k = k/n - 1 {
			b.WriteByte(tokenCharacters[k%n])
			if k < n {
				break
			}
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// equalLines returns header lines with the same name, and foldedLines one value in many lines. The name is that of a
// field which is not passed on.
func equalLines(size int) string  { return strings.Repeat("te:\r\n", size/5) }
func foldedLines(size int) string { return "te:\r\n" + strings.Repeat(" \r\n", size/3) }

// chunked returns a body in chunks of the given size.
func chunked(body []byte, size int) []byte {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return []byte(b.String() + "0\r\n\r\n")
}

// member is one client of a crowd. It sends request without the last withheld bytes, in pieces of piece bytes (0: in
// one piece), and stays connected.
type member struct {
	request  []byte
	withheld int
	piece    int
}

// send connects and sends. Errors are not reported: a system may refuse any member and close its connection.
func (m member) send(address string) net.Conn {
	c, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	rest := m.request[:len(m.request)-m.withheld]
	for len(rest) > 0 {
		n := len(rest)
		if m.piece > 0 {
			n = min(n, m.piece)
		}
		if _, err := c.Write(rest[:n]); err != nil {
			break
		}
		rest = rest[n:]
	}
	return c
}

// readStatus returns the status of the final response, 0 if there is none.
func readStatus(r io.Reader) int {
	reader := bufio.NewReader(r)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0
		}
		if response.StatusCode >= http.StatusOK {
			return response.StatusCode
		}
	}
}

// serve checks that p survives a crowd of count clients that take turns in the roles of members, and that it answers
// an ordinary request while the crowd is connected, and afterwards. Before, each role is played once to its end:
// calm holds the status of each response.
func serve(t *testing.T, p *target, count int, members []member, calm ...int) {
	t.Helper()
	g := NewWithT(t)
	for i, m := range members {
		g.Expect(p.status(m.request)).To(Equal(calm[i%len(calm)]), "role %d in calm", i)
	}
	mostDescriptors := 0
	watchDone, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for {
			mostDescriptors = max(mostDescriptors, p.descriptors())
			select {
			case <-watchDone:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	connections := make([]net.Conn, count)
	var sending sync.WaitGroup
	for i := range count {
		sending.Go(func() { connections[i] = members[i%len(members)].send(p.address) })
	}
	sending.Wait()
	answered := func() int { return p.status(p.ordinary) }
	g.Eventually(answered, endTimeout, 50*time.Millisecond).Should(Equal(p.calm), "while the crowd is connected")
	for _, c := range connections {
		if c != nil {
			_ = c.Close()
		}
	}
	g.Eventually(answered, endTimeout, 50*time.Millisecond).Should(Equal(p.calm), "after the crowd")
	close(watchDone)
	<-watched
	peak, err := p.statusLine("VmHWM")
	g.Expect(err).NotTo(HaveOccurred(), "the process has ended")
	t.Logf("peak of resident memory %d MB of %d, most descriptors %d of %d", peak/1e6, p.machine.memory/1e6, mostDescriptors, p.machine.descriptors)
	g.Expect(peak).To(BeNumerically("<", p.machine.memory))
	g.Expect(mostDescriptors).To(BeNumerically("<", p.machine.descriptors))
}
