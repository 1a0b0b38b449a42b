package bergamotcurve

// value is one learned quantity with its uncertainty and bounds.
type value struct {
	mean     float64
	variance float64
	drift    float64
	limit    float64
	least    float64
	most     float64
}

// relative returns a factor on a value of the bundle.
func relative(drift, least, most float64) value {
	return value{mean: 1, variance: startVar, drift: drift, limit: startVar, least: least, most: most}
}

// estimate is what was learned of one instance, relative to its kind.
type estimate struct {
	name   string // of the kind
	factor value
	seen   bool // observed since the last Keep
}

// kind is the start curve of a kind and what was learned of it.
type kind struct {
	start Curve
	base  value
	slope value
}

func newKind(c Curve) *kind {
	return &kind{start: c, base: relative(kindDrift, 0.1, 10), slope: relative(kindDrift, 0.1, 10)}
}
