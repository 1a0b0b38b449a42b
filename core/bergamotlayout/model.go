package bergamotlayout

// Model is what a layout has to place.
type Model struct {
	layers  int
	layer   float64 // MB of one layer
	token   float64 // MB of one token and layer
	request float64 // usual tokens of a request
}

// NewModel returns a model of layers that take layer MB each, and token MB for each token of a request, of which a
// usual one has request tokens.
func NewModel(layers int, layer, token, request float64) Model {
	return Model{layers: layers, layer: layer, token: token, request: request}
}

// Most returns how many layers a runner may hold at all.
func (m Model) Most(memory float64) int { return m.Fit(memory, leastRequests) }

// Fit returns how many layers a runner may hold and still have memory for a number of usual requests.
func (m Model) Fit(memory, requests float64) int {
	return min(int(memory/(m.layer+m.token*m.request*requests)), m.layers)
}
