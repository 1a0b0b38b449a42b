package bergamotmetric

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the counters, gauges and histograms of one entry.
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

// Add adds n to a counter.
func (r *Registry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(n)
}

// Set sets the gauge of that name.
func (r *Registry) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, r.registry).Update(value)
}

// Value returns the value of the counter of that name.
func (r *Registry) Value(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.registry).Count()
}

// Time adds a duration to the histogram of that name, which Lines reports in milliseconds.
func (r *Registry) Time(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, r.registry).Update(d)
}

// Lines returns "name value" for each counter and gauge, and the quantiles and the count of each histogram, sorted.
func (r *Registry) Lines() (out []string) {
	r.registry.Each(func(name string, v any) {
		name = "bergamot_" + strings.ReplaceAll(name, ".", "_")
		switch m := v.(type) {
		case metrics.Counter:
			out = append(out, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			out = append(out, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Timer:
			t := m.Snapshot()
			for _, q := range []float64{0.5, 0.95, 0.99} {
				out = append(out, fmt.Sprintf("%s_ms{quantile=\"%v\"} %.1f", name, q, t.Percentile(q)/float64(time.Millisecond)))
			}
			out = append(out, fmt.Sprintf("%s_ms_count %d", name, t.Count()))
		}
	})
	slices.Sort(out)
	return out
}

// ServeHTTP writes the lines of Lines as plain text.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range r.Lines() {
		_, _ = fmt.Fprintln(w, line)
	}
}
