package bergamotcurve

// Part is the share of one target in the time of a token on a path.
type Part struct {
	instance string
	kind     string
	centre   string
	layers   int
	batch    float64
}

// NewPart returns the part of an instance in a data centre that runs layers with batch sequences assigned to it.
func NewPart(instance, kind, centre string, layers int, batch float64) Part {
	return Part{instance: instance, kind: kind, centre: centre, layers: layers, batch: batch}
}
