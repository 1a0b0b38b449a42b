package bergamotsession

import "context"

// Engine gives commands to the instances that run spans. Open, Start and Import may be sent twice for the
// same span and then take effect once.
type Engine interface {
	Open(ctx context.Context, address string, s Span) error
	Import(ctx context.Context, address string, s Span, i Import) error
	Start(ctx context.Context, address string, s Span, p Prefix) error
	Stream(ctx context.Context, address string, s Span, from int) (TokenStream, error)
	// Progress asks a stage what it has done for the span.
	Progress(ctx context.Context, address string, s Span) (Progress, error)
	Cancel(ctx context.Context, address string, s Span) error
}
