package bergamotbundle

// Kind is a kind of accelerator with the start values of its batch curve.
type Kind struct {
	name  string
	step  float64
	slope float64
}

// Name returns the name of the kind.
func (k Kind) Name() string { return k.name }

// Step returns the time of one layer for a batch of one, in microseconds.
func (k Kind) Step() float64 { return k.step }

// Slope returns the time that each further sequence of the batch adds to a layer, in microseconds.
func (k Kind) Slope() float64 { return k.slope }
