//go:build crowd

package bergamotcrowd

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// sendBuffer is the size of a client's send buffer in bytes. It limits what is sent but has not reached the process; with
	// less than a few segments of the loopback interface each write waits for a delayed acknowledgement.
	sendBuffer = 256 << 10
	// idleReceiveBuffer is the size of the receive buffer in bytes of a client that does not read its answer. It is small,
	// so that the answer stays in the process.
	idleReceiveBuffer = 4 << 10
)

// load is what a number of clients send, each on a connection of its own.
type load struct {
	clients int
	target  func(d *deployment) string // address, the one for callers if nil
	begin   func(d *deployment, n int, w io.Writer) error
	// finish sends the rest after all clients have sent what begin sends, so that all parts are held at the same time; nil
	// for none.
	finish func(d *deployment, n int, w io.Writer) error
	// readsNothing says that clients take only the first byte of their answers, which shows that the process has the answer.
	// Each client begins when the one before it has got so far.
	readsNothing bool
}

// client is one connection of a load.
type client struct {
	conn  net.Conn
	ended chan struct{} // closed when the answer is over or the connection is closed

	mu     sync.Mutex
	answer []byte // its first bytes
}

// crowd is a load whose connections are open.
type crowd struct {
	load    load
	target  *deployment
	clients []*client
}

// open begins the load and returns when all clients have sent their first part or lost their connections. The connections
// stay open until close.
func (l load) open(ctx context.Context, d *deployment) *crowd {
	c := &crowd{load: l, target: d, clients: make([]*client, l.clients*d.machine.scale)}
	ginkgo.DeferCleanup(c.close)
	address := d.front
	if l.target != nil {
		address = l.target(d)
	}
	for n := range c.clients {
		c.clients[n] = dial(ctx, address, l.readsNothing)
	}
	c.each(ctx, func(n int, w io.Writer) error { return l.begin(d, n, w) })
	if l.finish != nil {
		c.each(ctx, func(n int, w io.Writer) error { return l.finish(d, n, w) })
	}
	return c
}

// dial opens a connection; one that is refused counts as lost.
func dial(ctx context.Context, address string, readsNothing bool) *client {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		set := func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
			if err == nil && readsNothing {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, idleReceiveBuffer)
			}
		}
		if controlErr := c.Control(set); controlErr != nil {
			return controlErr
		}
		return err
	}}
	c := &client{ended: make(chan struct{})}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		close(c.ended)
		return c
	}
	c.conn = conn
	if !readsNothing {
		go c.read()
	}
	return c
}

// read reads the answer to its end and keeps its beginning.
func (c *client) read() {
	defer close(c.ended)
	buffer := make([]byte, 4<<10)
	for {
		n, err := c.conn.Read(buffer)
		c.mu.Lock()
		c.answer = append(c.answer, buffer[:min(n, 16-len(c.answer))]...)
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// firstBytes returns the beginning of the answer.
func (c *client) firstBytes() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.answer)
}

// each calls send for all clients and waits until each has sent its part or lost its connection. The process is free to
// refuse, so errors of connections are ignored.
func (c *crowd) each(ctx context.Context, send func(n int, w io.Writer) error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var active sync.WaitGroup
		for n, client := range c.clients {
			if client.conn == nil {
				continue
			}
			if c.load.readsNothing {
				if send(n, client.conn) == nil {
					_, _ = client.conn.Read(make([]byte, 1))
				}
				continue
			}
			active.Go(func() { _ = send(n, client.conn) })
		}
		active.Wait()
	}()
	gomega.Eventually(ctx, done).Should(gomega.BeClosed(), c.target.entry.log.tail)
}

// connected returns how many clients still have their connections, which is not known of those that read nothing.
func (c *crowd) connected() (n int) {
	for _, client := range c.clients {
		select {
		case <-client.ended:
		default:
			n++
		}
	}
	return n
}

// close closes all connections.
func (c *crowd) close() {
	for _, client := range c.clients {
		if client != nil && client.conn != nil {
			_ = client.conn.Close() // the process may have closed it
		}
	}
}
