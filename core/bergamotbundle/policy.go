package bergamotbundle

// Policy weighs the four measures of service against each other; the weights need not sum to 1.
type Policy struct {
	throughput float64
	recovery   float64
	crest      float64
	blocking   float64
}

// Throughput returns the weight of throughput.
func (p Policy) Throughput() float64 { return p.throughput }

// Recovery returns the weight of recovery after a loss.
func (p Policy) Recovery() float64 { return p.recovery }

// Crest returns the weight of service at the crest of demand.
func (p Policy) Crest() float64 { return p.crest }

// Blocking returns the weight of short work not waiting behind long work.
func (p Policy) Blocking() float64 { return p.blocking }
