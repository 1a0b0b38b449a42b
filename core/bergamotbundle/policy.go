package bergamotbundle

// Policy holds the relative weights of four measures of service quality; they need not sum to 1.
type Policy struct {
	throughput float64
	recovery   float64
	peak       float64
	blocking   float64
}

// Throughput returns the weight of throughput.
func (p Policy) Throughput() float64 { return p.throughput }

// Recovery returns the weight of recovery after the loss of an instance.
func (p Policy) Recovery() float64 { return p.recovery }

// Peak returns the weight of service at peak demand.
func (p Policy) Peak() float64 { return p.peak }

// Blocking returns the weight of avoiding head-of-line blocking, where short requests wait behind long ones.
func (p Policy) Blocking() float64 { return p.blocking }
