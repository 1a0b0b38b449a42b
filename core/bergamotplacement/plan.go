package bergamotplacement

import (
	"cmp"
	"slices"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Plan is an assignment of layers to runners.
type Plan struct {
	holdings        map[string]bergamotfleet.Holding
	rolloutOrder    []string // runners in the order in which they load a new version
	underReplicated []string
}

// Holding returns what a runner should hold; ok is false if the plan assigns nothing to it.
func (p Plan) Holding(runner string) (h bergamotfleet.Holding, ok bool) {
	h, ok = p.holdings[runner]
	return h, ok
}

// UnderReplicated returns the models with a layer that fewer runners hold than the bundle declares replicas.
func (p Plan) UnderReplicated() []string { return p.underReplicated }

// planner assigns runners to models, one range of layers to each runner.
type planner struct {
	requirements []*requirement
	byModel      map[string]*requirement
	free         []bergamotfleet.Instance
	assigned     map[string]bergamotfleet.Holding
	runners      map[string]bergamotfleet.Instance
	perCentre    map[string]map[string]int // number of runners by model and data centre
}

// NewPlan returns a plan for the usable runners. A runner that holds layers of a declared model keeps its range, whatever
// its version, so that a lost or new runner moves no other. Missing layers go to free runners: the first replica of every
// model, then the second, and so on, so that a shortage of runners leaves no model without service.
func NewPlan(b *bergamotbundle.Bundle, f *bergamotfleet.Fleet) (plan Plan) {
	p := &planner{
		requirements: requirements(b), byModel: map[string]*requirement{}, assigned: map[string]bergamotfleet.Holding{},
		runners: map[string]bergamotfleet.Instance{}, perCentre: map[string]map[string]int{},
	}
	for _, n := range p.requirements {
		p.byModel[n.model.Name()] = n
		p.perCentre[n.model.Name()] = map[string]int{}
	}
	for _, i := range f.ByRole(bergamotfleet.RoleRunner) {
		if i.Usable() && i.MaxLayers() > 0 {
			p.keepHolding(i)
		}
	}
	slices.SortStableFunc(p.free, func(a, b bergamotfleet.Instance) int { return cmp.Compare(b.MaxLayers(), a.MaxLayers()) })
	p.fillGaps()
	for _, n := range p.requirements {
		if n.firstGap(n.replicas) >= 0 {
			plan.underReplicated = append(plan.underReplicated, n.model.Name())
		}
	}
	plan.holdings, plan.rolloutOrder = p.assigned, rolloutOrder(p.requirements, p.assigned)
	return plan
}

// keepHolding assigns a runner the range that it holds of a declared model, preferring a holding of the declared version.
// A runner without such a range is free.
func (p *planner) keepHolding(i bergamotfleet.Instance) {
	var best *requirement
	var held bergamotfleet.Holding
	for _, h := range i.Holdings() {
		n, ok := p.byModel[h.Model()]
		if !ok || h.From() < 0 || h.To() > n.model.Layers() || h.From() >= h.To() || h.To()-h.From() > i.MaxLayers() {
			continue
		}
		if best == nil || h.Version() == n.model.Version() {
			best, held = n, h
		}
	}
	if best == nil {
		p.free = append(p.free, i)
		return
	}
	p.assign(i, best, held.From(), held.To())
}

// assign gives a runner a range of layers in the declared version of a model.
func (p *planner) assign(i bergamotfleet.Instance, n *requirement, from, to int) {
	m := n.model
	p.assigned[i.Name()] = bergamotfleet.NewHolding(m.Name(), m.Version(), from, to, n.adapters...)
	p.runners[i.Name()] = i
	p.perCentre[m.Name()][i.DataCentre()]++
	n.add(from, to, 1)
}

// fillGaps assigns runners to the missing layers of all models, one replica of each model at a time.
func (p *planner) fillGaps() {
	maxReplicas := 0
	for _, n := range p.requirements {
		maxReplicas = max(maxReplicas, n.replicas)
	}
	for replica := 1; replica <= maxReplicas; replica++ {
		for _, n := range p.requirements {
			for from := n.firstGap(min(replica, n.replicas)); from >= 0; from = n.firstGap(min(replica, n.replicas)) {
				i, ok := p.takeFree(n, replica)
				if !ok {
					if p.extendRange(n, from) {
						continue
					}
					break
				}
				p.assign(i, n, from, min(from+i.MaxLayers(), n.model.Layers()))
			}
		}
	}
}

// takeFree removes and returns a free runner. It takes one with the most memory and, among those, one in the data centre
// with the fewest runners of the model. If no runner is free, it releases a surplus one.
func (p *planner) takeFree(n *requirement, replica int) (i bergamotfleet.Instance, ok bool) {
	if len(p.free) == 0 && !p.releaseSurplus(n, replica) {
		return i, false
	}
	best, perCentre := 0, p.perCentre[n.model.Name()]
	for k := 1; k < len(p.free) && p.free[k].MaxLayers() == p.free[0].MaxLayers(); k++ {
		if perCentre[p.free[k].DataCentre()] < perCentre[p.free[best].DataCentre()] {
			best = k
		}
	}
	i = p.free[best]
	p.free = slices.Delete(p.free, best, best+1)
	return i, true
}

// releaseSurplus frees a runner so that the other model gets its replica of the given number, and reports whether it
// found one. It takes the runner from the least important model that can spare one: the other model keeps its declared
// replicas, and each further model keeps at most as many as the other model is about to have.
func (p *planner) releaseSurplus(other *requirement, replica int) bool {
	for _, n := range slices.Backward(p.requirements) {
		keep := min(n.replicas, replica)
		if n == other {
			keep = n.replicas
		}
		var names []string
		for name, h := range p.assigned {
			if h.Model() == n.model.Name() && n.minHolders(h.From(), h.To()) > keep {
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
		p.perCentre[h.Model()][p.runners[name].DataCentre()]--
		p.free = append(p.free, p.runners[name])
		return true
	}
	return false
}
