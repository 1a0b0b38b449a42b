package bergamotcluster

import (
	"errors"

	"bergamotspur/core/bergamotlayout"
)

var (
	// ErrOrderRefused is wrapped by the error of an order that does not fit the state of its runner, for instance since the
	// runner has accepted another order after the state that the order was planned from.
	ErrOrderRefused = errors.New("the order does not fit the runner's state")
	// ErrOrderFenced is wrapped by the error of an order whose runner has seen a higher fencing token.
	ErrOrderFenced = errors.New("the runner has seen a higher fencing token")
)

// OrderSpec holds the fields of an order.
type OrderSpec struct {
	Span bergamotlayout.Span // layers that the runner is to hold
	// InterruptRequests makes the runner abort requests that no longer fit into its memory or that use layers that it unloads,
	// instead of waiting until they finish.
	InterruptRequests bool
	FencingToken      int64 // of the placement lease
	OrderCount        int64 // orders that the runner's process has accepted before; with another number it refuses this one
}

// Order orders a runner to hold a range of layers.
type Order struct{ spec OrderSpec }

// NewOrder returns an order with the fields of s.
func NewOrder(s OrderSpec) Order { return Order{spec: s} }

// Span returns the layers that the runner is to hold.
func (o Order) Span() bergamotlayout.Span { return o.spec.Span }

// InterruptRequests reports whether the runner aborts requests that are in the way of the order.
func (o Order) InterruptRequests() bool { return o.spec.InterruptRequests }

// FencingToken returns the fencing token of the placement lease.
func (o Order) FencingToken() int64 { return o.spec.FencingToken }

// OrderCount returns how many orders the runner's process must have accepted before.
func (o Order) OrderCount() int64 { return o.spec.OrderCount }

// orderCounts is what is known of the orders that the runners have accepted, by name.
type orderCounts map[string]orderCount

// orderCount is the number of orders that a process has accepted.
type orderCount struct {
	startTime int64 // of the process, in Unix milliseconds
	n         int64
}

// learn records a number of accepted orders; reports lag, so that a lower number of the same process is ignored.
func (m orderCounts) learn(name string, startTime, n int64) {
	if c, ok := m[name]; !ok || c.startTime != startTime || c.n < n {
		m[name] = orderCount{startTime: startTime, n: n}
	}
}

// of returns the number of orders that a process has accepted, if it is known.
func (m orderCounts) of(name string, startTime int64) (n int64, ok bool) {
	c, ok := m[name]
	return c.n, ok && c.startTime == startTime
}
