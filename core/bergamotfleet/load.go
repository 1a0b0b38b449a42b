package bergamotfleet

import "time"

// Load is what an instance last reported about its work; it may be old.
type Load struct {
	running int
	queued  int
	at      time.Time
}

// NewLoad returns a report of sequences running and queued, received at the given time of the entry's clock.
func NewLoad(running, queued int, at time.Time) Load {
	return Load{running: running, queued: queued, at: at}
}

// Running returns how many sequences were in the batch.
func (l Load) Running() int { return l.running }

// Queued returns how many sequences waited.
func (l Load) Queued() int { return l.queued }

// At returns when the entry received the report.
func (l Load) At() time.Time { return l.at }
