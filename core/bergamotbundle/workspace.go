package bergamotbundle

import "slices"

// Workspace is a tenant with its bearer keys, permissions and limits.
type Workspace struct {
	name        string
	keys        []string
	pipelines   []string
	services    []string
	requestRate float64
	tokenRate   float64
	weight      float64
}

// Name returns the name of the workspace.
func (w Workspace) Name() string { return w.name }

// RequestRate returns the maximum number of requests per second over all entries.
func (w Workspace) RequestRate() float64 { return w.requestRate }

// TokenRate returns the maximum number of generated tokens per second over all entries.
func (w Workspace) TokenRate() float64 { return w.tokenRate }

// Weight returns the relative share of the workspace when capacity is scarce.
func (w Workspace) Weight() float64 { return w.weight }

// CanUsePipeline reports whether the workspace may use the pipeline or adapter with that name.
func (w Workspace) CanUsePipeline(pipeline string) bool {
	return slices.Contains(w.pipelines, "*") || slices.Contains(w.pipelines, pipeline)
}

// CanUseService reports whether the workspace may use the service with that name.
func (w Workspace) CanUseService(service string) bool {
	return slices.Contains(w.services, "*") || slices.Contains(w.services, service)
}
