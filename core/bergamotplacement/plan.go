package bergamotplacement

import (
	"cmp"
	"slices"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Plan is what each runner should hold.
type Plan struct {
	holdings map[string]bergamotfleet.Holding
	sequence []string // runners in the order in which they change
	short    []string
}

// Holding returns what a runner should hold; ok is false when it should stay as it is.
func (p Plan) Holding(runner string) (h bergamotfleet.Holding, ok bool) {
	h, ok = p.holdings[runner]
	return h, ok
}

// Short returns the models for which there are fewer runners than the bundle declares.
func (p Plan) Short() []string { return p.short }

// planner assigns runners to models; each runner holds one range of layers.
type planner struct {
	needs    []*need
	byModel  map[string]*need
	free     []bergamotfleet.Instance
	assigned map[string]bergamotfleet.Holding
	owner    map[string]bergamotfleet.Instance
	centres  map[string]map[string]int // runners by model and data centre
}

// NewPlan decides what the usable runners should hold. Runners that hold layers of a declared model keep them, whatever
// their version, so that a lost or new runner moves nothing else. Missing layers go to free runners, first one replica
// of every model, then the second, and so on, so that scarce runners leave no model without service.
func NewPlan(b *bergamotbundle.Bundle, f *bergamotfleet.Fleet) (plan Plan) {
	p := &planner{
		needs: needs(b), byModel: map[string]*need{}, assigned: map[string]bergamotfleet.Holding{},
		owner: map[string]bergamotfleet.Instance{}, centres: map[string]map[string]int{},
	}
	for _, n := range p.needs {
		p.byModel[n.model.Name()] = n
		p.centres[n.model.Name()] = map[string]int{}
	}
	for _, i := range f.ByRole(bergamotfleet.RoleRunner) {
		if i.Usable() && i.MaxLayers() > 0 {
			p.keep(i)
		}
	}
	slices.SortStableFunc(p.free, func(a, b bergamotfleet.Instance) int { return cmp.Compare(b.MaxLayers(), a.MaxLayers()) })
	p.fill()
	for _, n := range p.needs {
		if n.gap(n.replicas) >= 0 {
			plan.short = append(plan.short, n.model.Name())
		}
	}
	plan.holdings, plan.sequence = p.assigned, sequence(p.needs, p.assigned)
	return plan
}

// keep assigns a runner what it holds of a declared model, the current version first.
func (p *planner) keep(i bergamotfleet.Instance) {
	var best *need
	var at bergamotfleet.Holding
	for _, h := range i.Holdings() {
		n, ok := p.byModel[h.Model()]
		if !ok || h.From() < 0 || h.To() > n.model.Layers() || h.From() >= h.To() || h.To()-h.From() > i.MaxLayers() {
			continue
		}
		if best == nil || h.Version() == n.model.Version() {
			best, at = n, h
		}
	}
	if best == nil {
		p.free = append(p.free, i)
		return
	}
	p.assign(i, best, at.From(), at.To())
}

func (p *planner) assign(i bergamotfleet.Instance, n *need, from, to int) {
	m := n.model
	p.assigned[i.Name()] = bergamotfleet.NewHolding(m.Name(), m.Version(), from, to, n.adapters...)
	p.owner[i.Name()] = i
	p.centres[m.Name()][i.DataCentre()]++
	n.add(from, to, 1)
}

// fill closes the gaps of all models, one replica after another.
func (p *planner) fill() {
	most := 0
	for _, n := range p.needs {
		most = max(most, n.replicas)
	}
	for count := 1; count <= most; count++ {
		for _, n := range p.needs {
			for from := n.gap(min(count, n.replicas)); from >= 0; from = n.gap(min(count, n.replicas)) {
				i, ok := p.take(n, count)
				if !ok {
					if p.stretch(n, from) {
						continue
					}
					break
				}
				p.assign(i, n, from, min(from+i.MaxLayers(), n.model.Layers()))
			}
		}
	}
}

// take returns a free runner with the most memory, of those the one whose data centre has the fewest of the model;
// without a free one it takes a runner that its model can spare.
func (p *planner) take(n *need, count int) (i bergamotfleet.Instance, ok bool) {
	if len(p.free) == 0 && !p.release(n, count) {
		return i, false
	}
	best, centres := 0, p.centres[n.model.Name()]
	for k := 1; k < len(p.free) && p.free[k].MaxLayers() == p.free[0].MaxLayers(); k++ {
		if centres[p.free[k].DataCentre()] < centres[p.free[best].DataCentre()] {
			best = k
		}
	}
	i = p.free[best]
	p.free = slices.Delete(p.free, best, best+1)
	return i, true
}

// release frees the first runner whose layers are held more often than its model declares, or more often than count
// while the other model lacks a replica of that count.
func (p *planner) release(other *need, count int) bool {
	for _, n := range slices.Backward(p.needs) {
		keep := min(n.replicas, count)
		if n == other {
			keep = n.replicas
		}
		var names []string
		for name, h := range p.assigned {
			if h.Model() == n.model.Name() && n.least(h.From(), h.To()) > keep {
				names = append(names, name)
			}
		}
		if len(names) == 0 {
			continue
		}
		name := slices.Min(names)
		h := p.assigned[name]
		n.add(h.From(), h.To(), -1)
		delete(p.assigned, name)
		p.centres[h.Model()][p.owner[name].DataCentre()]--
		p.free = append(p.free, p.owner[name])
		return true
	}
	return false
}
