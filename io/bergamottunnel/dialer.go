package bergamottunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"bergamotspur/core/bergamotdetour"
)

const (
	// fallbackDelay is the time after which a direct connection that has not been established is tried over a helper too. It takes
	// about a millisecond within a region.
	fallbackDelay = 20 * time.Millisecond
	// maxAsked is the largest number of helpers that are asked for one connection. Those that know that they cannot help say so at
	// once.
	maxAsked = 6
	// findTimeout is how long a connection waits once for other helpers when none is left to ask. Finding some takes a few milliseconds
	// between entries, and up to a tenth of a second if others have just been looked for.
	findTimeout = 120 * time.Millisecond
	// maxUnreached is the number of helpers that do not reach a runner after which it counts as dead.
	maxUnreached = 2
)

// Helpers chooses the entries that are asked for connections.
type Helpers interface {
	// Next returns the entry to ask next for a connection that must not break for a time, none of those that were asked before; ok is
	// false if there is none.
	Next(asked []string, need time.Duration) (h bergamotdetour.Helper, ok bool)
	// Record records the answer of an entry, and for how long it still helps if it is stopping.
	Record(h bergamotdetour.Helper, a bergamotdetour.Answer, left time.Duration)
	// Wait waits until other entries may have been found, for at most a timeout.
	Wait(ctx context.Context, timeout time.Duration)
}

// Dialer opens connections to runners, directly or over a helper. Nothing is sent on a connection before it is chosen, so that a
// request leaves over one of them only.
type Dialer struct {
	Entry   string // name of this entry
	Direct  func(ctx context.Context, network, address string) (net.Conn, error)
	Links   *bergamotdetour.Links
	Helpers Helpers
	// AskTimeout is how long a helper may take to answer, 0 for 100 ms.
	AskTimeout time.Duration
	// OnAnswer is called with each answer of a helper, and for how long it still helps if it is stopping.
	OnAnswer func(h bergamotdetour.Helper, address string, a bergamotdetour.Answer, left time.Duration)
}

// Dial opens a connection to the runner at an address. The error is ErrNoHelper if nothing is known about the runner.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.Links.UsesHelper(address) {
		c, a, sure := d.detour(ctx, address)
		if sure {
			d.Links.Answered(address, a)
		}
		switch {
		case c != nil:
			record(ctx, c.helper)
			return c, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case a == bergamotdetour.AnswerRefused:
			return nil, errRefused
		case a == bergamotdetour.AnswerUnreached:
			return nil, ErrUnreached
		case d.Links.AreLost():
			return nil, ErrNoHelper
		}
	}
	return d.race(ctx, network, address)
}

// Probe tries a direct connection to the runner at an address and closes it.
func (d *Dialer) Probe(ctx context.Context, address string) error {
	c, err := d.Direct(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// detourResult is the result of a detour beside a direct connection.
type detourResult struct {
	mu       sync.Mutex
	conn     *Conn
	answer   bergamotdetour.Answer
	canceled bool // a connection that arrives now is not used
	done     chan struct{}
}

// race opens a direct connection, and one over a helper if that fails or takes long. The first one is used.
func (d *Dialer) race(ctx context.Context, network, address string) (net.Conn, error) {
	direct, cancelDirect := context.WithCancel(ctx)
	defer cancelDirect()
	detour, cancelDetour := context.WithCancel(ctx)
	defer cancelDetour()
	r := &detourResult{done: make(chan struct{})}
	timer := time.AfterFunc(fallbackDelay, func() {
		defer close(r.done)
		if d.Links.MayDetour(address, true) && d.finishDetour(detour, address, r) {
			cancelDirect()
		}
	})
	c, err := d.Direct(direct, network, address)
	started := !timer.Stop()
	if err == nil {
		d.Links.Connected(address)
		cancelDetour()
		if started {
			r.cancel()
		}
		record(ctx, bergamotdetour.Helper{})
		return c, nil
	}
	switch {
	case started:
		<-r.done
	case ctx.Err() == nil && d.Links.MayDetour(address, false):
		d.finishDetour(detour, address, r)
	}
	// A caller that leaves says nothing about the runner, nor does one that waits for a shorter time than fallbackDelay.
	if ctx.Err() == nil || r.conn != nil || started && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.Links.Missed(address, r.conn != nil && started || IsSilence(err), r.answer)
	}
	if r.conn != nil {
		record(ctx, r.conn.helper)
		return r.conn, nil
	}
	return nil, err
}

// finishDetour opens a connection over a helper and reports whether it is used.
func (d *Dialer) finishDetour(ctx context.Context, address string, r *detourResult) bool {
	c, a, sure := d.detour(ctx, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if c != nil && r.canceled {
		_ = c.Close() // nothing was sent
		return false
	}
	r.conn = c
	if sure {
		r.answer = a
	}
	return c != nil
}

// cancel closes the connection over a helper that may have been opened at the same time as the direct one.
func (r *detourResult) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canceled = true
	if r.conn != nil {
		_ = r.conn.Close() // nothing was sent
	}
}

// detour opens a connection over one helper after the other. The answer is that of the last helper that did not reach the runner, and
// empty if none could say. It is sure unless only one helper has tried: that one may be cut too without knowing it yet.
func (d *Dialer) detour(ctx context.Context, address string) (c *Conn, a bergamotdetour.Answer, sure bool) {
	var asked []string
	var verdict bergamotdetour.Answer
	unreached, waited, need := 0, false, needOf(ctx)
	for len(asked) < maxAsked && unreached < maxUnreached && ctx.Err() == nil {
		h, ok := d.Helpers.Next(asked, need)
		if !ok && !waited {
			waited = true
			d.Helpers.Wait(ctx, findTimeout)
			continue
		}
		if !ok {
			break
		}
		asked = append(asked, h.Name())
		var left time.Duration
		c, a, left = d.ask(ctx, h, address, need)
		if c == nil && ctx.Err() != nil {
			break // the connection is not needed any more; the helper is not at fault
		}
		d.Helpers.Record(h, a, left)
		d.OnAnswer(h, address, a, left)
		if c != nil {
			return c, a, true
		}
		if a.IsNotReached() {
			unreached++
			verdict = a
		}
	}
	return nil, verdict, unreached >= maxUnreached
}

// needKey is the key of the time for which a connection must not break in a context.
type needKey struct{}

// WithNeed returns a context in which Dial opens only connections that are expected to last for a time, since what is sent over them must
// not be sent again.
func WithNeed(ctx context.Context, need time.Duration) context.Context {
	return context.WithValue(ctx, needKey{}, need)
}

func needOf(ctx context.Context) time.Duration {
	need, _ := ctx.Value(needKey{}).(time.Duration)
	return need
}

// viaKey is the key of a Via in a context.
type viaKey struct{}

// Via records how a connection was opened. It may be used concurrently.
type Via struct {
	mu     sync.Mutex
	opened bool
	helper bergamotdetour.Helper
}

// WithVia returns a context in which Dial records how it opened a connection.
func WithVia(ctx context.Context) (context.Context, *Via) {
	v := &Via{}
	return context.WithValue(ctx, viaKey{}, v), v
}

// IsOpen reports whether there has been a connection. Until then nothing can have been sent.
func (v *Via) IsOpen() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.opened
}

// Helper returns the helper over which the connection was opened; it has no name for a direct connection.
func (v *Via) Helper() bergamotdetour.Helper {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.helper
}

// record records a connection over a helper, which has no name for a direct one.
func record(ctx context.Context, h bergamotdetour.Helper) {
	if v, ok := ctx.Value(viaKey{}).(*Via); ok {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.opened, v.helper = true, h
	}
}
