package bergamotpeer

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"

	"bergamotspur/core/bergamotmember"
)

// methodHeartbeat is the JSON-RPC method that exchanges two messages.
const methodHeartbeat = "heartbeat"

// maxOut bounds the connections to others: 5 partners, one revival, and those that close after a rotation.
const maxOut = 16

// heartbeat is the parameter and the result of the method.
type heartbeat struct {
	Data []byte `json:"data"`
}

// Client sends heartbeats over one connection to each peer.
type Client struct {
	TLS     *tls.Config
	Timeout time.Duration // time after which a connection without a reply counts as dead

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
	order []string // peers, the one used last at the end
}

// Send exchanges a heartbeat with a peer. After a failure the next call opens a new connection.
func (c *Client) Send(ctx context.Context, to bergamotmember.Peer, m bergamotmember.Message) (reply bergamotmember.Message, err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "send to %s", to.Name()) }()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	conn, err := c.connect(ctx, to)
	if err != nil {
		return reply, err
	}
	var out heartbeat
	if err = conn.Call(ctx, methodHeartbeat, heartbeat{Data: Encode(m)}, &out); err != nil {
		c.drop(conn)
		return reply, err
	}
	return Decode(out.Data)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // it may be closed already
	}
	c.conns, c.order = nil, nil
}

func (c *Client) connect(ctx context.Context, to bergamotmember.Peer) (conn *jsonrpc2.Conn, err error) {
	key := to.Name() + " " + to.Address()
	c.mu.Lock()
	conn, ok := c.conns[key]
	c.mu.Unlock()
	if ok {
		c.use(key, conn)
		return conn, nil
	}
	cfg := c.TLS.Clone()
	cfg.ServerName = to.Name()
	dialer := &tls.Dialer{NetDialer: &net.Dialer{}, Config: cfg}
	raw, err := dialer.DialContext(ctx, "tcp", to.Address())
	if err != nil {
		return nil, err
	}
	conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(limited{raw, callTimeout}, frames{maxFrame}), refuse{}, quiet)
	c.use(key, conn)
	return conn, nil
}

// use notes a connection as the one used last and closes those beyond the bound.
func (c *Client) use(key string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*jsonrpc2.Conn{}
	}
	if old, ok := c.conns[key]; ok && old != conn {
		_ = old.Close() // it may be closed already
	}
	c.conns[key] = conn
	c.forget(key)
	c.order = append(c.order, key)
	for len(c.order) > maxOut {
		_ = c.conns[c.order[0]].Close() // it may be closed already
		delete(c.conns, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *Client) forget(key string) {
	for n, k := range c.order {
		if k == key {
			c.order = append(c.order[:n:n], c.order[n+1:]...)
			return
		}
	}
}

func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, held := range c.conns {
		if held == conn {
			delete(c.conns, key)
			c.forget(key)
		}
	}
	_ = conn.Close() // it may be closed already
}

// quiet keeps the library from writing to standard error; failures are returned and counted instead.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// refuse ignores requests that a server sends to a client.
type refuse struct{}

// Handle does nothing.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
