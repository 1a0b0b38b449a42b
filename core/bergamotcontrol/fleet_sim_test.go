package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// sim runs the controller of one entry over virtual time with passes every 100 ms.
type sim struct {
	state  *State
	probes *Probes
	source *prober
	total  int // probes so far
	passes int
}

func newSim(runners, entry int) *sim {
	source := newProber()
	return &sim{state: fleetState(runners), probes: newProbes(source, entry), source: source}
}

// run passes d and returns how many probes were sent.
func (m *sim) run(d time.Duration) (sent int) {
	const step = 100 * time.Millisecond
	for end := m.state.now.Add(d); m.state.now.Before(end); m.state.now = m.state.now.Add(step) {
		for _, t := range m.probes.Reconcile(m.state) {
			t.Run(context.Background()).Apply(m.state)
			sent++
		}
		m.passes++
	}
	m.total += sent
	return sent
}

// visible returns the runners that the router sees.
func (m *sim) visible() []bergamotfleet.Instance {
	m.probes.Reconcile(m.state)
	return m.state.view().Fleet().ByRole(bergamotfleet.RoleRunner)
}

// candidates returns the smallest count of usable candidates over all layers of all models, and the smallest
// count of their data centres; own tells whether each layer has one in the data centre.
func (m *sim) candidates(centre string) (count, centres int, own bool) {
	type at struct {
		model string
		layer int
	}
	counts, places := map[at]int{}, map[at]map[string]bool{}
	for _, i := range m.visible() {
		if !i.Usable() {
			continue
		}
		for _, h := range i.Holdings() {
			for l := h.From(); l < h.To(); l++ {
				k := at{h.Model(), l}
				counts[k]++
				if places[k] == nil {
					places[k] = map[string]bool{}
				}
				places[k][i.DataCentre()] = true
			}
		}
	}
	count, centres, own = 1<<30, 1<<30, true
	for model := range testModels {
		for layer := range testLayers {
			k := at{modelName(model), layer}
			count, centres = min(count, counts[k]), min(centres, len(places[k]))
			own = own && places[k][centre]
		}
	}
	return count, centres, own
}
