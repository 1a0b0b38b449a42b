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

// methodHeartbeat is the JSON-RPC method with which two entries exchange membership messages.
const methodHeartbeat = "heartbeat"

// maxClientConns covers 5 heartbeat partners, one probe of a suspected, dead or left member, and connections to former
// partners that are not closed yet.
const maxClientConns = 16

// heartbeat is the parameter and the result of methodHeartbeat; Data is an encoded message.
type heartbeat struct {
	Data []byte `json:"data"`
}

// Client sends heartbeats over one connection to each peer and fetches bundle texts.
type Client struct {
	TLS     *tls.Config
	Timeout time.Duration // limit for one heartbeat, after which its connection is closed

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
	lru   []string // keys of conns, the least recently used one first
}

// Send sends a heartbeat to a peer and returns its reply. After an error, the next call opens a new connection.
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
		c.closeConn(conn)
		return reply, err
	}
	return Decode(out.Data)
}

// Close closes the connections of heartbeats.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // it may be closed already
	}
	c.conns, c.lru = nil, nil
}

// connect returns the open connection to a peer or dials a new one.
func (c *Client) connect(ctx context.Context, to bergamotmember.Peer) (conn *jsonrpc2.Conn, err error) {
	key := to.Name() + " " + to.Address()
	c.mu.Lock()
	conn, ok := c.conns[key]
	c.mu.Unlock()
	if ok {
		c.markUsed(key, conn)
		return conn, nil
	}
	cfg := c.TLS.Clone()
	cfg.ServerName = to.Name()
	dialer := &tls.Dialer{NetDialer: &net.Dialer{}, Config: cfg}
	raw, err := dialer.DialContext(ctx, "tcp", to.Address())
	if err != nil {
		return nil, err
	}
	conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(deadlineConn{raw, callTimeout}, frameCodec{maxFrameBytes}), ignoreRequests{}, discardLog)
	c.markUsed(key, conn)
	return conn, nil
}

// markUsed makes a connection the most recently used one and closes the least recently used ones above maxClientConns.
func (c *Client) markUsed(key string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*jsonrpc2.Conn{}
	}
	if old, ok := c.conns[key]; ok && old != conn {
		_ = old.Close() // it may be closed already
	}
	c.conns[key] = conn
	c.removeFromLRU(key)
	c.lru = append(c.lru, key)
	for len(c.lru) > maxClientConns {
		_ = c.conns[c.lru[0]].Close() // it may be closed already
		delete(c.conns, c.lru[0])
		c.lru = c.lru[1:]
	}
}

func (c *Client) removeFromLRU(key string) {
	for n, k := range c.lru {
		if k == key {
			c.lru = append(c.lru[:n:n], c.lru[n+1:]...)
			return
		}
	}
}

// closeConn closes a connection and removes it from the client.
func (c *Client) closeConn(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, held := range c.conns {
		if held == conn {
			delete(c.conns, key)
			c.removeFromLRU(key)
		}
	}
	_ = conn.Close() // it may be closed already
}

// discardLog stops jsonrpc2 from logging to standard error; failures are returned and counted instead.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// ignoreRequests is the handler on the client side, where no requests are expected.
type ignoreRequests struct{}

// Handle does nothing.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
