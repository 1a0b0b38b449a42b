package bergamotlimit

import (
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamottest"
)

// deadlineConn records the last read deadline.
type deadlineConn struct {
	net.Conn
	by time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.by = t
	return nil
}

func (c *deadlineConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

type timeoutCase struct {
	header, idle time.Duration // set before the steps, 0 for those of the server
	later        time.Duration // idle time that is set after the steps, one second later, 0 for none
	isNew        bool          // no request has arrived yet
	arrives      bool          // the first byte of the next request has arrived
	want         time.Duration // until the deadline, from the start
}

var _ = ginkgo.Describe("the time for which a connection may be idle", func() {
	// Guards against requests on connections that were closed although the configuration lets callers use them that long: they get
	// neither an answer nor a refusal. The server of the cases allows 3 s for a head and 15 s between requests.
	bergamottest.Cases(map[string]timeoutCase{
		"is the server's without another one":         {want: 15 * time.Second},
		"is the one that was set":                     {idle: 40 * time.Second, want: 40 * time.Second},
		"becomes longer while the connection is idle": {later: 40 * time.Second, want: 40 * time.Second},
		"stays while the connection is idle":          {idle: 40 * time.Second, later: 20 * time.Second, want: 40 * time.Second},
		"ends with the first byte of a head":          {later: 40 * time.Second, arrives: true, want: 3 * time.Second},
		"is no time for a head":                       {header: 9 * time.Second, idle: 40 * time.Second, arrives: true, want: 9 * time.Second},
		"is no time for the first head":               {header: 9 * time.Second, later: 40 * time.Second, isNew: true, want: 9 * time.Second},
	}, func(c timeoutCase) {
		start := time.Unix(1000, 0)
		clock := bergamotclock.NewVirtual(start)
		account := &bergamotaccount.Account{Max: 1 << 20, Clock: clock}
		inner := &deadlineConn{}
		l := &Listener{Account: account, Clock: clock}
		l.SetMaxConns(1)
		conn := l.admit(inner)
		l.SetTimeouts(c.header, c.idle)
		if c.isNew {
			gomega.Expect(conn.SetReadDeadline(start.Add(3 * time.Second))).To(gomega.Succeed())
		} else {
			conn.setState(http.StateActive)
			conn.setState(http.StateIdle)
			gomega.Expect(conn.SetReadDeadline(start.Add(15 * time.Second))).To(gomega.Succeed())
		}
		if c.arrives {
			_, err := conn.endRead([]byte("P"), bufferSize, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(conn.SetReadDeadline(time.Time{})).To(gomega.Succeed())
			gomega.Expect(conn.SetReadDeadline(start.Add(3 * time.Second))).To(gomega.Succeed())
		}
		if c.later > 0 {
			clock.Advance(time.Second)
			l.SetTimeouts(c.header, c.later)
		}
		gomega.Expect(inner.by.Sub(start)).To(gomega.Equal(c.want))
	})
})
