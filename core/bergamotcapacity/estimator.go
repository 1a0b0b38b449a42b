package bergamotcapacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// DefaultCountWindow is the time for which the largest number of entries counts. Entries that fail keep the memory of
	// their requests at the runners for about this time, and a count that drops by mistake must not raise the shares.
	DefaultCountWindow = 1500 * time.Millisecond
	// maxBoundaries is the number of layers at which holdings begin or end up to which all ranges between two of them are
	// compared. That takes a microsecond for each 1,000 pairs; above it, only adjacent ones are compared.
	maxBoundaries = 256
	// minTypicalTokens is used where the configuration names no typical request.
	minTypicalTokens = 1
)

// Estimator makes estimates. It is not safe for concurrent use.
type Estimator struct {
	CountWindow time.Duration // time for which the largest number of entries counts

	counts  []entryCount
	runners []Runner  // sorted by data centre, kept to reuse the allocation
	bounds  []int     // layers at which those of a runner begin or end
	rest    []Runner  // of data centres that lack layers
	largest []float64 // see segments
	begin   []float64 // memory of the runners whose layers begin at or after each boundary
	end     []float64 // memory of the runners whose layers end at or before each boundary
}

// entryCount is a number of entries and when it was last observed.
type entryCount struct {
	at      time.Time
	entries int
}

// Estimate returns the free capacity of a service.
func (m *Estimator) Estimate(in Input) *Estimate {
	e := &Estimate{at: in.Now, age: -1, typical: max(finite(in.TypicalTokens), minTypicalTokens)}
	if in.Entries > 0 {
		e.entries = m.largestCount(in.Now, in.Entries)
	}
	if in.Layers <= 0 {
		return e
	}
	m.runners = m.runners[:0]
	for _, r := range in.Runners {
		if r.From < 0 || r.From >= r.To || r.To > in.Layers || !(r.Capacity > 0) || math.IsInf(r.Capacity, 0) {
			continue // a holding or a memory size that is impossible says nothing about capacity
		}
		r.Used, r.OwnUsed, r.Own = finite(r.Used), finite(r.OwnUsed), finite(r.Own)
		m.runners = append(m.runners, r)
		e.own += r.Own / float64(in.Layers)
		if r.Reported {
			e.growth += (r.Own - r.OwnUsed) / float64(in.Layers)
			if age := max(r.Age, 0); e.age < 0 || age < e.age {
				e.age = age
			}
		}
	}
	slices.SortStableFunc(m.runners, func(a, b Runner) int { return cmp.Compare(a.Centre, b.Centre) })
	covered, rest := false, m.rest[:0]
	for first := 0; first < len(m.runners); {
		last := first + 1
		for last < len(m.runners) && m.runners[last].Centre == m.runners[first].Centre {
			last++
		}
		if m.addCentre(e, m.runners[first].Centre, m.runners[first:last], in.Layers) {
			covered = true
		} else {
			rest = append(rest, m.runners[first:last]...)
		}
		first = last
	}
	// Paths cross between data centres that lack layers.
	covered = m.addCentre(e, "", rest, in.Layers) || covered
	m.rest = rest
	e.capacity = m.maxRequest(m.runners, in.Layers)
	e.known = covered && e.entries > 0 && e.age >= 0
	return e
}

// largestCount records a number of entries and returns the largest one within the window.
func (m *Estimator) largestCount(now time.Time, n int) int {
	m.counts = slices.DeleteFunc(m.counts, func(c entryCount) bool { return now.Sub(c.at) > m.CountWindow || c.entries <= n })
	m.counts = append(m.counts, entryCount{at: now, entries: n})
	return m.counts[0].entries // smaller counts are kept only after larger ones
}

// addCentre adds the free capacity of the runners of a data centre and reports whether they hold all layers.
func (m *Estimator) addCentre(e *Estimate, name string, runners []Runner, layers int) bool {
	if _, ok := m.segments(runners, layers); !ok {
		return false
	}
	free := m.fitting(runners, freeMemory)
	e.total += m.fitting(runners, func(r Runner) float64 { return r.Capacity })
	c := Centre{name: name, free: free, age: -1}
	for _, r := range runners {
		if r.Reported && (c.age < 0 || r.Age < c.age) {
			c.age = max(r.Age, 0)
		}
	}
	e.centres = append(e.centres, c)
	e.free += free
	e.largest = max(e.largest, free)
	return true
}

// fitting returns the tokens that fit into the memory of runners that hold all layers and whose boundaries are set. For each
// range of layers, the runners that hold any of them must have room for all tokens in all of these layers; the range with the
// least room decides. That is never less than what fits, and more only where a runner's layers lie on both sides of others'.
func (m *Estimator) fitting(runners []Runner, memory func(Runner) float64) (tokens float64) {
	n, total := len(m.bounds), 0.0
	m.begin, m.end = resize(m.begin, n), resize(m.end, n)
	for _, r := range runners {
		free := memory(r)
		f, _ := slices.BinarySearch(m.bounds, r.From)
		t, _ := slices.BinarySearch(m.bounds, r.To)
		m.begin[f] += free
		m.end[t] += free
		total += free
	}
	for i := 1; i < n; i++ {
		m.end[i] += m.end[i-1]
		m.begin[n-1-i] += m.begin[n-i]
	}
	tokens = math.Inf(1)
	for i := range n - 1 {
		last := n - 1
		if n > maxBoundaries {
			last = i + 1
		}
		for j := i + 1; j <= last; j++ {
			room := total - m.end[i] - m.begin[j]
			tokens = min(tokens, max(room, 0)/float64(m.bounds[j]-m.bounds[i]))
		}
	}
	return tokens
}

// segments sets the boundaries of the runners' layers and returns the largest memory of a runner in each range between two of
// them; ok is false if a layer is held by none.
func (m *Estimator) segments(runners []Runner, layers int) (largest []float64, ok bool) {
	m.bounds = m.bounds[:0]
	for _, r := range runners {
		m.bounds = append(m.bounds, r.From, r.To)
	}
	slices.Sort(m.bounds)
	m.bounds = slices.Compact(m.bounds)
	n := len(m.bounds)
	if n == 0 || m.bounds[0] != 0 || m.bounds[n-1] != layers {
		return nil, false
	}
	m.largest = resize(m.largest, n-1)
	for _, r := range runners {
		for i, _ := slices.BinarySearch(m.bounds, r.From); m.bounds[i] < r.To; i++ {
			m.largest[i] = max(m.largest[i], r.Capacity)
		}
	}
	return m.largest, slices.Min(m.largest) > 0
}

// maxRequest returns the tokens above which a request fits on no path even when the runners are idle: on some layer, the
// runner with the most memory cannot hold it. It returns 0 if a layer is held by none.
func (m *Estimator) maxRequest(runners []Runner, layers int) float64 {
	largest, ok := m.segments(runners, layers)
	if !ok {
		return 0
	}
	return slices.Min(largest)
}

// freeMemory returns the memory of a runner that was free at its last report.
func freeMemory(r Runner) float64 { return max(r.Capacity-r.Used, 0) }

// finite returns v, or 0 for a value that no amount of memory can have.
func finite(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// resize returns a slice of n zeros that reuses the memory of s if it can.
func resize(s []float64, n int) []float64 {
	if cap(s) < n {
		return make([]float64, n)
	}
	s = s[:n]
	clear(s)
	return s
}
