package bergamotcurve

// parameter is a learned quantity with its uncertainty and bounds, a state variable of the Kalman filter.
type parameter struct {
	mean        float64
	variance    float64
	drift       float64 // added to the variance at each observation
	maxVariance float64 // limit of the variance when drift is added
	minMean     float64
	maxMean     float64
}

// newFactor returns a factor, initially 1, that is applied to a value from the bundle or to the curve of a kind.
func newFactor(drift, minMean, maxMean float64) parameter {
	return parameter{mean: 1, variance: initialVariance, drift: drift, maxVariance: initialVariance, minMean: minMean, maxMean: maxMean}
}

// instanceEstimate is what the learner knows of one instance, relative to its kind.
type instanceEstimate struct {
	kindName string // name of the kind
	factor   parameter
	seen     bool // observed since the last Keep
}

// kind is the initial curve of a kind with the learned factors on its values.
type kind struct {
	initial Curve
	base    parameter
	slope   parameter
}

func newKind(c Curve) *kind {
	return &kind{initial: c, base: newFactor(kindDrift, 0.1, 10), slope: newFactor(kindDrift, 0.1, 10)}
}
