package bergamotdetour

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxLevels is the largest number of entries from a hub to the last one that follows it.
	maxLevels = 6
	// treeTime is the longest time for which the followers of an entry are not asked for again.
	treeTime = 8 * time.Second
)

// Draw is what became of a draw of entries.
type Draw struct {
	asked  int
	listed int
	found  int
}

// Asked returns how many entries were asked for their listings.
func (d Draw) Asked() int { return d.asked }

// Listed returns how many of them answered.
func (d Draw) Listed() int { return d.listed }

// Found returns how many entries were found that open connections for others.
func (d Draw) Found() int { return d.found }

// tree holds the followers of entries, by name, so that not each draw asks the hubs.
type tree map[string]knownFollowers

type knownFollowers struct {
	list  []Branch
	until time.Time
}

// drawing draws entries from the trees of the hubs.
type drawing struct {
	directory Directory
	random    func(n int) int
	self      string // name of this entry, which is not drawn
	now       time.Time
	tree      tree

	seen    map[string]bool   // entries that were drawn or are on the way to some, by name
	found   []Helper          // entries that can help
	leaving []leavingHelper   // entries that can help although they are stopping
	asked   int               // queries
	listed  int               // answers to them
	answers map[string]Answer // of the entries that were asked for their listings, AnswerSilent for none, by name
	hubs    []Branch          // of all data centres, as a hub among these entries knows them
	hints   []Helper          // helpers that these entries have found
}

// visit is an entry with the number of entries that are to be drawn from it and those that read through it.
type visit struct {
	branch Branch
	n      int
}

// draw finds those of n entries, drawn evenly from all that read through the roots, that can help.
func (d *drawing) draw(ctx context.Context, roots []Branch, n int) {
	level, _ := d.share(d.weigh(roots), 0, n)
	var drawn []Helper
	for range maxLevels {
		d.expand(ctx, level)
		var below []visit
		for _, v := range level {
			next, own := d.share(d.tree[v.branch.name].list, 1, v.n)
			if own > 0 {
				drawn = append(drawn, v.branch.Helper)
			}
			below = append(below, next...)
		}
		level = below
	}
	d.check(ctx, drawn)
}

// weigh returns hubs with the numbers of entries that were counted last: by the hub itself, or by its registration. At least two, so
// that a hub whose followers had not begun to follow it is asked again.
func (d *drawing) weigh(hubs []Branch) (out []Branch) {
	for _, b := range hubs {
		if k, known := d.tree[b.name]; known {
			b.entries = 1
			for _, f := range k.list {
				b.entries += f.entries
			}
		}
		b.entries = max(b.entries, 2)
		out = append(out, b)
	}
	return out
}

// expand asks those entries for their followers that have some which are not known.
func (d *drawing) expand(ctx context.Context, level []visit) {
	var asked []Helper
	for _, v := range level {
		if k, known := d.tree[v.branch.name]; v.branch.entries > 1 && (!known || !d.now.Before(k.until)) {
			asked = append(asked, v.branch.Helper)
		}
	}
	d.list(ctx, asked)
}

// check finds those of the entries that can help. One that lends no more connections at the moment can do so again soon.
func (d *drawing) check(ctx context.Context, entries []Helper) {
	var asked []Helper
	for _, e := range entries {
		if _, known := d.answers[e.name]; !known && e.name != d.self {
			asked = append(asked, e)
		}
	}
	d.list(ctx, asked)
	for _, e := range entries {
		a := d.answers[e.name]
		if e.name != d.self && (a == AnswerConnected || a == AnswerFull) && !slices.Contains(d.found, e) {
			d.found = append(d.found, e)
		}
	}
}

// list asks entries for their listings at the same time. Those that do not answer count as silent.
func (d *drawing) list(ctx context.Context, entries []Helper) {
	listings := make([]*Listing, len(entries))
	var asked sync.WaitGroup
	for i, e := range entries {
		asked.Go(func() {
			if l, err := d.directory.List(ctx, e); err == nil {
				listings[i] = &l
			}
		})
	}
	asked.Wait()
	d.asked += len(entries)
	for i, l := range listings {
		name := entries[i].name
		if l == nil {
			d.answers[name] = AnswerSilent
			delete(d.tree, name)
			continue
		}
		d.listed++
		d.answers[name] = l.answer
		d.hints = append(d.hints, l.helpers...)
		if l.left > 0 {
			d.leaving = append(d.leaving, leavingHelper{entries[i], d.now.Add(l.left)})
		}
		if len(l.hubs) >= len(d.hubs) {
			d.hubs = l.hubs
		}
		// Entries that look for helpers at the same time ask again at different times.
		d.tree[name] = knownFollowers{l.followers, d.now.Add(treeTime/2 + treeTime/2*time.Duration(d.random(1024))/1024)}
	}
}

// learnHubs asks some hubs which others there are, and returns those of all data centres.
func (d *drawing) learnHubs(ctx context.Context, known []Branch) []Branch {
	asked := make([]Helper, len(known))
	for i, b := range known {
		asked[i] = b.Helper
	}
	d.list(ctx, asked)
	if len(d.hubs) > 0 {
		return d.hubs
	}
	return known
}

// share draws n of the entries that read through some branches and of others, without drawing one twice. It returns the branches that
// have a part of them, and how many of the others were drawn.
func (d *drawing) share(branches []Branch, others, n int) (out []visit, drawn int) {
	total := others
	for _, b := range branches {
		total += max(b.entries, 1)
	}
	chosen := d.sample(total, n)
	for p := range others {
		if chosen[p] {
			drawn++
		}
	}
	first := others
	for _, b := range branches {
		v, end := visit{branch: b}, first+max(b.entries, 1)
		for ; first < end; first++ {
			if chosen[first] {
				v.n++
			}
		}
		if v.n > 0 && !d.seen[b.name] {
			d.seen[b.name] = true
			out = append(out, v)
		}
	}
	return out, drawn
}

// sample returns n different numbers from 0 to total-1, each set as likely as the other: the algorithm of Robert Floyd.
func (d *drawing) sample(total, n int) map[int]bool {
	chosen := map[int]bool{}
	for j := max(total-n, 0); j < total; j++ {
		k := d.random(j + 1)
		if chosen[k] {
			k = j
		}
		chosen[k] = true
	}
	return chosen
}
