package bergamotstep

import "context"

// Handler answers one exchange of type X, or returns a *bergamotrequest.Refusal.
type Handler[X any] interface {
	Handle(ctx context.Context, x X) error
}

// Filter is one step of the chain that every exchange passes through before it reaches the handler.
type Filter[X any] interface {
	Name() string
	Filter(ctx context.Context, x X, next Handler[X]) error
}

// Func is a function used as a Handler.
type Func[X any] func(ctx context.Context, x X) error

// Handle calls f.
func (f Func[X]) Handle(ctx context.Context, x X) error { return f(ctx, x) }

// recorder is an exchange that records which filters it has reached.
type recorder interface {
	RecordFilter(name string)
}

// Chain returns a handler that passes an exchange through filters in order and then to last.
func Chain[X any](last Handler[X], filters ...Filter[X]) Handler[X] {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = link[X]{filter: filters[i], next: h}
	}
	return h
}

// link is a filter and the handler after it.
type link[X any] struct {
	filter Filter[X]
	next   Handler[X]
}

// Handle passes the exchange to the filter of the link.
func (l link[X]) Handle(ctx context.Context, x X) error {
	if r, ok := any(x).(recorder); ok {
		r.RecordFilter(l.filter.Name())
	}
	return l.filter.Filter(ctx, x, l.next)
}
