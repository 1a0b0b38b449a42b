package bergamotlimit

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
)

type exchangeCase struct {
	sends  []string // each is sent after the answer to the one before
	status []int    // of the answers, 0 for a closed connection
	cause  string   // that is counted, empty for none
}

var _ = ginkgo.Describe("a server with limits", func() {
	const room = 64 << 20
	large := strings.Repeat("0123456789", 50_000)
	sized := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	const chunked = "Transfer-Encoding: chunked\r\n"
	ok, simple := http.StatusOK, post("/", "Content-Length: 2\r\n", "ab")
	// Guards against refusals that are lost by a reset, connections that a sound client loses, requests that are lost or answered
	// twice, and handlers that hang on a body which never ends.
	bergamottest.Cases(map[string]exchangeCase{
		"answers one request after the other":                    {sends: []string{simple, simple, simple}, status: []int{ok, ok, ok}},
		"answers pipelined requests":                             {sends: []string{simple + simple + simple + simple}, status: []int{ok, ok, ok, ok}},
		"answers pipelined requests with long heads":             {sends: []string{strings.Repeat(post("/", lines(900)+sized(2), "ab"), 3)}, status: []int{ok, ok, ok}},
		"answers a head of 4,000 lines":                          {sends: []string{post("/", lines(4000)+sized(2), "ab"), simple}, status: []int{ok, ok}},
		"answers a chunked body":                                 {sends: []string{post("/", chunked, "3\r\nabc\r\n0\r\n\r\n"), simple}, status: []int{ok, ok}},
		"refuses a head with more lines than a legal one":        {sends: []string{post("/", lines(4200), "")}, status: []int{431, 0}, cause: "lines"},
		"refuses a head with more bytes than a legal one":        {sends: []string{post("/", "A: "+strings.Repeat("x", 40_000)+"\r\n", "")}, status: []int{431, 0}},
		"refuses a head that is none":                            {sends: []string{"no head\r\n\r\n" + strings.Repeat("x", 50_000)}, status: []int{400, 0}},
		"keeps the connection after it refuses a small body":     {sends: []string{post("/refuse", sized(2), "ab"), simple}, status: []int{401, ok}},
		"keeps pipelined requests after it refuses a small body": {sends: []string{post("/refuse", sized(2), "ab") + simple + simple}, status: []int{401, ok, ok}},
		"keeps the connection after it refuses no body":          {sends: []string{post("/refuse", sized(0), ""), simple}, status: []int{401, ok}},
		"delivers a refusal while a large body arrives":          {sends: []string{post("/refuse", sized(len(large)), large)}, status: []int{401, 0}},
		"delivers a refusal while a large chunk arrives":         {sends: []string{post("/refuse", chunked, "80000\r\n"+large)}, status: []int{401, 0}},
		"delivers a refusal of a large body that stops":          {sends: []string{post("/refuse", sized(len(large)), "a")}, status: []int{401, 0}},
		"delivers a refusal of a small body that stops":          {sends: []string{post("/refuse", sized(10), "a")}, status: []int{401, 0}},
		"delivers a refusal of a chunked body that stops":        {sends: []string{post("/refuse", chunked, "3\r\na")}, status: []int{401, 0}},
		"delivers a refusal of a body that waits for permission": {sends: []string{post("/refuse", sized(10)+"Expect: 100-continue\r\n", "")}, status: []int{401, 0}},
		"delivers a refusal of a body over the limit":            {sends: []string{post("/", chunked, strings.Repeat("80000\r\n"+large[:400_000]+strings.Repeat("x", 0x80000-400_000)+"\r\n", 3))}, status: []int{503, 0}},
	}, func(c exchangeCase) {
		g := newRig(room, 10)
		conn := g.dial()
		for _, text := range c.sends {
			done := make(chan struct{})
			go func() {
				defer close(done)
				conn.send(text)
			}()
			ginkgo.DeferCleanup(func() { <-done })
			if len(c.sends) == len(c.status) {
				status, _ := conn.receive()
				gomega.Expect(status).To(gomega.Equal(c.status[0]))
				c.status, c.sends = c.status[1:], c.sends[1:]
			}
		}
		for _, want := range c.status {
			status, _ := conn.receive()
			gomega.Expect(status).To(gomega.Equal(want))
		}
		if c.cause != "" {
			gomega.Expect(g.count(c.cause)).To(gomega.Equal(1))
		}
	})

	// Guards against a client that reads nothing and holds its request, and so a runner, for as long as it likes.
	ginkgo.It("ends an answer that its client does not read", func() {
		g := newRig(room, 10)
		g.dial().send(post("/flood", "", ""))
		gomega.Eventually(func() int { return g.count("write") }).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
		gomega.Eventually(g.listener.Conns).WithTimeout(5 * time.Second).Should(gomega.BeZero())
	})
})

type slowSenderCase struct {
	head string
	want int
}

var _ = ginkgo.Describe("a client that sends its whole body before it reads the answer", func() {
	// Guards against a reset by unread bytes, which makes the client fail before it reads the refusal.
	bergamottest.Cases(map[string]slowSenderCase{
		"gets the refusal of a declared body": {head: post("/refuse", "Content-Length: 400000\r\n", ""), want: 401},
		"gets the refusal of a chunked body":  {head: post("/refuse", "Transfer-Encoding: chunked\r\n", "61A80\r\n"), want: 401},
		"gets the refusal of a head":          {head: post("/refuse", lines(4200), ""), want: 431},
		"gets the refusal of what is no head": {head: "no head\r\n\r\n", want: 400},
	}, func(c slowSenderCase) {
		conn := newRig(64<<20, 10).dial()
		conn.send(c.head)
		_, err := conn.reader.Peek(1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for range 4 {
			<-time.After(20 * time.Millisecond)
			_, err = conn.Write(make([]byte, 100_000))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		status, _ := conn.receive()
		gomega.Expect(status).To(gomega.Equal(c.want))
	})
})

var _ = ginkgo.Describe("a client that goes on after a refusal", func() {
	// Guards against a client that keeps its connection for as long as it likes by neither reading nor closing.
	ginkgo.It("loses its connection when the time is over", func() {
		g := newRigWith(64<<20, 10, func(g *rig) { g.listener.DiscardTime = time.Millisecond })
		conn := g.dial()
		conn.send("no head\r\n\r\n")
		status, _ := conn.receive()
		gomega.Expect(status).To(gomega.Equal(http.StatusBadRequest))
		gomega.Eventually(g.listener.Conns).WithTimeout(5 * time.Second).Should(gomega.BeZero())
	})
})

type chargeCase struct {
	text string
	then string // sent after the answer
	min  int64  // charge of the connection beyond that of an idle one
	max  int64
}

var _ = ginkgo.Describe("the charge of a connection", func() {
	// Guards against heads that are not charged because they arrive with the end of another request, and against idle connections
	// that are charged for the lines of a body.
	const most = 1400 * lineBytes
	bergamottest.Cases(map[string]chargeCase{
		"is that of an idle one after a body of many lines":             {text: post("/", "Content-Length: 2000\r\n", strings.Repeat("\n", 2000))},
		"is that of an idle one with an ordinary head after many lines": {text: post("/", "Content-Length: 2000\r\n", strings.Repeat("\n", 2000)), then: "POST / HT"},
		"is that of an idle one after a head of many lines":             {text: post("/", lines(2000)+"Content-Length: 2\r\n", "ab")},
		"has a head that arrives":                                       {text: post("/", "", "") + post("/", lines(1000), "")[:3000], min: 100_000, max: most},
		"has a head that arrives after a body":                          {text: post("/", "Content-Length: 2\r\n", "ab") + post("/", lines(1000), "")[:3000], min: 100_000, max: most},
		"has a head that arrives after a chunked body":                  {text: post("/", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n") + post("/", lines(1000), "")[:3000], min: 100_000, max: most},
	}, func(c chargeCase) {
		g := newRig(64<<20, 10)
		conn := g.dial()
		conn.send(c.text)
		status, _ := conn.receive()
		gomega.Expect(status).To(gomega.Equal(200))
		conn.send(c.then)
		gomega.Consistently(g.account.Total).WithTimeout(50 * time.Millisecond).Should(gomega.BeNumerically("<=", connectionBytes+c.max))
		gomega.Eventually(g.account.Holders).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
		gomega.Eventually(g.account.Total).WithTimeout(5 * time.Second).Should(gomega.And(
			gomega.BeNumerically(">=", connectionBytes+c.min), gomega.BeNumerically("<=", connectionBytes+c.max)))
	})
})

type connectionsCase struct {
	idle     int // connections with an answered request
	heads    int // connections with an incomplete head
	active   int // connections with a request in progress
	lost     string
	refused  int
	replaced int
}

var _ = ginkgo.Describe("the limit of connections", func() {
	// Guards against clients that use up the descriptors of the process, and against requests in progress that are given up for
	// new connections.
	bergamottest.Cases(map[string]connectionsCase{
		"closes the connection that is idle for longest":          {idle: 2, heads: 1, active: 1, lost: "idle 0", replaced: 1},
		"closes the head that is incomplete for longest":          {heads: 2, active: 2, lost: "head 0", replaced: 1},
		"closes the new one while all have a request in progress": {active: 4, refused: 1},
	}, func(c connectionsCase) {
		g := newRig(64<<20, 4)
		ginkgo.DeferCleanup(func() { close(g.release) })
		conns := map[string]*client{}
		for i := range c.idle {
			conn := g.dial()
			conn.send(post("/", "", ""))
			status, _ := conn.receive()
			gomega.Expect(status).To(gomega.Equal(200))
			conns[fmt.Sprint("idle ", i)] = conn
			gomega.Eventually(g.idle).WithTimeout(5 * time.Second).Should(gomega.Equal(i + 1))
		}
		for i := range c.heads {
			conn := g.dial()
			conn.send("POST / HT")
			conns[fmt.Sprint("head ", i)] = conn
			gomega.Eventually(g.listener.Conns).WithTimeout(5 * time.Second).Should(gomega.Equal(c.idle + i + 1))
		}
		for i := range c.active {
			conn := g.dial()
			conn.send(post("/wait", "", ""))
			_, err := conn.reader.ReadString('w')
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			conns[fmt.Sprint("active ", i)] = conn
		}
		last := g.dial()
		last.send(post("/", "Content-Length: 2\r\n", "ab"))
		status, _ := last.receive()
		gomega.Expect(status == 200).To(gomega.Equal(c.refused == 0))
		gomega.Expect(g.count("connections")).To(gomega.Equal(c.refused))
		gomega.Expect(g.count("replaced")).To(gomega.Equal(c.replaced))
		if c.lost != "" {
			_, err := io.ReadAll(conns[c.lost])
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			delete(conns, c.lost)
		}
		for name, conn := range conns {
			gomega.Expect(conn.SetReadDeadline(time.Now().Add(20*time.Millisecond))).To(gomega.Succeed(), name)
			_, err := conn.reader.ReadByte()
			if !strings.HasPrefix(name, "active") {
				gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("timeout")), name)
			}
		}
	})
})

type pressureCase struct {
	first string // sent by many connections
	want  []int  // statuses that they may get
}

var _ = ginkgo.Describe("a server without free memory", func() {
	// Guards against stalled heads and bodies that keep the memory from an ordinary request, and against refusals that are not
	// delivered.
	bergamottest.Cases(map[string]pressureCase{
		"gives up bodies that stop":     {first: post("/", "Content-Length: 200000\r\n", strings.Repeat("x", 100_000)), want: []int{503}},
		"gives up chunked bodies":       {first: post("/", "Transfer-Encoding: chunked\r\n", "20000\r\n"+strings.Repeat("x", 0x20000)+"\r\n"), want: []int{503}},
		"gives up heads of short lines": {first: "POST / HTTP/1.1\r\n" + lines(3000), want: []int{503}},
		"gives up heads with open bodies": {
			first: post("/", lines(3000)+"Content-Length: 10\r\n", "x"), want: []int{503},
		},
		"gives up idle connections": {first: post("/", "", ""), want: []int{200}},
	}, func(c pressureCase) {
		const most = 4 << 20
		g := newRig(most, 1000)
		var conns []*client
		for range 150 {
			conn := g.dial()
			go conn.send(c.first)
			conns = append(conns, conn)
		}
		gomega.Eventually(func() int {
			return g.count("idle") + g.count("stalled") + g.count("largest") + g.count("slow") + g.count("full")
		}).WithTimeout(5 * time.Second).Should(gomega.BeNumerically(">", 0))
		for range 20 {
			conn := g.dial()
			conn.send(post("/", "Content-Length: 2\r\n", "ab"))
			status, body := conn.receive()
			gomega.Expect(status).To(gomega.Equal(200))
			gomega.Expect(body).To(gomega.Equal("ab"))
			gomega.Expect(conn.Close()).To(gomega.Succeed())
			gomega.Expect(g.account.Total()).To(gomega.BeNumerically("<=", most))
		}
		got := map[int]int{}
		for _, conn := range conns {
			gomega.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))).To(gomega.Succeed())
			status, _ := conn.receive()
			got[status]++
		}
		delete(got, 0)  // closed without an answer
		delete(got, -1) // still open
		for status := range got {
			gomega.Expect(c.want).To(gomega.ContainElement(status))
		}
		gomega.Expect(got).NotTo(gomega.BeEmpty())
	})
})
