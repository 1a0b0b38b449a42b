package bergamotsession

import "context"

// Engine sends commands to the instances that run spans. Open, Start and Import are idempotent: a command that is sent
// again for the same span takes effect once.
type Engine interface {
	Open(ctx context.Context, address string, s Span) error
	Import(ctx context.Context, address string, s Span, i Import) error
	Start(ctx context.Context, address string, s Span, p Prefix) error
	// Stream opens the token stream of a span; its first token is the one at position.
	Stream(ctx context.Context, address string, s Span, position int) (TokenStream, error)
	// Progress asks an instance how far it has run the span.
	Progress(ctx context.Context, address string, s Span) (Progress, error)
	Cancel(ctx context.Context, address string, s Span) error
}
