package bergamotsetting

import (
	"time"

	"bergamotspur/core/bergamotini"
)

// timing holds the section [timing].
type timing struct {
	drain    time.Duration
	silence  time.Duration
	stall    time.Duration
	probe    time.Duration
	head     time.Duration
	poll     time.Duration
	attempts int
}

func newTiming() timing {
	return timing{
		drain: 30 * time.Second, silence: time.Second, stall: 3 * time.Second, probe: time.Second, head: 2 * time.Second,
		poll: time.Second, attempts: 5,
	}
}

func (t *timing) section() string { return "timing" }

func (t *timing) required() bool { return false }

func (t *timing) read(section *bergamotini.Section) {
	t.drain = section.Duration("drain", t.drain, time.Millisecond, time.Hour)
	t.silence = section.Duration("silence", t.silence, 10*time.Millisecond, time.Hour)
	t.stall = section.Duration("stall", t.stall, 10*time.Millisecond, time.Hour)
	t.probe = section.Duration("probe", t.probe, 10*time.Millisecond, time.Minute)
	t.head = section.Duration("head", t.head, 10*time.Millisecond, time.Minute)
	t.poll = section.Duration("poll", t.poll, 10*time.Millisecond, time.Minute)
	t.attempts = section.Int("attempts", t.attempts, 1, 100)
}

// DrainTimeout returns the maximum time that a shutdown waits for requests in flight, 30 s by default.
func (t *timing) DrainTimeout() time.Duration { return t.drain }

// SilenceTimeout returns the maximum time without a message, heartbeats included, on a connection, 1 s by default.
func (t *timing) SilenceTimeout() time.Duration { return t.silence }

// StallTimeout returns the maximum time between two tokens of a stream, 3 s by default.
func (t *timing) StallTimeout() time.Duration { return t.stall }

// ProbeInterval returns the time between two probes of an instance, 1 s by default.
func (t *timing) ProbeInterval() time.Duration { return t.probe }

// HeadInterval returns the mean time between two reads of the head in the table, 2 s by default.
func (t *timing) HeadInterval() time.Duration { return t.head }

// PollInterval returns the time between two reads of the instance list, 1 s by default.
func (t *timing) PollInterval() time.Duration { return t.poll }

// MaxAttempts returns the maximum number of attempts for one answer, 5 by default.
func (t *timing) MaxAttempts() int { return t.attempts }
