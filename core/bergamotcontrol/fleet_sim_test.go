package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// sim simulates the Probes controller of one entry in virtual time, with a pass every 100 ms.
type sim struct {
	state       *State
	probes      *Probes
	prober      *fakeProber
	totalProbes int // probes so far
	passes      int
}

func newSim(runners, entry int) *sim {
	prober := newFakeProber()
	return &sim{state: fleetState(runners), probes: newProbes(prober, entry), prober: prober}
}

// run advances the time by d and returns the number of probes sent.
func (m *sim) run(d time.Duration) (sent int) {
	const step = 100 * time.Millisecond
	for end := m.state.now.Add(d); m.state.now.Before(end); m.state.now = m.state.now.Add(step) {
		for _, t := range m.probes.Reconcile(m.state) {
			t.Run(context.Background()).Apply(m.state)
			sent++
		}
		m.passes++
	}
	m.totalProbes += sent
	return sent
}

// visibleRunners returns the runners that traffic may use.
func (m *sim) visibleRunners() []bergamotfleet.Instance {
	m.probes.Reconcile(m.state)
	return m.state.view().Fleet().ByRole(bergamotfleet.RoleRunner)
}

// candidates returns the minimum, over all layers of all models, of the number of usable candidates and of the number of
// their data centres; hasOwn reports whether each layer has a candidate in the given data centre.
func (m *sim) candidates(centre string) (count, centres int, hasOwn bool) {
	type layerKey struct {
		model string
		layer int
	}
	counts, centresOf := map[layerKey]int{}, map[layerKey]map[string]bool{}
	for _, i := range m.visibleRunners() {
		if !i.Usable() {
			continue
		}
		for _, h := range i.Holdings() {
			for l := h.From(); l < h.To(); l++ {
				k := layerKey{h.Model(), l}
				counts[k]++
				if centresOf[k] == nil {
					centresOf[k] = map[string]bool{}
				}
				centresOf[k][i.DataCentre()] = true
			}
		}
	}
	count, centres, hasOwn = 1<<30, 1<<30, true
	for model := range testModels {
		for layer := range testLayers {
			k := layerKey{modelName(model), layer}
			count, centres = min(count, counts[k]), min(centres, len(centresOf[k]))
			hasOwn = hasOwn && centresOf[k][centre]
		}
	}
	return count, centres, hasOwn
}
