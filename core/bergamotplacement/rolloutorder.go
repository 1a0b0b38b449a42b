package bergamotplacement

import (
	"cmp"
	"slices"

	"bergamotspur/core/bergamotfleet"
)

// rolloutOrder returns the runners of a plan in the order in which they should load a new version. The ranges of runners
// overlap: in a bad order, neither the runners with the old version nor those with the new one hold all layers, while
// every one of them is still needed. Sorted by first layer, each range is added to the replica that ends first, which
// splits the ranges into as many complete replicas as the bundle declares; the replicas then change one after another.
func rolloutOrder(requirements []*requirement, assigned map[string]bergamotfleet.Holding) (out []string) {
	byModel := map[string][]string{}
	for name, h := range assigned {
		byModel[h.Model()] = append(byModel[h.Model()], name)
	}
	for _, n := range requirements {
		names := byModel[n.model.Name()]
		slices.SortFunc(names, func(a, b string) int {
			x, y := assigned[a], assigned[b]
			return cmp.Or(cmp.Compare(x.From(), y.From()), cmp.Compare(x.To(), y.To()), cmp.Compare(a, b))
		})
		byReplica, ends := make([][]string, n.replicas), make([]int, n.replicas)
		for _, name := range names {
			k := slices.Index(ends, slices.Min(ends))
			byReplica[k] = append(byReplica[k], name)
			ends[k] = max(ends[k], assigned[name].To())
		}
		out = append(out, slices.Concat(byReplica...)...)
	}
	return out
}
