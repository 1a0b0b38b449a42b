package bergamotplacement

import (
	"cmp"
	"slices"

	"bergamotspur/core/bergamotfleet"
)

// sequence returns the runners of a plan in the order in which a new version should reach them. Ranges overlap, so that
// in a bad order the runners with the old version and those with the new one can both miss a layer and each of them be
// needed. Taking the ranges from the left, each to the chain that ends first, splits them into as many complete chains
// as there are replicas; one chain after another then changes.
func sequence(needs []*need, assigned map[string]bergamotfleet.Holding) (out []string) {
	byModel := map[string][]string{}
	for name, h := range assigned {
		byModel[h.Model()] = append(byModel[h.Model()], name)
	}
	for _, n := range needs {
		names := byModel[n.model.Name()]
		slices.SortFunc(names, func(a, b string) int {
			x, y := assigned[a], assigned[b]
			return cmp.Or(cmp.Compare(x.From(), y.From()), cmp.Compare(x.To(), y.To()), cmp.Compare(a, b))
		})
		chains, ends := make([][]string, n.replicas), make([]int, n.replicas)
		for _, name := range names {
			k := slices.Index(ends, slices.Min(ends))
			chains[k] = append(chains[k], name)
			ends[k] = max(ends[k], assigned[name].To())
		}
		out = append(out, slices.Concat(chains...)...)
	}
	return out
}
