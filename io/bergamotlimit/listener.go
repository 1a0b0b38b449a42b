package bergamotlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bergamotspur/core/bergamotaccount"
)

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// Recorder records a refusal, an eviction or the close of a connection.
type Recorder interface {
	RecordLimit(cause string, kind bergamotaccount.Kind, key string, bytes int64)
}

// Listener bounds the connections of a server and accounts for them and for the heads of their requests.
type Listener struct {
	net.Listener
	Account        *bergamotaccount.Account
	Clock          Clock
	Recorder       Recorder
	MaxHeaderBytes int
	WriteTimeout   time.Duration // of a client that reads nothing, 0 for none; it may take twice as long
	DiscardTime    time.Duration // for which a client that was refused may go on sending, 0 for 2 s

	maxConns      atomic.Int64
	headerTimeout atomic.Int64 // in nanoseconds, 0 for that of the server
	idleTimeout   atomic.Int64 // the same

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen listens on an address with receive buffers of receiveBuffer bytes for its connections.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	// Connections inherit the size from the socket that accepts them.
	if s, ok := l.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			// The kernel's own size is used if it rejects this one.
			_ = raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
	}
	return l, nil
}

// SetMaxConns sets how many connections may be open at the same time. It takes effect on the next one that is accepted.
func (l *Listener) SetMaxConns(n int) { l.maxConns.Store(int64(n)) }

// SetTimeouts sets the time for a head and the time for which a connection may be idle, in place of those of the server; 0 leaves
// the server's. Connections that are idle now get the longer time too: their clients may count on it. It reports whether a time changed.
func (l *Listener) SetTimeouts(header, idle time.Duration) (changed bool) {
	changed = l.headerTimeout.Swap(int64(header)) != int64(header)
	if l.idleTimeout.Swap(int64(idle)) == int64(idle) {
		return changed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.extendIdle(idle)
	}
	return true
}

// Conns returns the number of open connections.
func (l *Listener) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Accept returns the next connection. Beyond the limit it closes the connection that has been idle for longest, else the one
// whose head has been incomplete for longest, else the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // the client was refused
	}
}

// admit returns a connection for raw, nil if there is no room for it.
func (l *Listener) admit(raw net.Conn) *Conn {
	for int64(l.Conns()) >= l.maxConns.Load() {
		c, p := l.oldest()
		if c == nil {
			l.record("connections", bergamotaccount.KindConnection, raw.RemoteAddr().String(), connectionBytes)
			return nil
		}
		if c.claim(p) {
			l.record("replaced", bergamotaccount.KindConnection, c.name, connectionBytes)
			l.remove(c)
		}
	}
	c := &Conn{Conn: raw, listener: l, name: raw.RemoteAddr().String(), since: l.Clock.Now()}
	c.charge = l.Account.Open(bergamotaccount.NewHolder(bergamotaccount.KindConnection, c.name, c.evict).WithFixed(connectionBytes))
	c.charge.Begin(bergamotaccount.KindHead)
	l.mu.Lock()
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if c.charge.Resize(connectionBytes) != nil {
		l.remove(c)
		return nil
	}
	return c
}

// oldest returns the connection to close for a new one with its phase, nil for none.
func (l *Listener) oldest() (oldest *Conn, p phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank, since := 0, time.Time{}
	for c := range l.conns {
		r, phase, s := c.rank()
		if r > rank || r > 0 && r == rank && s.Before(since) {
			oldest, p, rank, since = c, phase, r, s
		}
	}
	return oldest, p
}

// rank returns 2 for a connection without a request, 1 for one with an incomplete head, 0 for others, with the phase and its
// start.
func (c *Conn) rank() (rank int, p phase, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cause != "":
		return 0, c.phase, c.since
	case c.phase == phaseIdle || c.phase == phaseClosing:
		return 2, c.phase, c.since
	case c.phase == phaseHead || c.phase == phaseNew:
		return 1, c.phase, c.since
	default:
		return 0, c.phase, c.since
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Listener) maxLines() int { return maxLines(l.MaxHeaderBytes) }

func (l *Listener) record(cause string, kind bergamotaccount.Kind, key string, bytes int64) {
	l.Recorder.RecordLimit(cause, kind, key, bytes)
}
