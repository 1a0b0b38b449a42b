package bergamotfleet

import "time"

// Load is the load that an instance last reported; it may be outdated.
type Load struct {
	running    int
	queued     int
	receivedAt time.Time
}

// NewLoad returns a load of running and queued sequences that was received at a time of the entry's clock.
func NewLoad(running, queued int, receivedAt time.Time) Load {
	return Load{running: running, queued: queued, receivedAt: receivedAt}
}

// Running returns how many sequences were running in the batch.
func (l Load) Running() int { return l.running }

// Queued returns how many sequences were waiting.
func (l Load) Queued() int { return l.queued }

// ReceivedAt returns when the entry received the report.
func (l Load) ReceivedAt() time.Time { return l.receivedAt }
