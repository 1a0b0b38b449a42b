package bergamotrate

import "time"

// Limit is what is known of the requests that a process of a runner takes from all entries together.
type Limit struct {
	process string
	rate    float64
	ended   bool
	at      time.Duration
}

// NewLimit returns the limit of a process: rate requests a second, as named at a time of the store's clock, which is 0 if that is not
// known.
func NewLimit(process string, rate float64, at time.Duration) Limit {
	return Limit{process: process, rate: rate, at: at}
}

// NewEnd returns the end of the limit of a process, which has answered without one at a time of the store's clock.
func NewEnd(process string, at time.Duration) Limit {
	return Limit{process: process, ended: true, at: at}
}

// Process returns the process of the runner.
func (l Limit) Process() string { return l.process }

// Rate returns the requests a second.
func (l Limit) Rate() float64 { return l.rate }

// Ended reports whether the process names no limit any more.
func (l Limit) Ended() bool { return l.ended }

// At returns the time on the store's clock at which the process said so, 0 if it is not known.
func (l Limit) At() time.Duration { return l.at }

// says reports whether both say the same of the process.
func (l Limit) says(other Limit) bool { return l.ended == other.ended && l.rate == other.rate }

// isNewer reports whether a limit replaces another one. Of two that were named at the same time, the lower one counts.
func (l Limit) isNewer(than Limit) bool {
	if l.at != than.at {
		return l.at > than.at
	}
	return than.ended && !l.ended || l.ended == than.ended && l.rate < than.rate
}
