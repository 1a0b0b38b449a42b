package bergamotlimit

import (
	"net"
	"net/http"

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
