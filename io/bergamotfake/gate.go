package bergamotfake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A Cut is what happens to the connections of an entry to the targets.
type Cut string

// Cuts of a Gate.
const (
	CutNone   Cut = ""
	CutHang   Cut = "hang"   // nothing passes, not even the end of a connection, and new ones get no answer
	CutReset  Cut = "reset"  // open and new connections are reset
	CutRefuse Cut = "refuse" // open connections live on, and new ones are refused
)

// A Gate is the way of one entry to the targets. The entry opens its connections with the function that GateDialer returns.
type Gate struct {
	listener net.Listener

	mu      sync.Mutex
	cut     Cut
	only    map[string]bool // addresses of the targets that are cut off, empty for all
	changed chan struct{}
	pairs   map[*gatePair]bool
}

// gatePair is a connection of an entry and the one to its target.
type gatePair struct {
	address string
	entry   *net.TCPConn
	target  *net.TCPConn
}

// gateConnected is the answer of a gate to the address of a target; it closes the connection without one if the target refuses.
const gateConnected = 'c'

// NewGate returns an open gate on a loopback port, until Close.
func NewGate() (g *Gate, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g = &Gate{listener: l, changed: make(chan struct{}), pairs: map[*gatePair]bool{}}
	go g.serve()
	return g, nil
}

// Address returns the host and port of the gate.
func (g *Gate) Address() string { return g.listener.Addr().String() }

// SetCut cuts the entry off from the targets at some addresses, from all if there are none, and replaces the cut before.
func (g *Gate) SetCut(cut Cut, only ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut, g.only = cut, map[string]bool{}
	for _, address := range only {
		g.only[address] = true
	}
	close(g.changed)
	g.changed = make(chan struct{})
	for p := range g.pairs {
		if g.cutOf(p.address) == CutReset {
			p.reset()
		}
	}
}

// Close closes the port and resets all connections.
func (g *Gate) Close() {
	_ = g.listener.Close() // the port is released either way
	g.SetCut(CutReset)
}

// cutOf returns the cut of the way to an address. The caller holds the lock.
func (g *Gate) cutOf(address string) Cut {
	if len(g.only) > 0 && !g.only[address] {
		return CutNone
	}
	return g.cut
}

// wait waits until the way to an address does not hang, and returns its cut.
func (g *Gate) wait(address string) Cut {
	for {
		g.mu.Lock()
		cut, changed := g.cutOf(address), g.changed
		g.mu.Unlock()
		if cut != CutHang {
			return cut
		}
		<-changed
	}
}

func (g *Gate) serve() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.pass(c.(*net.TCPConn))
	}
}

// pass opens the connection to the target that an entry names, and passes bytes both ways until it ends.
func (g *Gate) pass(entry *net.TCPConn) {
	defer func() { _ = entry.Close() }() // it has ended
	in := bufio.NewReader(entry)
	address, err := in.ReadString('\n')
	if err != nil {
		return
	}
	p := &gatePair{address: strings.TrimSuffix(address, "\n"), entry: entry}
	switch g.wait(p.address) {
	case CutRefuse:
		return
	case CutReset:
		_ = entry.SetLinger(0) // it may be closed already
		return
	default:
	}
	target, err := net.Dial("tcp", p.address)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }() // it has ended
	p.target = target.(*net.TCPConn)
	defer g.remove(p)
	if !g.add(p) {
		return
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		g.copyStream(p, p.target, in)
	}()
	g.copyStream(p, p.entry, p.target)
	<-sent
}

func (g *Gate) remove(p *gatePair) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pairs, p)
}

// add tells the entry that a connection is open, or resets it.
func (g *Gate) add(p *gatePair) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cutOf(p.address) == CutReset {
		p.reset()
		return false
	}
	g.pairs[p] = true
	_, err := p.entry.Write([]byte{gateConnected})
	return err == nil
}

// copyStream passes one direction. A connection that ends in order ends so on the other side too, and any other is reset there.
func (g *Gate) copyStream(p *gatePair, to *net.TCPConn, from io.Reader) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		g.wait(p.address)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite() // it may be closed already
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

// reset resets both connections.
func (p *gatePair) reset() {
	for _, c := range []*net.TCPConn{p.entry, p.target} {
		_, _ = c.SetLinger(0), c.Close() // it may be closed already
	}
}

// GateDialer returns a function that opens connections through the gate at an address. It fails as an ordinary connect does.
func GateDialer(gate string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		// The function that runs when ctx ends may do so after the return, so that c must not be a result.
		c, err := (&net.Dialer{}).DialContext(ctx, network, gate)
		if err != nil {
			return nil, err
		}
		stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		if _, err = fmt.Fprintf(c, "%s\n", address); err == nil {
			_, err = io.ReadFull(c, make([]byte, 1))
		}
		switch {
		case !stop():
			err = ctx.Err()
		case err == nil:
			return c, nil
		case errors.Is(err, io.EOF):
			err = syscall.ECONNREFUSED
		default:
			err = syscall.ECONNRESET
		}
		_ = c.Close() // it is not used
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
}
