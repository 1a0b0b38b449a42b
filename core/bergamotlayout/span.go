package bergamotlayout

import "math"

// Span is a range of consecutive layers.
type Span struct {
	from int
	to   int // excluded
}

// NewSpan returns the layers from (included) to to (excluded); negative bounds, which a runner may report, become 0.
func NewSpan(from, to int) Span { return Span{from: max(from, 0), to: max(to, 0)} }

// From returns the first layer.
func (s Span) From() int { return s.from }

// To returns the layer after the last one.
func (s Span) To() int { return s.to }

// end returns the last layer, or else the first one.
func (s Span) end(last bool) int {
	if last {
		return s.to - 1
	}
	return s.from
}

// clip returns the layers of the range that a model with a number of layers has.
func (s Span) clip(layers int) Span { return NewSpan(s.from, min(s.to, layers)) }

// contains reports whether the range has all layers of another one.
func (s Span) contains(o Span) bool { return s.from <= o.from && o.to <= s.to }

// resize returns the range extended by a number of layers, which may be negative, at its last end or else at its first.
func (s Span) resize(last bool, by int) Span {
	if last {
		s.to += by
	} else {
		s.from -= by
	}
	return s
}

// Len returns the number of layers.
func (s Span) Len() int { return max(s.to-s.from, 0) }

// Runner describes a runner that may hold layers.
type Runner struct {
	name   string
	centre string
	memory float64 // MB
	pace   float64 // factor on the time of a step; lower is faster
	held   Span    // layers that it holds or was ordered to hold
	rate   float64 // requests a second that it takes from callers, if hasRate is set
	// hasRate is set for a runner that says how many requests it takes as the first one of their paths.
	hasRate bool
}

// NewRunner returns a runner of a data centre with its memory in MB, the factor on the time of a step, and the layers
// that it holds or was ordered to hold.
func NewRunner(name, centre string, memory, pace float64, held Span) Runner {
	return Runner{name: name, centre: centre, memory: memory, pace: pace, held: held}
}

// Name returns the unique name of the runner.
func (r Runner) Name() string { return r.name }

// Held returns the layers that the runner holds or was ordered to hold.
func (r Runner) Held() Span { return r.held }

// Memory returns the memory in MB.
func (r Runner) Memory() float64 { return r.memory }

// heldPosition returns a sort key for the position of the held layers: twice the middle of the range, or the largest
// number if the runner holds none.
func (r Runner) heldPosition() int {
	if r.held.Len() == 0 {
		return math.MaxInt
	}
	return r.held.from + r.held.to
}

// WithHeld returns a copy of the runner that holds other layers.
func (r Runner) WithHeld(s Span) Runner {
	r.held = s
	return r
}

// WithRate returns a copy of the runner that takes a number of requests a second as the first one of their paths.
func (r Runner) WithRate(perSecond float64) Runner {
	r.rate, r.hasRate = perSecond, true
	return r
}
