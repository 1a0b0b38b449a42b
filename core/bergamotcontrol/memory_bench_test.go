package bergamotcontrol

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bergamotspur/core/bergamotbundle"
)

// heldBytes returns the bytes that the result of f holds.
func heldBytes[T any](f func() T) (out T, held int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	out = f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return out, int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// largeBundle returns a bundle with 34 models and as many workspaces.
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

// controlState returns the state of an entry that has probed all runners and has a view.
func controlState(runners int) *sim {
	m := newSim(runners, 1)
	m.run(150 * time.Second)
	m.probes.Reconcile(m.state)
	m.state.view()
	return m
}

// BenchmarkMemory reports the heap that the control state holds, without connections and buffers of adapters.
func BenchmarkMemory(b *testing.B) {
	for _, runners := range []int{40, 400, 3100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			var state, bundle int64
			for b.Loop() {
				var m *sim
				var large *bergamotbundle.Bundle
				m, state = heldBytes(func() *sim { return controlState(runners) })
				large, bundle = heldBytes(func() *bergamotbundle.Bundle { return largeBundle(11000) })
				runtime.KeepAlive(m)
				runtime.KeepAlive(large)
			}
			b.ReportMetric(float64(state), "state-B")
			b.ReportMetric(float64(bundle), "bundle-B")
		})
	}
}

// Guards against a control state that, with two bundles of 11,000 workspaces while they change, leaves less than
// half of the 32 MB of a node to the parser, the connections and the peers.
func TestMemoryOfState(t *testing.T) {
	m, state := heldBytes(func() *sim { return controlState(3100) })
	large, bundle := heldBytes(func() *bergamotbundle.Bundle { return largeBundle(11000) })
	t.Logf("state %d B, bundle %d B", state, bundle)
	if total := state + 2*bundle; total > 18<<20 {
		t.Errorf("state and two bundles take %d B, at most 18 MB are allowed", total)
	}
	runtime.KeepAlive(m)
	runtime.KeepAlive(large)
}
