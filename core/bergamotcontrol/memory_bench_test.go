package bergamotcontrol

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bergamotspur/core/bergamotbundle"
)

// heldBytes returns the result of f and the bytes of heap that it keeps alive.
func heldBytes[T any](f func() T) (out T, held int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	out = f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return out, int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// largeBundle returns a bundle with testModels models and the given number of workspaces.
func largeBundle(workspaces int) *bergamotbundle.Bundle {
	text := []byte("[bundle]\nversion = 1\n[operator mari]\nkey = 11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=\n")
	for n := range testModels {
		text = fmt.Appendf(text, "[model %s]\nlayers = %d\n[pipeline p%d]\nmodel = %s\n", modelName(n), testLayers, n, modelName(n))
	}
	for n := range workspaces {
		text = fmt.Appendf(text, "[workspace w%d]\nkeys = %s\npipelines = *\nrate = 10\ntokens = 1000\nweight = 2\n",
			n, bergamotbundle.HashKey(fmt.Sprint(n)))
	}
	b, err := bergamotbundle.Parse("test", text)
	if err != nil {
		panic(err) // The text is fixed.
	}
	return b
}

// probedSim returns a simulated entry that has probed all runners and built a view.
func probedSim(runners int) *sim {
	m := newSim(runners, 1)
	m.run(150 * time.Second)
	m.probes.Reconcile(m.state)
	m.state.view()
	return m
}

// BenchmarkMemory reports the heap memory of the control state and of a bundle, without connections and buffers.
func BenchmarkMemory(b *testing.B) {
	for _, runners := range []int{40, 400, 3100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			var state, bundle int64
			for b.Loop() {
				var m *sim
				var large *bergamotbundle.Bundle
				m, state = heldBytes(func() *sim { return probedSim(runners) })
				large, bundle = heldBytes(func() *bergamotbundle.Bundle { return largeBundle(11000) })
				runtime.KeepAlive(m)
				runtime.KeepAlive(large)
			}
			b.ReportMetric(float64(state), "state-B")
			b.ReportMetric(float64(bundle), "bundle-B")
		})
	}
}

// Guards against a control state that leaves less than about half of the 32 MB of a node to the parser, the connections
// and the peers. During a change of the bundle the state holds two, here with 11,000 workspaces each.
func TestMemoryOfState(t *testing.T) {
	m, state := heldBytes(func() *sim { return probedSim(3100) })
	large, bundle := heldBytes(func() *bergamotbundle.Bundle { return largeBundle(11000) })
	t.Logf("state %d B, bundle %d B", state, bundle)
	if total := state + 2*bundle; total > 18<<20 {
		t.Errorf("state and two bundles take %d B, at most 18 MB are allowed", total)
	}
	runtime.KeepAlive(m)
	runtime.KeepAlive(large)
}
