package bergamotbundle

// Model is a model of the bundle, split over instances by ranges of layers.
type Model struct {
	name    string
	version string
	layers  int
	width   int
}

// Name returns the name of the model.
func (m Model) Name() string { return m.name }

// Version returns the version of the weights.
func (m Model) Version() string { return m.version }

// Layers returns the count of layers.
func (m Model) Layers() int { return m.layers }

// Width returns the size of the hidden state of one token in bytes.
func (m Model) Width() int { return m.width }
