package main

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address. It can make all open ones silent: they stay open and carry nothing any more,
// while new ones work.
type proxy struct {
	target  string
	address string
	// onData is called with each piece that a client sends, before it is passed on; nil for none.
	onData func(data []byte)

	mu    sync.Mutex
	links map[*link]bool
}

// link is a pair of connections.
type link struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func (b *bench) startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, address: l.Addr().String(), links: map[*link]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	b.onClose(func() {
		_ = l.Close() // the process ends soon
		p.mu.Lock()
		defer p.mu.Unlock()
		for k := range p.links {
			_, _ = k.client.Close(), k.server.Close()
		}
	})
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close() // the client sees that the target is down
		return
	}
	k := &link{client: client, server: server}
	p.mu.Lock()
	p.links[k] = true
	p.mu.Unlock()
	go k.pass(server, client, p.onData)
	k.pass(client, server, nil)
}

// pass copies one direction until the connection ends. After that, or once the link is silent, the other side learns nothing
// unless it still works.
func (k *link) pass(to, from net.Conn, onData func([]byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && onData != nil {
			onData(bytes.Clone(buffer[:n]))
		}
		k.mu.Lock()
		silent := k.silent
		k.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if silent {
			_ = from.Close() // the other side stays silent
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.Close() // each side of an HTTP connection ends with the other
			}
			return
		}
	}
}

// silence makes all open connections silent and returns their number.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.links {
		k.mu.Lock()
		k.silent = true
		k.mu.Unlock()
	}
	return len(p.links)
}
