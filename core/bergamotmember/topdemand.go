package bergamotmember

import (
	"cmp"
	"slices"
)

// topDemand returns the largest rates in the order of the workspaces.
func topDemand(demand []Demand) []Demand {
	top := slices.DeleteFunc(slices.Clone(demand), func(d Demand) bool { return d.rate == 0 })
	slices.SortFunc(top, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.workspace, b.workspace))
	})
	top = top[:min(len(top), MaxDemand)]
	slices.SortFunc(top, func(a, b Demand) int { return cmp.Compare(a.workspace, b.workspace) })
	return top
}

// moved tells whether a rate has changed by half or more, a new or ended one included.
func moved(old, now []Demand) bool {
	rates := map[uint64]uint32{}
	for _, d := range old {
		rates[d.workspace] = d.rate
	}
	for _, d := range now {
		was, ok := rates[d.workspace]
		if !ok || 2*uint64(d.rate) >= 3*uint64(was) || 3*uint64(d.rate) <= 2*uint64(was) {
			return true
		}
		delete(rates, d.workspace)
	}
	return len(rates) > 0
}
