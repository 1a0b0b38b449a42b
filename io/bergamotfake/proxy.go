package bergamotfake

import (
	"net"
	"sync"
	"time"
)

// Link is the state of the connections through a Proxy.
type Link int

// States of a link.
const (
	LinkOpen   Link = iota
	LinkReset       // connections are closed at once
	LinkSilent      // nothing passes, and nothing is closed
	LinkMute        // only what callers send passes
	LinkSlow        // each piece takes linkDelay longer
)

const linkDelay = 150 * time.Millisecond

// Proxy passes connections on to one address and can make them misbehave.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	link    Link
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewProxy returns a proxy on a loopback port that passes connections on to target until Close.
func NewProxy(target string) (p *Proxy, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Address returns host and port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the state of all connections.
func (p *Proxy) Set(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.changed)
	p.changed = make(chan struct{})
	if link == LinkReset {
		p.closeAll()
	}
}

// Close ends all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // the port is gone either way
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *Proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close() // a connection that is closed already is what is wanted
	}
}

func (p *Proxy) state() (Link, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link, p.changed
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if link, _ := p.state(); link == LinkReset {
			_ = c.Close() // the caller sees a reset
			continue
		}
		t, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close() // the target is gone
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[t] = true, true
		p.mu.Unlock()
		go p.pass(t, c, true)
		go p.pass(c, t, false)
	}
}

// pass copies one direction; up tells that it comes from the caller.
func (p *Proxy) pass(to, from net.Conn, up bool) {
	defer func() {
		_, _ = to.Close(), from.Close() // either end may be closed already
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, to)
		delete(p.conns, from)
	}()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		for link, changed := p.state(); link == LinkSilent || link == LinkMute && !up; link, changed = p.state() {
			<-changed
		}
		if link, _ := p.state(); link == LinkSlow {
			<-time.After(linkDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
