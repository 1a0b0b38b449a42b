package bergamotlayout

import (
	"cmp"
	"math"
	"slices"
)

const (
	leastRequests = 16.0 // requests for which a runner keeps memory; fewer would preempt at the usual concurrency
	// copyFactor is the memory of a data centre for each copy that it holds, relative to the size of a copy. What is
	// left holds requests: with 1.6 some 140 requests of the usual size run through one copy.
	copyFactor = 1.6
)

// Layout assigns layers to runners. It keeps no state: each call starts from what the runners hold.
type Layout struct {
	Model Model
}

// Plan returns what each runner should hold. Runners that hold layers keep them unless the layers of a copy could
// not be covered otherwise, since each change of a range loads weights. Runners that are missing from the result
// stay as they are.
func (l *Layout) Plan(runners []Runner) map[string]Span {
	out := map[string]Span{}
	for _, g := range l.groups(runners) {
		l.plan(g, out)
	}
	return out
}

// groups returns the sets of runners that hold whole copies: each data centre with enough memory, and all others
// together.
func (l *Layout) groups(runners []Runner) (out [][]Runner) {
	centres := map[string][]Runner{}
	var names []string
	for _, r := range runners {
		if _, ok := centres[r.centre]; !ok {
			names = append(names, r.centre)
		}
		centres[r.centre] = append(centres[r.centre], r)
	}
	slices.Sort(names)
	var rest []Runner
	for _, name := range names {
		if l.fits(centres[name]) {
			out = append(out, centres[name])
		} else {
			rest = append(rest, centres[name]...)
		}
	}
	if l.fits(rest) {
		return append(out, rest)
	}
	if len(out) == 0 {
		return nil
	}
	// Runners of data centres without a copy of their own reinforce the last group.
	out[len(out)-1] = append(out[len(out)-1], rest...)
	return out
}

func (l *Layout) fits(runners []Runner) bool {
	n := 0
	for _, r := range runners {
		n += l.Model.Most(r.memory)
	}
	return n >= l.Model.layers
}

// plan assigns the layers of one group.
func (l *Layout) plan(runners []Runner, out map[string]Span) {
	slices.SortFunc(runners, func(a, b Runner) int { return cmp.Compare(a.name, b.name) })
	held := 0
	for _, r := range runners {
		held += r.held.Len()
	}
	if held == 0 {
		l.fresh(runners, l.copies(runners), out)
		return
	}
	r := newRepair(l.Model, runners)
	r.fill()
	if r.extend(); r.gap() >= 0 {
		l.fresh(runners, 1, out)
		return
	}
	r.reinforce(l.copies(runners))
	for name, s := range r.spans {
		out[name] = s
	}
}

// copies returns how many copies the memory of a group is enough for, at least one.
func (l *Layout) copies(runners []Runner) int {
	sum := 0.0
	for _, r := range runners {
		sum += r.memory
	}
	return max(int(sum/(copyFactor*l.Model.size())), 1)
}

// fresh spreads copies over the runners without regard to what costs loads, but in the order of what they hold.
func (l *Layout) fresh(runners []Runner, copies int, out map[string]Span) {
	for ; copies > 1; copies-- {
		decks := deal(runners, copies)
		if !slices.ContainsFunc(decks, func(d []Runner) bool { return !l.fits(d) }) {
			for _, d := range decks {
				l.spread(d, out)
			}
			return
		}
	}
	l.spread(runners, out)
}

// deal divides the runners into sets of about the same memory and speed.
func deal(runners []Runner, n int) [][]Runner {
	sorted := slices.Clone(runners)
	slices.SortStableFunc(sorted, func(a, b Runner) int {
		return cmp.Or(cmp.Compare(b.memory, a.memory), cmp.Compare(a.pace, b.pace))
	})
	out, sums := make([][]Runner, n), make([]float64, n)
	for _, r := range sorted {
		least := 0
		for i := range sums {
			if sums[i] < sums[least] {
				least = i
			}
		}
		out[least] = append(out[least], r)
		sums[least] += r.memory
	}
	return out
}

// spread divides one copy over the runners in proportion to their memory, so that all have room for the same number
// of requests.
func (l *Layout) spread(runners []Runner, out map[string]Span) {
	sorted := slices.Clone(runners)
	slices.SortStableFunc(sorted, func(a, b Runner) int {
		return cmp.Or(cmp.Compare(a.held.from, b.held.from), cmp.Compare(a.pace, b.pace), cmp.Compare(a.name, b.name))
	})
	sum := 0.0
	for _, r := range sorted {
		sum += r.memory
	}
	at, due := 0, 0.0
	for i, r := range sorted {
		due += float64(l.Model.layers) * r.memory / sum
		end := min(int(math.Round(due)), at+l.Model.Most(r.memory))
		if i == len(sorted)-1 {
			end = min(l.Model.layers, at+l.Model.Most(r.memory))
		}
		if end > at {
			out[r.name] = NewSpan(at, end)
			at = end
		}
	}
}
