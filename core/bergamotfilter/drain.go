package bergamotfilter

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// drainRetry is what a refused caller waits; the balancer has moved on by then.
const drainRetry = time.Second

// Drain refuses new requests once the entry is shutting down and tells when the last one has ended.
type Drain struct {
	mu       sync.Mutex
	draining bool
	inflight int
	idle     chan struct{}
}

// NewDrain returns a filter that lets requests pass.
func NewDrain() *Drain { return &Drain{idle: make(chan struct{})} }

// Name returns "drain".
func (f *Drain) Name() string { return "drain" }

// Filter passes the exchange on unless Start was called.
func (f *Drain) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	if !f.enter() {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDrain, "the entry is shutting down").WithRetryAfter(drainRetry)
	}
	defer f.leave()
	return next.Handle(ctx, x)
}

// Start refuses new requests and returns a channel that is closed when the last one in flight has ended.
func (f *Drain) Start() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.draining && f.inflight == 0 {
		close(f.idle)
	}
	f.draining = true
	return f.idle
}

// Draining tells whether Start was called.
func (f *Drain) Draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

func (f *Drain) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.inflight++
	return true
}

func (f *Drain) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inflight--
	if f.draining && f.inflight == 0 {
		close(f.idle)
	}
}
