package bergamotlayout

// Model describes how much memory the layers of a model and its requests take.
type Model struct {
	layers        int
	layerMB       float64 // MB of the weights of one layer
	tokenMB       float64 // MB of one token in one layer
	requestTokens float64 // typical number of tokens of a request
}

// NewModel returns a model with a number of layers of layerMB each, where each token of a request takes tokenMB in every
// layer and a typical request has requestTokens tokens.
func NewModel(layers int, layerMB, tokenMB, requestTokens float64) Model {
	return Model{layers: layers, layerMB: layerMB, tokenMB: tokenMB, requestTokens: requestTokens}
}

// MaxLayers returns the maximum number of layers that a runner with memory in MB may hold.
func (m Model) MaxLayers(memory float64) int { return m.LayersFor(memory, minRequests) }

// LayersFor returns how many layers a runner with memory in MB can hold and still have capacity for a number of typical
// requests.
func (m Model) LayersFor(memory, requests float64) int {
	return min(int(memory/(m.layerMB+m.tokenMB*m.requestTokens*requests)), m.layers)
}
