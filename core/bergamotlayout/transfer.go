package bergamotlayout

import "slices"

const (
	// minCapacityShare is the share of the planned capacity below which bottlenecks are relieved. Every change loads
	// weights and makes some streams wait.
	minCapacityShare = 0.8
	// minTransferGain is the share of the cost by which a transfer chain must lower it at least.
	minTransferGain = 0.01
	// bottleneckFactor is the multiple of the lowest capacity up to which the holders of a layer are relieved.
	bottleneckFactor = 1.2
	// maxTransferChains bounds the transfer chains of one plan, and with them its computing time and number of orders.
	maxTransferChains = 60
)

// transfer moves the layer at one end of a runner's range to a neighbour.
type transfer struct {
	source int  // index of the runner that gives up the layer, or -1 if no runner does
	dest   int  // index of the runner that takes the layer, or -1 if no runner does because others hold it already
	up     bool // the source gives up its last layer; otherwise its first one
	layer  int
}

// relieveBottlenecks raises the capacity of the layers that have the least: their holders give up layers at the ends of
// their ranges that others hold as well, or pass them along the chain of their neighbours. Repairs and losses leave such
// bottlenecks behind. Transfer chains are applied one at a time, each the one that lowers the cost most.
func (p *groupPlan) relieveBottlenecks() {
	for range maxTransferChains {
		if p.capacity[p.bottleneck()] >= minCapacityShare*plannedRequests*p.model.requestTokens {
			return
		}
		var best []transfer
		gain := minTransferGain * p.cost(0, p.model.layers)
		for _, t := range p.transfers() {
			if transfers, g := p.bestChain(t); g > gain {
				best, gain = transfers, g
			}
		}
		if best == nil {
			return
		}
		for _, t := range best {
			p.applyTransfer(t)
		}
	}
}

// bestChain returns the best chain of transfers that starts with t, in which each runner passes on a layer at its far
// end, and by how much the chain lowers the cost.
func (p *groupPlan) bestChain(t transfer) (best []transfer, gain float64) {
	var chain []transfer
	total := 0.0
	for range maxShifts {
		total += p.gain(t)
		p.applyTransfer(t)
		chain = append(chain, t)
		if best == nil || total > gain {
			best, gain = slices.Clone(chain), total
		}
		next, ok := p.next(t)
		if !ok {
			break
		}
		t = next
	}
	for _, t := range slices.Backward(chain) {
		p.applyTransfer(t.inverse())
	}
	return best, gain
}

// next returns the best transfer by which the runner that took a layer passes one on at its far end.
func (p *groupPlan) next(t transfer) (best transfer, ok bool) {
	if t.dest < 0 {
		return best, false
	}
	span := p.spans[p.runners[t.dest].name]
	if span.Len() < 2 {
		return best, false
	}
	gain := 0.0
	for _, c := range p.appendTransfers(nil, transfer{source: t.dest, up: t.up, layer: span.end(t.up)}) {
		if g := p.gain(c); !ok || g > gain {
			best, gain, ok = c, g, true
		}
	}
	return best, ok
}

// bottleneck returns the layer with the least capacity.
func (p *groupPlan) bottleneck() (layer int) {
	for i := range p.capacity {
		if p.capacity[i] < p.capacity[layer] {
			layer = i
		}
	}
	return layer
}

// cost returns the sum of 1/capacity of the layers from (included) to to (excluded).
func (p *groupPlan) cost(from, to int) (sum float64) {
	for _, capacity := range p.capacity[from:to] {
		sum += 1 / max(capacity, 1)
	}
	return sum
}

// transfers returns the transfers that may start a chain, which are those from the holders of bottlenecks.
func (p *groupPlan) transfers() (out []transfer) {
	threshold := bottleneckFactor * p.capacity[p.bottleneck()]
	for i, r := range p.runners {
		s := p.spans[r.name]
		if s.Len() > 1 && slices.Min(p.capacity[s.from:s.to]) <= threshold {
			out = p.appendTransfers(out, transfer{source: i, up: true, layer: s.end(true)})
			out = p.appendTransfers(out, transfer{source: i, layer: s.end(false)})
		}
	}
	return out
}

// appendTransfers appends t once for each possible destination: none if another runner holds the layer too, and each
// neighbour with memory for it.
func (p *groupPlan) appendTransfers(out []transfer, t transfer) []transfer {
	if p.holders[t.layer] > 1 {
		t.dest = -1
		out = append(out, t)
	}
	for n, r := range p.runners {
		span := p.spans[r.name]
		isNeighbour := t.up && span.from == t.layer+1 || !t.up && span.to == t.layer
		if isNeighbour && n != t.source && span.Len() > 0 && span.Len() < p.model.MaxLayers(r.memory) {
			t.dest = n
			out = append(out, t)
		}
	}
	return out
}

// gain returns by how much a transfer lowers the cost.
func (p *groupPlan) gain(t transfer) float64 {
	from, to := p.affectedLayers(t)
	before := p.cost(from, to)
	p.applyTransfer(t)
	after := p.cost(from, to)
	p.applyTransfer(t.inverse())
	return before - after
}

// affectedLayers returns the range of layers whose capacity a transfer changes.
func (p *groupPlan) affectedLayers(t transfer) (from, to int) {
	s := p.spans[p.runners[t.source].name]
	from, to = s.from, s.to
	if t.dest >= 0 {
		d := p.spans[p.runners[t.dest].name]
		from, to = min(from, d.from), max(to, d.to)
	}
	return from, to
}

// inverse returns the transfer that undoes t.
func (t transfer) inverse() transfer {
	if t.dest < 0 {
		return transfer{source: -1, dest: t.source, up: !t.up, layer: t.layer}
	}
	return transfer{source: t.dest, dest: t.source, up: !t.up, layer: t.layer}
}

// applyTransfer changes the ranges of the two runners.
func (p *groupPlan) applyTransfer(t transfer) {
	if t.source >= 0 {
		p.setSpan(t.source, p.spans[p.runners[t.source].name].resize(t.up, -1))
	}
	if t.dest >= 0 {
		p.setSpan(t.dest, p.spans[p.runners[t.dest].name].resize(!t.up, 1))
	}
}

// setSpan assigns a range to the runner with an index and updates holders and capacity.
func (p *groupPlan) setSpan(i int, s Span) {
	r := p.runners[i]
	p.updateHolders(r, p.spans[r.name], -1)
	p.spans[r.name] = s
	p.updateHolders(r, s, 1)
}

// updateHolders adds a runner to the holders and capacity of the layers of a range (sign 1) or removes it (sign -1).
func (p *groupPlan) updateHolders(r Runner, s Span, sign int) {
	if s.Len() == 0 {
		return
	}
	tokenCapacity := p.usableCapacity(r, s)
	for i := s.from; i < min(s.to, p.model.layers); i++ {
		p.holders[i] += sign
		p.capacity[i] += float64(sign) * tokenCapacity
	}
}
