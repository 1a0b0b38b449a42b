package bergamotfleet

import "slices"

// Holding is a range of layers of one model version that an instance has loaded.
type Holding struct {
	model    string
	version  string
	from     int
	to       int
	adapters []string
}

// NewHolding returns a holding of the layers from from (included) to to (excluded).
func NewHolding(model, version string, from, to int, adapters ...string) Holding {
	return Holding{model: model, version: version, from: from, to: to, adapters: adapters}
}

// Model returns the name of the model.
func (h Holding) Model() string { return h.model }

// Version returns the version of the weights.
func (h Holding) Version() string { return h.version }

// From returns the first layer.
func (h Holding) From() int { return h.from }

// To returns the layer after the last one.
func (h Holding) To() int { return h.to }

// Adapters returns the names of the adapters that are loaded for the layers.
func (h Holding) Adapters() []string { return h.adapters }

// Equal reports whether both are the same layers of the same model version with the same adapters.
func (h Holding) Equal(o Holding) bool {
	return h.model == o.model && h.version == o.version && h.from == o.from && h.to == o.to &&
		slices.Equal(h.adapters, o.adapters)
}

// Serves reports whether the holding can run its layers for a model version and an adapter, which is empty for none.
func (h Holding) Serves(model, version, adapter string) bool {
	return h.model == model && h.version == version && (adapter == "" || slices.Contains(h.adapters, adapter))
}
