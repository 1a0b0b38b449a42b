package bergamotplacement

import (
	"cmp"
	"slices"

	"bergamotspur/core/bergamotbundle"
)

// need is what the bundle declares for one model. Pipelines of the same model share its runners, so that the largest
// of their replica counts decides and each runner holds the adapters of all of them.
type need struct {
	model    bergamotbundle.Model
	priority int
	replicas int
	adapters []string
	cover    []int // runners that hold each layer
}

// needs returns one need for each model that a pipeline uses, the most important first.
func needs(b *bergamotbundle.Bundle) (out []*need) {
	byModel := map[string]*need{}
	for _, name := range b.Pipelines() {
		p, _ := b.Pipeline(name)
		n, ok := byModel[p.Model().Name()]
		if !ok {
			n = &need{model: p.Model(), priority: p.Priority(), cover: make([]int, p.Model().Layers())}
			byModel[p.Model().Name()] = n
			out = append(out, n)
		}
		n.priority, n.replicas = max(n.priority, p.Priority()), max(n.replicas, p.Replicas())
		if p.Adapter() != "" && !slices.Contains(n.adapters, p.Adapter()) {
			n.adapters = append(n.adapters, p.Adapter())
		}
	}
	for _, n := range out {
		slices.Sort(n.adapters)
	}
	slices.SortFunc(out, func(a, b *need) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.model.Name(), b.model.Name()))
	})
	return out
}

func (n *need) add(from, to, by int) {
	for l := from; l < min(to, len(n.cover)); l++ {
		n.cover[l] += by
	}
}

// gap returns the first layer that fewer than count runners hold, -1 for none.
func (n *need) gap(count int) int {
	return slices.IndexFunc(n.cover, func(c int) bool { return c < count })
}

// least returns the smallest count of runners over a range of layers.
func (n *need) least(from, to int) int { return slices.Min(n.cover[from:min(to, len(n.cover))]) }
