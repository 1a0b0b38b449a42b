package bergamotchain

import "context"

// Handler answers one exchange; it returns a *bergamotrequest.Refusal when it does not.
type Handler interface {
	Handle(ctx context.Context, x *Exchange) error
}

// Filter is one step that every request passes through before the handler.
type Filter interface {
	Name() string
	Filter(ctx context.Context, x *Exchange, next Handler) error
}

// HandlerFunc is a function used as a Handler.
type HandlerFunc func(ctx context.Context, x *Exchange) error

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, x *Exchange) error { return f(ctx, x) }

// NewChain returns a handler that passes an exchange through filters in order and then to last.
func NewChain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = link{filter: filters[i], next: h}
	}
	return h
}

type link struct {
	filter Filter
	next   Handler
}

func (l link) Handle(ctx context.Context, x *Exchange) error {
	return l.filter.Filter(ctx, x, l.next)
}
