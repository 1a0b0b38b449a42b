package bergamotmetric

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the counters of one entry.
type Registry struct {
	registry metrics.Registry
}

// NewRegistry returns a registry in which the named counters exist with the value 0.
func NewRegistry(names ...string) *Registry {
	r := &Registry{registry: metrics.NewRegistry()}
	for _, n := range names {
		metrics.GetOrRegisterCounter(n, r.registry)
	}
	return r
}

// Count adds 1 to the counter of that name.
func (r *Registry) Count(name string) { metrics.GetOrRegisterCounter(name, r.registry).Inc(1) }

// Value returns the value of the counter of that name.
func (r *Registry) Value(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.registry).Count()
}

// Lines returns "name value" for each counter in the order of the names.
func (r *Registry) Lines() (out []string) {
	r.registry.Each(func(name string, v any) {
		if c, ok := v.(metrics.Counter); ok {
			out = append(out, fmt.Sprintf("bergamot_%s %d", strings.ReplaceAll(name, ".", "_"), c.Count()))
		}
	})
	slices.Sort(out)
	return out
}

// ServeHTTP writes all counters as text, one a line.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range r.Lines() {
		_, _ = fmt.Fprintln(w, line)
	}
}
