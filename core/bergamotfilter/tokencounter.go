package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// tokenCounter is a sink that counts tokens and passes them on.
type tokenCounter struct {
	bergamotchain.Sink
	tokens  int
	onToken func(tokens int) // called with the count after each token; may be nil
}

// Token counts a token and passes it on.
func (m *tokenCounter) Token(ctx context.Context, t bergamotrequest.Token) error {
	m.tokens++
	if m.onToken != nil {
		m.onToken(m.tokens)
	}
	return m.Sink.Token(ctx, t)
}
