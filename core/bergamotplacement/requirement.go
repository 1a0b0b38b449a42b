package bergamotplacement

import (
	"cmp"
	"slices"

	"bergamotspur/core/bergamotbundle"
)

// requirement is what the bundle declares for one model, with a count of the runners that hold it. Pipelines of the same
// model share its runners, so it has the largest of their replica counts and the adapters of all of them.
type requirement struct {
	model    bergamotbundle.Model
	priority int
	replicas int
	adapters []string
	holders  []int // number of runners by layer
}

// requirements returns one requirement for each model that a pipeline uses, in descending order of priority.
func requirements(b *bergamotbundle.Bundle) (out []*requirement) {
	byModel := map[string]*requirement{}
	for _, name := range b.Pipelines() {
		p, _ := b.Pipeline(name)
		n, ok := byModel[p.Model().Name()]
		if !ok {
			n = &requirement{model: p.Model(), priority: p.Priority(), holders: make([]int, p.Model().Layers())}
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
	slices.SortFunc(out, func(a, b *requirement) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.model.Name(), b.model.Name()))
	})
	return out
}

// add adds delta to the number of holders of layers from (included) to to (excluded).
func (n *requirement) add(from, to, delta int) {
	for l := from; l < min(to, len(n.holders)); l++ {
		n.holders[l] += delta
	}
}

// firstGap returns the first layer that fewer than count runners hold, or -1 if there is none.
func (n *requirement) firstGap(count int) int {
	return slices.IndexFunc(n.holders, func(c int) bool { return c < count })
}

// minHolders returns the smallest number of holders of a layer in a range.
func (n *requirement) minHolders(from, to int) int {
	return slices.Min(n.holders[from:min(to, len(n.holders))])
}
