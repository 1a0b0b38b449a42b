package bergamotmember

import (
	"cmp"
	"slices"
)

// topDemand returns the demand with the highest rates, sorted by workspace ID.
func topDemand(demand []Demand) []Demand {
	top := slices.DeleteFunc(slices.Clone(demand), func(d Demand) bool { return d.rate == 0 })
	slices.SortFunc(top, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.workspace, b.workspace))
	})
	top = top[:min(len(top), MaxWorkspaces)]
	slices.SortFunc(top, func(a, b Demand) int { return cmp.Compare(a.workspace, b.workspace) })
	return top
}

// hasDemandChanged reports whether a rate has changed by half or more, or a workspace was added or removed.
func hasDemandChanged(old, current []Demand) bool {
	rates := map[uint64]uint32{}
	for _, d := range old {
		rates[d.workspace] = d.rate
	}
	for _, d := range current {
		oldRate, ok := rates[d.workspace]
		if !ok || 2*uint64(d.rate) >= 3*uint64(oldRate) || 3*uint64(d.rate) <= 2*uint64(oldRate) {
			return true
		}
		delete(rates, d.workspace)
	}
	return len(rates) > 0
}
