package bergamotcurve

// Stage is one stage of a path with all that its share in the time of a token depends on.
type Stage struct {
	instance string
	kind     string
	centre   string
	layers   int
	batch    float64
}

// NewStage returns the stage of an instance in a data centre that runs layers with batch sequences assigned to it.
func NewStage(instance, kind, centre string, layers int, batch float64) Stage {
	return Stage{instance: instance, kind: kind, centre: centre, layers: layers, batch: batch}
}
