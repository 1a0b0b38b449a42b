package bergamotsetting

import (
	"time"

	"bergamotspur/core/bergamotini"
)

// timing is the section [timing].
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

func (t *timing) kind() string { return "timing" }

func (t *timing) required() bool { return false }

func (t *timing) read(c *bergamotini.Section) {
	t.drain = c.Duration("drain", t.drain, time.Millisecond, time.Hour)
	t.silence = c.Duration("silence", t.silence, 10*time.Millisecond, time.Hour)
	t.stall = c.Duration("stall", t.stall, 10*time.Millisecond, time.Hour)
	t.probe = c.Duration("probe", t.probe, 10*time.Millisecond, time.Minute)
	t.head = c.Duration("head", t.head, 10*time.Millisecond, time.Minute)
	t.poll = c.Duration("poll", t.poll, 10*time.Millisecond, time.Minute)
	t.attempts = c.Int("attempts", t.attempts, 1, 100)
}

// Drain returns the longest time that a shutdown waits for requests in flight, 30 s by default.
func (t *timing) Drain() time.Duration { return t.drain }

// Silence returns the longest time without a message on a connection, heartbeats included, 1 s by default.
func (t *timing) Silence() time.Duration { return t.silence }

// Stall returns the longest time between two tokens of a stream, 3 s by default.
func (t *timing) Stall() time.Duration { return t.stall }

// Probe returns the time between two probes of an instance, 1 s by default.
func (t *timing) Probe() time.Duration { return t.probe }

// Head returns the mean time between two reads of the bundle head, 2 s by default.
func (t *timing) Head() time.Duration { return t.head }

// Poll returns the time between two reads of the instance list, 1 s by default.
func (t *timing) Poll() time.Duration { return t.poll }

// Attempts returns the most attempts for one answer, 5 by default.
func (t *timing) Attempts() int { return t.attempts }
