package bergamotlimit

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamottest"
)

var _ = ginkgo.Describe("a connection that is given up between the head of a request and its handler", func() {
	// Guards against a whole request whose connection is closed without an answer or a refusal.
	bergamottest.Cases(map[string]string{
		"refuses a request without a body": post("/", "", ""),
		"refuses a request with its body":  post("/", "Content-Length: 2\r\n", "ab"),
	}, func(text string) {
		conn := newRigWith(64<<20, 10, func(g *rig) {
			follow := g.server.ConnState
			g.server.ConnState = func(c net.Conn, state http.ConnState) {
				follow(c, state)
				if state == http.StateActive {
					c.(*Conn).evict(bergamotaccount.CauseStalled)
				}
			}
		}).dial()
		conn.send(text)
		status, _ := conn.receive()
		gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		status, _ = conn.receive()
		gomega.Expect(status).To(gomega.BeZero())
	})
})

var _ = ginkgo.Describe("a kept connection that the server closes while it reads the next request", func() {
	// Guards against a request that is run although its connection is closed, so that its caller gets no answer and sends it again.
	ginkgo.It("does not run the request", func() {
		var active, run atomic.Int32
		conn := newRigWith(64<<20, 10, func(g *rig) {
			g.server.Handler = handler{http.HandlerFunc(func(http.ResponseWriter, *http.Request) { run.Add(1) })}
			follow := g.server.ConnState
			g.server.ConnState = func(c net.Conn, state http.ConnState) {
				// A server that stops closes the connections that it has seen idle.
				if state == http.StateActive && active.Add(1) == 2 {
					gomega.Expect(c.Close()).To(gomega.Succeed())
				}
				follow(c, state)
			}
		}).dial()
		conn.send(post("/", "", ""))
		status, _ := conn.receive()
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		conn.send(post("/", "", ""))
		status, _ = conn.receive()
		gomega.Expect(status).To(gomega.BeZero())
		gomega.Expect(run.Load()).To(gomega.BeEquivalentTo(1))
	})
})
