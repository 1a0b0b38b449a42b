package bergamotfilter

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// drainRetryAfter is sent with each refusal; by then the load balancer no longer picks this entry.
const drainRetryAfter = time.Second

// Drain refuses new requests once the entry is shutting down and signals the end of the last one in flight.
type Drain struct {
	mu       sync.Mutex
	draining bool
	inFlight int
	idle     chan struct{}
}

// NewDrain returns a filter that accepts requests until Start is called.
func NewDrain() *Drain { return &Drain{idle: make(chan struct{})} }

// Name returns "drain".
func (f *Drain) Name() string { return "drain" }

// Filter refuses the request if Start was called, and passes it on otherwise.
func (f *Drain) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	if !f.enter() {
		return bergamotrequest.Refuse(bergamotrequest.ReasonDrain, "the entry is shutting down").WithRetryAfter(drainRetryAfter)
	}
	defer f.leave()
	return next.Handle(ctx, x)
}

// Start makes the filter refuse new requests and returns a channel that is closed when no request is in flight.
func (f *Drain) Start() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.draining && f.inFlight == 0 {
		close(f.idle)
	}
	f.draining = true
	return f.idle
}

// IsDraining reports whether Start was called.
func (f *Drain) IsDraining() bool {
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
	f.inFlight++
	return true
}

func (f *Drain) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	if f.draining && f.inFlight == 0 {
		close(f.idle)
	}
}
