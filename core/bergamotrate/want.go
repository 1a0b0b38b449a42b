package bergamotrate

// Want asks for permits of a process, and passes its limit on. The number is 0 if it only does the latter.
type Want struct {
	limit  Limit
	number int
}

// NewWant returns a wish for a number of permits under a limit.
func NewWant(l Limit, number int) Want { return Want{limit: l, number: max(number, 0)} }

// Limit returns the limit as the entry that asks knows it.
func (w Want) Limit() Limit { return w.limit }

// Number returns how many permits are wanted.
func (w Want) Number() int { return w.number }

// Permits are the permits that were given out, by process.
type Permits map[string]int

// share divides n permits among entries that want some, beginning with the one at index first, and returns how many each gets. No entry
// gets more than an equal part while another one lacks some.
func share(n int, wanted []int, first int) (out []int) {
	out = make([]int, len(wanted))
	for given := true; n > 0 && given; {
		given = false
		for k := range wanted {
			if i := (first + k) % len(wanted); n > 0 && out[i] < wanted[i] {
				out[i]++
				n--
				given = true
			}
		}
	}
	return out
}
