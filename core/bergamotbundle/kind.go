package bergamotbundle

// Kind is a kind of accelerator with the initial values of its curve of step time over batch size.
type Kind struct {
	name  string
	step  float64
	slope float64
}

// Name returns the name of the kind.
func (k Kind) Name() string { return k.name }

// Step returns the time that one layer takes for a batch of one sequence, in microseconds.
func (k Kind) Step() float64 { return k.step }

// Slope returns the time that each further sequence of a batch adds to a layer, in microseconds.
func (k Kind) Slope() float64 { return k.slope }
