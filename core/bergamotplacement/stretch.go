package bergamotplacement

import (
	"slices"

	"bergamotspur/core/bergamotfleet"
)

// stretch widens the range of a runner with unused memory until it holds a missing layer. A runner needs it that
// a late command of an earlier holder of the lease has given too few layers.
func (p *planner) stretch(n *need, layer int) bool {
	var names []string
	for name, h := range p.assigned {
		spare := p.owner[name].MaxLayers() - (h.To() - h.From())
		if h.Model() == n.model.Name() && ((layer >= h.To() && layer-h.To() < spare) || (layer < h.From() && h.From()-layer <= spare)) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return false
	}
	name := slices.Min(names)
	h, memory := p.assigned[name], p.owner[name].MaxLayers()
	from, to := h.From(), h.To()
	if layer >= to {
		to = min(from+memory, n.model.Layers())
	} else {
		from = max(to-memory, 0)
	}
	n.add(h.From(), h.To(), -1)
	n.add(from, to, 1)
	p.assigned[name] = bergamotfleet.NewHolding(h.Model(), h.Version(), from, to, h.Adapters()...)
	return true
}
