package bergamotfilter

import (
	"context"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// meter is a sink that counts the tokens on their way to the caller.
type meter struct {
	bergamotchain.Sink
	tokens int
	note   func(tokens int) // called after each token; may be nil
}

// Token counts a token and passes it on.
func (m *meter) Token(ctx context.Context, t bergamotrequest.Token) error {
	m.tokens++
	if m.note != nil {
		m.note(m.tokens)
	}
	return m.Sink.Token(ctx, t)
}
