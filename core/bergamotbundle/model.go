package bergamotbundle

// Model is a model whose layers are spread over instances in ranges.
type Model struct {
	name             string
	version          string
	layers           int
	hiddenStateBytes int
}

// Name returns the name of the model.
func (m Model) Name() string { return m.name }

// Version returns the version of the weights.
func (m Model) Version() string { return m.version }

// Layers returns the number of layers.
func (m Model) Layers() int { return m.layers }

// HiddenStateBytes returns the size of the hidden state of one token, in bytes.
func (m Model) HiddenStateBytes() int { return m.hiddenStateBytes }
