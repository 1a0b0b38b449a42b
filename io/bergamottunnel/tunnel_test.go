package bergamottunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotdetour"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamottunnel"
)

// runner accepts connections and lets a spec act on each.
type runner struct {
	net.Listener
	accepted chan *net.TCPConn
}

func newRunner() *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r := &runner{Listener: l, accepted: make(chan *net.TCPConn, 8)}
	go func() {
		defer close(r.accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.accepted <- c.(*net.TCPConn)
		}
	}()
	ginkgo.DeferCleanup(func() {
		_ = l.Close() // a spec may have closed it
		for c := range r.accepted {
			_ = c.Close()
		}
	})
	return r
}

func (r *runner) address() string { return r.Addr().String() }

// lender gives the same answer to all.
type lender bergamotdetour.Answer

func (l lender) Lend(bergamottunnel.Loan) (bergamotdetour.Answer, time.Duration) {
	return bergamotdetour.Answer(l), 0
}

// helpers are the entries of a spec, asked in their order.
type helpers struct {
	mu      sync.Mutex
	list    []bergamotdetour.Helper
	answers []bergamotdetour.Answer

	clock    *bergamotclock.Virtual // of the links of the entries that are added, nil for the real one
	late     bool                   // one that can help is found while a connection waits
	noMemory bool                   // the entries that are added have none
}

func (h *helpers) Next(asked []string, _ time.Duration) (bergamotdetour.Helper, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := slices.IndexFunc(h.list, func(e bergamotdetour.Helper) bool { return !slices.Contains(asked, e.Name()) })
	if n < 0 {
		return bergamotdetour.Helper{}, false
	}
	return h.list[n], true
}

// Wait adds an entry that can help, if the spec has one that is found late.
func (h *helpers) Wait(context.Context, time.Duration) {
	if h.late {
		h.add(bergamotdetour.AnswerConnected)
	}
}

// account has memory for some connections unless the spec wants none.
func (h *helpers) account() *bergamotaccount.Account {
	return &bergamotaccount.Account{Max: map[bool]int64{false: 1 << 20}[h.noMemory], Clock: bergamotclock.Real{}}
}

func (h *helpers) Record(_ bergamotdetour.Helper, a bergamotdetour.Answer, _ time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

func newLinks() *bergamotdetour.Links { return &bergamotdetour.Links{Clock: bergamotclock.Real{}} }

// lose makes links lost.
func lose(l *bergamotdetour.Links) *bergamotdetour.Links {
	l.Missed("x", false, bergamotdetour.AnswerConnected)
	l.Missed("y", false, bergamotdetour.AnswerConnected)
	return l
}

// add adds an entry that gives an answer; it knows that its own links are lost if that is AnswerCut.
func (h *helpers) add(a bergamotdetour.Answer) *httptest.Server {
	handler := &bergamottunnel.Handler{Dial: (&net.Dialer{}).DialContext, Lender: lender(a), Links: newLinks(), Account: h.account()}
	if h.clock != nil {
		handler.Links.Clock = h.clock
	}
	switch a {
	case bergamotdetour.AnswerCut:
		lose(handler.Links)
	case bergamotdetour.AnswerSilent:
		handler.OnAnswer = func(bergamottunnel.Loan, bergamotdetour.Answer) { panic(http.ErrAbortHandler) } // closes the connection
	case bergamotdetour.AnswerRefused:
		handler.Lender, handler.Dial = lender(bergamotdetour.AnswerConnected), refuse
	case bergamotdetour.AnswerUnreached:
		handler.Lender, handler.Dial = lender(bergamotdetour.AnswerConnected), giveUp
	default:
	}
	server := httptest.NewServer(&killable{Handler: handler})
	address := strings.TrimPrefix(server.URL, "http://")
	ginkgo.DeferCleanup(server.Close)
	h.list = append(h.list, bergamotdetour.NewHelper(address, address, "a"))
	return server
}

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

func refuse(context.Context, string, string) (net.Conn, error) { return nil, errRefused }

// giveUp fails like a connection that got no answer in time.
func giveUp(context.Context, string, string) (net.Conn, error) { return nil, context.DeadlineExceeded }

func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

type dialCase struct {
	direct  func(ctx context.Context, network, address string) (net.Conn, error) // nil for one that works
	lost    bool
	helpers []bergamotdetour.Answer
	answers []bergamotdetour.Answer // that are expected
	err     error                   // nil if a connection is expected
}

var _ = ginkgo.Describe("a connection to a runner", func() {
	type list = []bergamotdetour.Answer
	ok, cut, full := bergamotdetour.AnswerConnected, bergamotdetour.AnswerCut, bergamotdetour.AnswerFull
	unreached, refused, silent := bergamotdetour.AnswerUnreached, bergamotdetour.AnswerRefused, bergamotdetour.AnswerSilent
	// Guards against a cut entry that gives up while another one reaches the runner, against two detours, and against a dead runner for
	// which all entries are asked.
	bergamottest.Cases(map[string]dialCase{
		"is direct when that works":                           {helpers: list{ok}},
		"goes over a helper when it is refused":               {direct: refuse, helpers: list{ok}, answers: list{ok}},
		"goes over a helper when nothing answers":             {direct: hang, helpers: list{ok}, answers: list{ok}},
		"goes over the first helper that can help":            {direct: refuse, helpers: list{cut, silent, full, unreached, ok}, answers: list{cut, silent, full, unreached, ok}},
		"fails when two helpers do not reach the runner":      {direct: refuse, helpers: list{unreached, unreached, ok}, answers: list{unreached, unreached}, err: errRefused},
		"fails when no helper can help":                       {direct: refuse, helpers: list{cut, full}, answers: list{cut, full}, err: errRefused},
		"is not tried directly without links":                 {lost: true, helpers: list{ok}, answers: list{ok}},
		"fails without links when the runner is dead":         {lost: true, helpers: list{unreached, unreached}, answers: list{unreached, unreached}, err: bergamottunnel.ErrUnreached},
		"is refused without links when the process has ended": {lost: true, helpers: list{refused, refused}, answers: list{refused, refused}, err: syscall.ECONNREFUSED},
		"fails at once without links and without a helper":    {lost: true, helpers: list{cut}, answers: list{cut}, err: bergamottunnel.ErrNoHelper},
		"fails at once without links and without other entry": {lost: true, err: bergamottunnel.ErrNoHelper},
	}, func(c dialCase) {
		r, h, links := newRunner(), &helpers{}, newLinks()
		for _, a := range c.helpers {
			h.add(a)
		}
		if c.lost {
			lose(links)
		}
		d := &bergamottunnel.Dialer{Entry: "me", AskTimeout: time.Hour, Direct: c.direct, Links: links, Helpers: h, OnAnswer: func(bergamotdetour.Helper, string, bergamotdetour.Answer, time.Duration) {}}
		if d.Direct == nil {
			d.Direct = (&net.Dialer{}).DialContext
		}
		ctx, via := bergamottunnel.WithVia(context.Background())
		conn, err := d.Dial(ctx, "tcp", r.address())
		gomega.Expect(h.answers).To(gomega.Equal(c.answers))
		if c.err != nil {
			gomega.Expect(errors.Is(err, c.err)).To(gomega.BeTrue(), "%v", err)
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = conn.Close() }() // the runner answers with one byte
		gomega.Expect(via.Helper().Name() != "").To(gomega.Equal(len(c.answers) > 0))
		peer := <-r.accepted
		ginkgo.DeferCleanup(peer.Close)
		_, err = io.WriteString(conn, "?")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		got := make([]byte, 1)
		_, err = io.ReadFull(peer, got)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = peer.Write([]byte("!"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadFull(conn, got)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(got)).To(gomega.Equal("!"))
	})
})

type endCase struct {
	end  func(peer *net.TCPConn, server *httptest.Server)
	want error // of a read after the bytes that were sent
}

var _ = ginkgo.Describe("a connection over a helper", func() {
	const text = "the answer"
	// Guards against a broken answer that looks complete, and against a runner that is blamed for its helper.
	bergamottest.Cases(map[string]endCase{
		"ends as the runner closes it": {func(peer *net.TCPConn, _ *httptest.Server) { _ = peer.Close() }, io.EOF},
		"is reset as the runner resets it": {func(peer *net.TCPConn, _ *httptest.Server) {
			gomega.Expect(peer.SetLinger(0)).To(gomega.Succeed())
			_ = peer.Close()
		}, syscall.ECONNRESET},
		"breaks off with its helper": {func(_ *net.TCPConn, server *httptest.Server) { server.Config.Handler.(*killable).kill() }, bergamottunnel.ErrBroken},
	}, func(c endCase) {
		r, h := newRunner(), &helpers{}
		server := h.add(bergamotdetour.AnswerConnected)
		conn := dialOver(h, r)
		defer func() { _ = conn.Close() }() // it has ended
		peer := <-r.accepted
		ginkgo.DeferCleanup(func() { _ = peer.Close() }) // a spec may have closed it
		_, err := io.WriteString(peer, text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		got := make([]byte, len(text))
		_, err = io.ReadFull(conn, got)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(got)).To(gomega.Equal(text))
		c.end(peer, server)
		_, err = conn.Read(got)
		gomega.Expect(errors.Is(err, c.want)).To(gomega.BeTrue(), "%v", err)
		gomega.Expect(errors.Is(err, io.EOF)).To(gomega.Equal(errors.Is(c.want, io.EOF)), "a reader would take %v for the end of the answer", err)
	})

	// Guards against a sound runner that counts as dead because two entries that are cut too do not reach it.
	ginkgo.It("is not judged by a helper that reaches no runner itself", func() {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		h := &helpers{clock: clock}
		h.add(bergamotdetour.AnswerRefused)
		d := &bergamottunnel.Dialer{Entry: "me", AskTimeout: time.Hour, Direct: refuse, Links: lose(newLinks()), Helpers: h, OnAnswer: func(bergamotdetour.Helper, string, bergamotdetour.Answer, time.Duration) {}}
		for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
			clock.Advance(100 * time.Millisecond)
			_, err := d.Dial(context.Background(), "tcp", address)
			gomega.Expect(err).To(gomega.HaveOccurred())
		}
		gomega.Expect(h.answers).To(gomega.Equal([]bergamotdetour.Answer{bergamotdetour.AnswerRefused, bergamotdetour.AnswerRefused, bergamotdetour.AnswerCut}))
	})

	// Guards against runners that count as dead for a second because the only entry that was asked is cut too.
	ginkgo.It("is tried again when only one helper did not reach the runner", func() {
		h, links := &helpers{}, newLinks()
		h.add(bergamotdetour.AnswerRefused)
		d := &bergamottunnel.Dialer{Entry: "me", AskTimeout: time.Hour, Direct: refuse, Links: links, Helpers: h, OnAnswer: func(bergamotdetour.Helper, string, bergamotdetour.Answer, time.Duration) {}}
		for range 2 {
			_, err := d.Dial(context.Background(), "tcp", "127.0.0.1:1")
			gomega.Expect(errors.Is(err, errRefused)).To(gomega.BeTrue(), "%v", err)
		}
		gomega.Expect(h.answers).To(gomega.HaveLen(2))
	})

	// Guards against a connection that fails in the moment of the cut, when the entries that are known are cut too.
	ginkgo.It("goes over a helper that is found while no other is left to ask", func() {
		r, h := newRunner(), &helpers{late: true}
		h.add(bergamotdetour.AnswerCut)
		conn := dialOver(h, r)
		defer func() { _ = conn.Close() }() // nothing was sent
		gomega.Expect(h.answers).To(gomega.Equal([]bergamotdetour.Answer{bergamotdetour.AnswerCut, bergamotdetour.AnswerConnected}))
	})

	// Guards against an answer of another entry that is none in HTTP and passes for one.
	ginkgo.It("is not opened by an entry whose answer is malformed", func() {
		r, h := newRunner(), &helpers{}
		server := httptest.NewServer(bergamotfake.NewRawHandler("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: bergamot-tunnel\r\nTunnel-Left : 1\r\n\r\n"))
		ginkgo.DeferCleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		h.list = append(h.list, bergamotdetour.NewHelper(address, address, "a"))
		d := &bergamottunnel.Dialer{Entry: "me", AskTimeout: time.Hour, Direct: refuse, Links: newLinks(), Helpers: h, OnAnswer: func(bergamotdetour.Helper, string, bergamotdetour.Answer, time.Duration) {}}
		_, err := d.Dial(context.Background(), "tcp", r.address())
		gomega.Expect(errors.Is(err, errRefused)).To(gomega.BeTrue(), "%v", err)
		gomega.Expect(h.answers).To(gomega.Equal([]bergamotdetour.Answer{bergamotdetour.AnswerSilent}))
	})

	// Guards against a helper that ends because it carries more than its memory allows.
	ginkgo.It("is not opened by a helper without memory", func() {
		r, h := newRunner(), &helpers{noMemory: true}
		h.add(bergamotdetour.AnswerConnected)
		d := &bergamottunnel.Dialer{Entry: "me", AskTimeout: time.Hour, Direct: refuse, Links: newLinks(), Helpers: h, OnAnswer: func(bergamotdetour.Helper, string, bergamotdetour.Answer, time.Duration) {}}
		_, err := d.Dial(context.Background(), "tcp", r.address())
		gomega.Expect(errors.Is(err, errRefused)).To(gomega.BeTrue(), "%v", err)
		gomega.Expect(h.answers).To(gomega.Equal([]bergamotdetour.Answer{bergamotdetour.AnswerFull}))
	})

	// Guards against a helper that takes a runner for cut off because the entry that asked has found another way.
	ginkgo.It("says nothing about the runner when the entry leaves before it is open", func() {
		links, begun, ended := newLinks(), make(chan struct{}, 1), make(chan bergamotdetour.Answer, 1)
		wait := func(ctx context.Context, network, address string) (net.Conn, error) {
			begun <- struct{}{}
			return hang(ctx, network, address)
		}
		handler := &bergamottunnel.Handler{Dial: wait, Lender: lender(bergamotdetour.AnswerConnected), Links: links, Account: (&helpers{}).account()}
		handler.OnAnswer = func(_ bergamottunnel.Loan, a bergamotdetour.Answer) { ended <- a }
		for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
			ctx, leave := context.WithCancel(context.Background())
			r := httptest.NewRequestWithContext(ctx, http.MethodGet, bergamottunnel.Path+"?to="+address, nil)
			go handler.ServeHTTP(httptest.NewRecorder(), r)
			gomega.Eventually(begun).Should(gomega.Receive())
			leave()
			gomega.Eventually(ended).Should(gomega.Receive(gomega.Equal(bergamotdetour.AnswerSilent)))
		}
		gomega.Expect(links.AreDoubtful()).To(gomega.BeFalse())
	})

	// Guards against tunnels that stay for a runner which has ended its answer and reads no more of the request.
	ginkgo.It("ends with the answer although the runner does not read the rest of the request", func() {
		h := &helpers{}
		handler := h.add(bergamotdetour.AnswerConnected).Config.Handler.(*killable).Handler.(*bergamottunnel.Handler)
		runner := &deafConn{begun: make(chan struct{}), closed: make(chan struct{})}
		handler.Dial = func(context.Context, string, string) (net.Conn, error) { return runner, nil }
		conn := dialOver(h, newRunner())
		defer func() { _ = conn.Close() }() // it has ended
		_, err := io.WriteString(conn, "?")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.MatchError(io.EOF))
		gomega.Eventually(handler.Open).WithTimeout(5 * time.Second).Should(gomega.BeZero())
	})

	// Guards against a helper that closes the tunnel while the request still arrives: that resets it, and the entry loses an answer that came
	// early and whole.
	ginkgo.It("takes the rest of the request when the runner has ended in order", func() {
		r, h := newRunner(), &helpers{}
		h.add(bergamotdetour.AnswerConnected)
		conn := dialOver(h, r)
		peer := <-r.accepted
		ginkgo.DeferCleanup(func() { _ = peer.Close() })
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write(make([]byte, 4<<20)) // does not fit into the buffers of connections that are not read
			written <- err
		}()
		_, err := io.ReadFull(peer, make([]byte, 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(peer.CloseWrite()).To(gomega.Succeed())
		_, err = conn.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.MatchError(io.EOF))
		gomega.Eventually(written).WithTimeout(10 * time.Second).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(conn.Close()).To(gomega.Succeed())
	})

	// Guards against a runner that goes on for a caller that has left.
	ginkgo.It("is closed at the runner when the entry closes it", func() {
		r, h := newRunner(), &helpers{}
		h.add(bergamotdetour.AnswerConnected)
		conn := dialOver(h, r)
		peer := <-r.accepted
		defer func() { _ = peer.Close() }() // it has ended
		gomega.Expect(conn.Close()).To(gomega.Succeed())
		_, err := peer.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.MatchError(io.EOF))
	})
})

// dialOver opens a connection to a runner over a helper.
func dialOver(h *helpers, r *runner) net.Conn {
	d := &bergamottunnel.Dialer{Entry: "me", AskTimeout: time.Hour, Direct: refuse, Links: newLinks(), Helpers: h, OnAnswer: func(bergamotdetour.Helper, string, bergamotdetour.Answer, time.Duration) {}}
	conn, err := d.Dial(context.Background(), "tcp", r.address())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

// deafConn is a connection to a runner that closes its direction once something waits to be sent to it, and reads nothing.
type deafConn struct {
	net.Conn
	begun, closed chan struct{}
	once          sync.Once
}

func (c *deafConn) Read([]byte) (int, error) {
	<-c.begun
	return 0, io.EOF
}

func (c *deafConn) Write([]byte) (int, error) {
	close(c.begun)
	<-c.closed
	return 0, net.ErrClosed
}

func (c *deafConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// killable closes the connection of its last request as the end of the process would.
type killable struct {
	http.Handler
	mu   sync.Mutex
	last net.Conn
}

func (k *killable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.Handler.ServeHTTP(&hijackRecorder{w, k}, r)
}

func (k *killable) kill() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.last.Close()
}

// hijackRecorder remembers the connection that a handler takes over.
type hijackRecorder struct {
	http.ResponseWriter
	k *killable
}

func (w *hijackRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, b, err := w.ResponseWriter.(http.Hijacker).Hijack()
	w.k.mu.Lock()
	defer w.k.mu.Unlock()
	w.k.last = c
	return c, b, err
}
