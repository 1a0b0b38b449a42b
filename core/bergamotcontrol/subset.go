package bergamotcontrol

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotspur/core/bergamotfleet"
)

// Limits of the subset of runners that one entry uses.
const (
	// Up to this many runners every one is probed in each period. At about 300 B that is 15 KB/s of the 20 KB/s
	// that a node has for control.
	wholeFleet = 48
	// Each layer gets its part of this many members. Below it all runners are members, so that a fleet with few
	// entries leaves none unused; at 3,100 runners and 840 entries each runner still serves about 140 entries,
	// which keeps the load even.
	memberTarget = 512
	minHolders   = 4    // candidates for each layer, when that many hold it
	minCentres   = 3    // data centres with a candidate for each layer, when that many hold it
	maxLayer     = 1000 // as in a bundle; a runner that reports more must not fill the memory
)

// subset is the runners that one entry sends work to. Of each model and adapter it takes the holders with the
// highest rendezvous hash of entry and runner until each layer has enough, so that a member that fails is
// replaced by the next one, and no other changes.
type subset struct {
	entry   string
	centre  string // data centre of the entry
	groups  map[groupKey]*group
	held    map[string][]groupKey // groups of each runner
	seen    map[string]bergamotfleet.Instance
	dirty   map[groupKey]struct{}
	members map[string]int // in how many groups a runner was chosen
	centres map[string]int
	fleet   int // runners when the sizes of all groups were last set
	layers  []layer
}

// groupKey names what a request asks for: a model version with an adapter, which may be empty.
type groupKey struct{ model, version, adapter string }

type group struct {
	holders []holder // in the order of their ranks
	chosen  []string
}

type holder struct {
	name   string
	rank   uint64
	centre int
	ranges [][2]int
}

// layer counts the candidates of one layer while members are chosen.
type layer struct {
	want    int
	have    int
	centres uint64 // data centres of the candidates
}

func newSubset(entry, centre string) *subset {
	return &subset{
		entry: entry, centre: centre, groups: map[groupKey]*group{}, held: map[string][]groupKey{},
		seen: map[string]bergamotfleet.Instance{}, dirty: map[groupKey]struct{}{}, members: map[string]int{}, centres: map[string]int{},
	}
}

// rank orders the runners, in another order for each entry.
func (u *subset) rank(name string) uint64 { return xxhash.Sum64String(u.entry + "\x00" + name) }

// put takes over what a runner holds, nothing when it is not usable.
func (u *subset) put(i bergamotfleet.Instance) {
	if old, ok := u.seen[i.Name()]; ok && isAlike(old, i) {
		return
	}
	u.remove(i.Name())
	u.seen[i.Name()] = i
	if !i.Usable() {
		return
	}
	ranges := map[groupKey][][2]int{}
	for _, h := range i.Holdings() {
		from, to := max(h.From(), 0), min(h.To(), maxLayer)
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
		g, ok := u.groups[key]
		if !ok {
			g = &group{}
			u.groups[key] = g
		}
		x := holder{name: i.Name(), rank: u.rank(i.Name()), centre: u.bit(i.DataCentre()), ranges: r}
		at, _ := slices.BinarySearchFunc(g.holders, x, compareRank)
		g.holders = slices.Insert(g.holders, at, x)
		u.held[i.Name()] = append(u.held[i.Name()], key)
		u.dirty[key] = struct{}{}
	}
}

// remove forgets what a runner holds.
func (u *subset) remove(name string) {
	for _, key := range u.held[name] {
		g := u.groups[key]
		g.holders = slices.DeleteFunc(g.holders, func(x holder) bool { return x.name == name })
		u.dirty[key] = struct{}{}
	}
	delete(u.held, name)
	delete(u.seen, name)
}

// isAlike tells whether two reports of a runner lead to the same members.
func isAlike(a, b bergamotfleet.Instance) bool {
	return a.Usable() == b.Usable() && a.DataCentre() == b.DataCentre() &&
		slices.EqualFunc(a.Holdings(), b.Holdings(), bergamotfleet.Holding.Equal)
}

// bit returns the number of a data centre; from 64 on they share numbers, which only weakens their spread.
func (u *subset) bit(centre string) int {
	n, ok := u.centres[centre]
	if !ok {
		n = len(u.centres) % 64
		u.centres[centre] = n
	}
	return n
}

// choose brings the members up to date for a fleet of that many runners and returns those that are new, and
// whether any has changed.
func (u *subset) choose(runners int) (added []string, changed bool) {
	// The sizes depend on the fleet's size; all groups are chosen anew only after it has changed by more than 1/16.
	if diff := runners - u.fleet; max(diff, -diff)*16 > u.fleet {
		u.fleet = runners
		for key := range u.groups {
			u.dirty[key] = struct{}{}
		}
	}
	before := map[string]struct{}{}
	for key := range u.dirty {
		g := u.groups[key]
		for _, name := range g.chosen {
			before[name] = struct{}{}
			if u.members[name]--; u.members[name] == 0 {
				delete(u.members, name)
			}
		}
		u.fill(g)
		if len(g.holders) == 0 {
			delete(u.groups, key)
		}
	}
	for key := range u.dirty {
		if g, ok := u.groups[key]; ok {
			for _, name := range g.chosen {
				if _, ok := before[name]; !ok && u.members[name] == 0 {
					added = append(added, name)
				}
				u.members[name]++
			}
		}
	}
	for name := range before {
		changed = changed || u.members[name] == 0
	}
	clear(u.dirty)
	return added, changed || len(added) > 0
}

// fill chooses the members of one group.
func (u *subset) fill(g *group) {
	u.count(g)
	g.chosen = g.chosen[:0]
	taken := make([]bool, len(g.holders))
	own, known := u.centres[u.centre]
	// The first pass gives each layer enough candidates, the second spreads them over data centres, with one in
	// the entry's own, which still answers when the regions are cut off from each other.
	for _, lacks := range []func(layer, int) bool{
		func(l layer, _ int) bool { return l.have < l.want },
		func(l layer, centre int) bool {
			if l.centres&(1<<centre) != 0 {
				return false
			}
			return known && centre == own || bits.OnesCount64(l.centres) < minCentres
		},
	} {
		for n, x := range g.holders {
			if !taken[n] && u.anyLayer(x, lacks) {
				taken[n] = true
				g.chosen = append(g.chosen, x.name)
				u.cover(x)
			}
		}
	}
}

// count sets how many candidates each layer of the group shall have.
func (u *subset) count(g *group) {
	u.layers = u.layers[:0]
	for _, x := range g.holders {
		for _, r := range x.ranges {
			for len(u.layers) < r[1] {
				u.layers = append(u.layers, layer{})
			}
			for at := r[0]; at < r[1]; at++ {
				u.layers[at].want++
			}
		}
	}
	for at := range u.layers {
		l := &u.layers[at]
		l.want = max(min(l.want, minHolders), (l.want*memberTarget+u.fleet-1)/max(u.fleet, memberTarget))
	}
}

func (u *subset) anyLayer(x holder, lacks func(layer, int) bool) bool {
	for _, r := range x.ranges {
		for _, l := range u.layers[r[0]:r[1]] {
			if lacks(l, x.centre) {
				return true
			}
		}
	}
	return false
}

func (u *subset) cover(x holder) {
	for _, r := range x.ranges {
		for at := r[0]; at < r[1]; at++ {
			u.layers[at].have++
			u.layers[at].centres |= 1 << x.centre
		}
	}
}

func compareRank(a, b holder) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
}
