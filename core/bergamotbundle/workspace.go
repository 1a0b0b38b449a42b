package bergamotbundle

import "slices"

// Workspace is a customer with its access and limits.
type Workspace struct {
	name      string
	keys      []string
	pipelines []string
	services  []string
	rate      float64
	tokens    float64
	weight    float64
}

// Name returns the name of the workspace.
func (w Workspace) Name() string { return w.name }

// Rate returns the most requests a second over all entries.
func (w Workspace) Rate() float64 { return w.rate }

// Tokens returns the most generated tokens a second over all entries.
func (w Workspace) Tokens() float64 { return w.tokens }

// Weight returns the share of the workspace when capacity is scarce.
func (w Workspace) Weight() float64 { return w.weight }

// MayRun tells whether the workspace may use the pipeline or adapter of that name.
func (w Workspace) MayRun(pipeline string) bool {
	return slices.Contains(w.pipelines, "*") || slices.Contains(w.pipelines, pipeline)
}

// MayCall tells whether the workspace may use the service of that name.
func (w Workspace) MayCall(service string) bool {
	return slices.Contains(w.services, "*") || slices.Contains(w.services, service)
}
