package bergamotchain

import "bergamotspur/core/bergamotstep"

// Handler answers one exchange; it returns a *bergamotrequest.Refusal when it does not.
type Handler = bergamotstep.Handler[*Exchange]

// Filter is one step that every request passes through before the handler.
type Filter = bergamotstep.Filter[*Exchange]

// HandlerFunc is a function used as a Handler.
type HandlerFunc = bergamotstep.Func[*Exchange]

// NewChain returns a handler that passes an exchange through filters in order and then to last.
func NewChain(last Handler, filters ...Filter) Handler {
	return bergamotstep.Chain(last, filters...)
}
