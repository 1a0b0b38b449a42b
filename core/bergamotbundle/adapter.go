package bergamotbundle

// Adapter is a set of additional weights that specialises a model.
type Adapter struct {
	name    string
	model   string
	version string
}

// Name returns the name of the adapter.
func (a Adapter) Name() string { return a.name }

// Model returns the name of the model that the adapter specialises.
func (a Adapter) Model() string { return a.model }

// Version returns the version of the adapter.
func (a Adapter) Version() string { return a.version }
