package bergamotlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamottest"
)

func TestLimit(t *testing.T) { bergamottest.Run(t, "limit") }

// rig is a server with limits on a port of its own.
type rig struct {
	account  *bergamotaccount.Account
	listener *Listener
	server   *http.Server
	release  chan struct{} // the requests for /wait end when it is closed

	mu     sync.Mutex
	causes map[string]int
}

const (
	rigHeaderBytes = 16 << 10
	rigMaxBody     = 1 << 20
)

func newRig(memory int64, conns int) *rig { return newRigWith(memory, conns, func(*rig) {}) }

// newRigWith returns a rig that prepare changes before it serves. Its clients may go on sending after a refusal for as long as
// a busy machine makes them.
func newRigWith(memory int64, conns int, prepare func(g *rig)) *rig {
	g := &rig{account: &bergamotaccount.Account{Max: memory, Clock: bergamotclock.Real{}}, release: make(chan struct{}), causes: map[string]int{}}
	g.account.OnEvict = func(e bergamotaccount.Eviction) { g.RecordLimit(string(e.Cause()), e.Kind(), e.Key(), e.Bytes()) }
	l, err := Listen("127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	g.listener = &Listener{
		Listener: l, Account: g.account, Clock: bergamotclock.Real{}, Recorder: g, MaxHeaderBytes: rigHeaderBytes,
		WriteTimeout: 200 * time.Millisecond, DiscardTime: time.Hour,
	}
	g.listener.SetMaxConns(conns)
	s := &Server{Handler: g, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, MaxHeaderBytes: rigHeaderBytes}
	g.server = s.New()
	prepare(g)
	done := make(chan error, 1)
	go func() { done <- g.server.Serve(g.listener) }()
	ginkgo.DeferCleanup(func() {
		gomega.Expect(g.server.Close()).To(gomega.Succeed())
		gomega.Expect(<-done).To(gomega.MatchError(http.ErrServerClosed))
		gomega.Eventually(g.account.Total).WithTimeout(5 * time.Second).Should(gomega.BeZero())
		gomega.Expect(g.listener.Conns()).To(gomega.BeZero())
	})
	return g
}

// RecordLimit counts a cause.
func (g *rig) RecordLimit(cause string, _ bergamotaccount.Kind, _ string, _ int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.causes[cause]++
}

func (g *rig) count(cause string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.causes[cause]
}

// ServeHTTP refuses /refuse without reading the body, answers /wait on release and /flood without end, and sends back the body
// of other requests.
func (g *rig) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	b := NewBody(control, r)
	defer b.End()
	refuse := func(status int) {
		w.Header().Set("Content-Length", "7")
		b.Refuse(w.Header())
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "refused")
	}
	switch r.URL.Path {
	case "/refuse":
		refuse(http.StatusUnauthorized)
		return
	case "/wait":
		_, _ = io.WriteString(w, "waiting")
		_ = control.Flush()
		<-g.release
		return
	case "/flood":
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}
	charge := g.account.Open(bergamotaccount.NewHolder(bergamotaccount.KindBody, "w", func(bergamotaccount.Cause) { b.Abort() }))
	defer charge.Close()
	head := b.HeadBytes()
	b.MoveHead()
	b.SetDeadline(time.Now().Add(5 * time.Second))
	data, err := bergamotaccount.ReadAll(b, charge, head, b.Length(), rigMaxBody)
	if err == nil {
		err = charge.Hold()
	}
	if err != nil {
		charge.Close()
		refuse(http.StatusServiceUnavailable)
		return
	}
	b.SetDeadline(time.Time{})
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	_, _ = w.Write(data)
}

// idle returns the number of connections between two requests.
func (g *rig) idle() (n int) {
	g.listener.mu.Lock()
	defer g.listener.mu.Unlock()
	for c := range g.listener.conns {
		if _, p, _ := c.rank(); p == phaseIdle {
			n++
		}
	}
	return n
}

// client is a connection to a rig.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (g *rig) dial() *client {
	c, err := net.Dial("tcp", g.listener.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.Close() })
	gomega.Expect(c.SetDeadline(time.Now().Add(6 * time.Second))).To(gomega.Succeed())
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

// send writes text; it fails where the server has closed the connection, which the answer shows.
func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// receive returns the status and the body of the next answer, 0 if the connection was closed, -1 if it stays silent.
func (c *client) receive() (status int, body string) {
	resp, err := http.ReadResponse(c.reader, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return -1, ""
	}
	if err != nil {
		return 0, ""
	}
	data, err := io.ReadAll(resp.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return resp.StatusCode, string(data)
}

func post(path, fields, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body
}

// lines returns n header lines that are as short as legal ones can be.
func lines(n int) string { return strings.Repeat("a:\r\n", n) }
