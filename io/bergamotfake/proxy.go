package bergamotfake

import (
	"maps"
	"net"
	"sync"
	"time"
)

// A LinkState is the state of all connections through a Proxy.
type LinkState int

// States of the connections through a Proxy.
const (
	LinkOpen      LinkState = iota
	LinkReset               // connections are closed at once
	LinkSilent              // no data passes, and no connection is closed
	LinkNoReplies           // only data from callers passes
	LinkSlow                // each read is delayed by linkDelay
)

const linkDelay = 150 * time.Millisecond

// A Proxy forwards TCP connections to one address and can inject faults into them.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	link    LinkState
	changed chan struct{}
	conns   map[net.Conn]bool
	silent  map[net.Conn]bool // deliver nothing any more
}

// NewProxy returns a proxy that forwards connections from a loopback port to target until Close.
func NewProxy(target string) (p *Proxy, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Address returns the host and port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetLink changes the state of all connections.
func (p *Proxy) SetLink(link LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.changed)
	p.changed = make(chan struct{})
	if link == LinkReset {
		p.closeAll()
	}
}

// SilenceOpen makes the connections that are open now deliver nothing any more, while new ones work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.Copy(p.silent, p.conns)
}

func (p *Proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

// Close closes the port and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // the port is released either way
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *Proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close() // the connection may be closed already
	}
}

func (p *Proxy) linkState() (LinkState, chan struct{}) {
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
		if link, _ := p.linkState(); link == LinkReset {
			_ = c.Close() // the caller sees the connection close
			continue
		}
		t, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close() // the target cannot be reached
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[t] = true, true
		p.mu.Unlock()
		go p.copyStream(t, c, true)
		go p.copyStream(c, t, false)
	}
}

// copyStream copies one direction of a connection; fromCaller is set for the direction from the caller to the target.
func (p *Proxy) copyStream(to, from net.Conn, fromCaller bool) {
	defer func() {
		_, _ = to.Close(), from.Close() // either end may be closed already
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, to)
		delete(p.conns, from)
		delete(p.silent, to)
		delete(p.silent, from)
	}()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		for link, changed := p.linkState(); link == LinkSilent || link == LinkNoReplies && !fromCaller; link, changed = p.linkState() {
			<-changed
		}
		if link, _ := p.linkState(); link == LinkSlow {
			<-time.After(linkDelay)
		}
		if n > 0 && !p.isSilent(from) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
