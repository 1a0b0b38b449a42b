package bergamotplacement

import (
	"slices"

	"bergamotspur/core/bergamotfleet"
)

// extendRange widens the range of a runner with unused memory so that it includes a missing layer, and reports whether it
// found one. A runner has unused memory after a late command of an earlier lease holder left it too few layers.
func (p *planner) extendRange(n *requirement, layer int) bool {
	var names []string
	for name, h := range p.assigned {
		unused := p.runners[name].MaxLayers() - (h.To() - h.From())
		if h.Model() == n.model.Name() && ((layer >= h.To() && layer-h.To() < unused) || (layer < h.From() && h.From()-layer <= unused)) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return false
	}
	name := slices.Min(names)
	h, memory := p.assigned[name], p.runners[name].MaxLayers()
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
