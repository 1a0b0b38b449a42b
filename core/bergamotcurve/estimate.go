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

func relative(mean float64) value {
	return value{mean: mean, variance: startVar, drift: driftVar, limit: startVar, least: least, most: most}
}

// estimate is what was learned of one instance, relative to the start values of its kind.
type estimate struct {
	name  string
	base  value
	slope value
}

// kind is the start curve of a kind and the mean of its instances relative to it.
type kind struct {
	start Curve
	base  float64
	slope float64
}
