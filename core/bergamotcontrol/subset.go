package bergamotcontrol

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotspur/core/bergamotfleet"
)

// Limits of the subset of runners that one entry sends work to.
const (
	// In a fleet of up to this many runners, every one is probed in each period and traffic may use all. At about
	// 300 B per probe that takes 15 KB/s out of a node's 20 KB/s for control traffic.
	maxSmallFleet = 48
	// The number of runners to select, shared among the layers in proportion to their holders. All runners of a
	// smaller fleet are selected, so that none is unused with few entries. At 3,100 runners and 840 entries, each
	// runner still serves about 140 entries, which keeps the load even.
	targetSubsetSize = 512
	minCandidates    = 4    // candidates of each layer, if that many runners hold it
	minCentres       = 3    // data centres with a candidate of each layer, if it is held in that many
	maxLayers        = 1000 // as in a bundle; limits the memory that a wrong report can take
)

// subset selects the runners that one entry sends work to. For each model and adapter it selects the holders with the
// highest rendezvous hash of entry and runner until each layer has enough candidates. If a selected runner fails, the
// next one replaces it and the others stay.
type subset struct {
	entry         string
	centre        string // data centre of the entry
	groups        map[groupKey]*group
	groupKeys     map[string][]groupKey // groups by runner
	runners       map[string]bergamotfleet.Instance
	dirty         map[groupKey]struct{}
	selections    map[string]int // number of groups that selected a runner
	centreNumbers map[string]int
	fleetSize     int // number of runners for which the selection of all groups was last made
	coverage      []layerCoverage
}

// groupKey identifies what a request needs: a model version with an adapter, which may be empty.
type groupKey struct{ model, version, adapter string }

// group is the runners that hold layers of a model version with an adapter.
type group struct {
	holders  []holder // ordered by rank, highest first
	selected []string
}

// holder is a runner in a group, with the ranges [from, to) of layers that it holds.
type holder struct {
	name   string
	rank   uint64
	centre int
	ranges [][2]int
}

// layerCoverage counts the candidates of one layer, the selected runners that hold it, during the selection.
type layerCoverage struct {
	required      int
	candidates    int
	centreNumbers uint64 // bit set of the numbers of the data centres of the candidates
}

func newSubset(entry, centre string) *subset {
	return &subset{
		entry: entry, centre: centre, groups: map[groupKey]*group{}, groupKeys: map[string][]groupKey{},
		runners: map[string]bergamotfleet.Instance{}, dirty: map[groupKey]struct{}{}, selections: map[string]int{}, centreNumbers: map[string]int{},
	}
}

// rank returns the rendezvous hash of the entry and a runner, which orders the runners differently for each entry.
func (s *subset) rank(name string) uint64 { return xxhash.Sum64String(s.entry + "\x00" + name) }

// put updates the groups with the holdings of a runner, none if it is not usable.
func (s *subset) put(i bergamotfleet.Instance) {
	if old, ok := s.runners[i.Name()]; ok && isEquivalent(old, i) {
		return
	}
	s.remove(i.Name())
	s.runners[i.Name()] = i
	if !i.Usable() {
		return
	}
	ranges := map[groupKey][][2]int{}
	for _, h := range i.Holdings() {
		from, to := max(h.From(), 0), min(h.To(), maxLayers)
		if from >= to {
			continue
		}
		key := groupKey{model: h.Model(), version: h.Version()}
		ranges[key] = append(ranges[key], [2]int{from, to})
		for _, a := range h.Adapters() {
			key.adapter = a
			ranges[key] = append(ranges[key], [2]int{from, to})
		}
	}
	for key, r := range ranges {
		g, ok := s.groups[key]
		if !ok {
			g = &group{}
			s.groups[key] = g
		}
		runner := holder{name: i.Name(), rank: s.rank(i.Name()), centre: s.centreNumber(i.DataCentre()), ranges: r}
		index, _ := slices.BinarySearchFunc(g.holders, runner, compareRank)
		g.holders = slices.Insert(g.holders, index, runner)
		s.groupKeys[i.Name()] = append(s.groupKeys[i.Name()], key)
		s.dirty[key] = struct{}{}
	}
}

// remove removes a runner from its groups.
func (s *subset) remove(name string) {
	for _, key := range s.groupKeys[name] {
		g := s.groups[key]
		g.holders = slices.DeleteFunc(g.holders, func(h holder) bool { return h.name == name })
		s.dirty[key] = struct{}{}
	}
	delete(s.groupKeys, name)
	delete(s.runners, name)
}

// isEquivalent reports whether two states of a runner lead to the same selection.
func isEquivalent(a, b bergamotfleet.Instance) bool {
	return a.Usable() == b.Usable() && a.DataCentre() == b.DataCentre() &&
		slices.EqualFunc(a.Holdings(), b.Holdings(), bergamotfleet.Holding.Equal)
}

// centreNumber returns the number of a data centre in layerCoverage. With more than 64, some data centres share
// a number, which only makes the spread over data centres less even.
func (s *subset) centreNumber(centre string) int {
	n, ok := s.centreNumbers[centre]
	if !ok {
		n = len(s.centreNumbers) % 64
		s.centreNumbers[centre] = n
	}
	return n
}

// selectRunners renews the selection of the changed groups in a fleet of that many runners. It returns the newly selected
// runners and whether the selection has changed.
func (s *subset) selectRunners(runnerCount int) (added []string, changed bool) {
	// The number of candidates depends on the size of the fleet, so all groups are selected again when it has changed
	// by more than 1/16.
	if diff := runnerCount - s.fleetSize; max(diff, -diff)*16 > s.fleetSize {
		s.fleetSize = runnerCount
		for key := range s.groups {
			s.dirty[key] = struct{}{}
		}
	}
	before := map[string]struct{}{}
	for key := range s.dirty {
		g := s.groups[key]
		for _, name := range g.selected {
			before[name] = struct{}{}
			if s.selections[name]--; s.selections[name] == 0 {
				delete(s.selections, name)
			}
		}
		s.selectHolders(g)
		if len(g.holders) == 0 {
			delete(s.groups, key)
		}
	}
	for key := range s.dirty {
		if g, ok := s.groups[key]; ok {
			for _, name := range g.selected {
				if _, ok := before[name]; !ok && s.selections[name] == 0 {
					added = append(added, name)
				}
				s.selections[name]++
			}
		}
	}
	for name := range before {
		changed = changed || s.selections[name] == 0
	}
	clear(s.dirty)
	return added, changed || len(added) > 0
}

// selectHolders selects the runners of one group.
func (s *subset) selectHolders(g *group) {
	s.setRequired(g)
	g.selected = g.selected[:0]
	taken := make([]bool, len(g.holders))
	ownCentre, known := s.centreNumbers[s.centre]
	// The first pass selects enough candidates of each layer. The second adds candidates in other data centres and in
	// that of the entry, which stays reachable when regions are cut off from each other.
	for _, isLacking := range []func(layerCoverage, int) bool{
		func(l layerCoverage, _ int) bool { return l.candidates < l.required },
		func(l layerCoverage, centre int) bool {
			if l.centreNumbers&(1<<centre) != 0 {
				return false
			}
			return known && centre == ownCentre || bits.OnesCount64(l.centreNumbers) < minCentres
		},
	} {
		for n, h := range g.holders {
			if !taken[n] && s.isNeeded(h, isLacking) {
				taken[n] = true
				g.selected = append(g.selected, h.name)
				s.addCoverage(h)
			}
		}
	}
}

// setRequired resets the coverage and sets the number of candidates that each layer of the group needs.
func (s *subset) setRequired(g *group) {
	s.coverage = s.coverage[:0]
	for _, h := range g.holders {
		for _, r := range h.ranges {
			for len(s.coverage) < r[1] {
				s.coverage = append(s.coverage, layerCoverage{})
			}
			for n := r[0]; n < r[1]; n++ {
				s.coverage[n].required++
			}
		}
	}
	for n := range s.coverage {
		l := &s.coverage[n]
		l.required = max(min(l.required, minCandidates), (l.required*targetSubsetSize+s.fleetSize-1)/max(s.fleetSize, targetSubsetSize))
	}
}

// isNeeded reports whether isLacking is true for a layer of the holder and its data centre.
func (s *subset) isNeeded(h holder, isLacking func(layerCoverage, int) bool) bool {
	for _, r := range h.ranges {
		for _, l := range s.coverage[r[0]:r[1]] {
			if isLacking(l, h.centre) {
				return true
			}
		}
	}
	return false
}

// addCoverage counts the holder as a candidate of its layers.
func (s *subset) addCoverage(h holder) {
	for _, r := range h.ranges {
		for n := r[0]; n < r[1]; n++ {
			s.coverage[n].candidates++
			s.coverage[n].centreNumbers |= 1 << h.centre
		}
	}
}

func compareRank(a, b holder) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
}
