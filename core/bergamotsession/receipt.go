package bergamotsession

// Receipt states that a stage ran its layers for a token.
type Receipt struct {
	from  int
	to    int
	steps int
}

// NewReceipt returns a receipt for the layers [from, to); steps is the number of tokens that the stage has run in this
// attempt, including this one.
func NewReceipt(from, to, steps int) Receipt { return Receipt{from: from, to: to, steps: steps} }

// From returns the first layer.
func (r Receipt) From() int { return r.from }

// To returns the layer after the last one.
func (r Receipt) To() int { return r.to }

// Steps returns the number of tokens that the stage has run in this attempt, including this one.
func (r Receipt) Steps() int { return r.steps }
