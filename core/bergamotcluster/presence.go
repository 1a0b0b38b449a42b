package bergamotcluster

import (
	"context"
	"time"
)

// presencePeriod is the time between two registrations of an entry. It costs two calls to the store; the shares of the
// retry budget and the candidates for the lease follow a change of the entries within presenceLife.
const (
	presencePeriod = 12 * time.Second
	presenceLife   = 30 * time.Second
	// presenceRetry is the time to the next registration after one that failed. An entry that started just before an
	// outage would otherwise not know its place for up to presencePeriod after it.
	presenceRetry = 2 * time.Second
)

// Register tells that an entry runs and counts the entries that do.
type Register interface {
	// Register records name as running and returns how many entries registered within the time, and the place of this
	// one in the order of their names, from 0.
	Register(ctx context.Context, name string, within time.Duration) (entries, rank int, err error)
}

// Presence is the controller that counts the entries which share the runners and the retry budget.
type Presence struct {
	Entry    string
	Register Register
	Report   func(entries int, err error) // called for the first count, when it changes, and when it cannot be read

	due   time.Time
	known bool
}

// Name returns "presence".
func (c *Presence) Name() string { return "presence" }

// Next returns when the next registration is due.
func (c *Presence) Next(*State) time.Time { return c.due }

// Reconcile registers this entry.
func (c *Presence) Reconcile(s *State) []Task {
	if s.Now().Before(c.due) {
		return nil
	}
	c.due = s.Now().Add(presencePeriod)
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, replyTime)
		defer cancel()
		n, rank, err := c.Register.Register(ctx, c.Entry, presenceLife)
		return EventFunc(func(s *State) {
			if err != nil {
				c.due = s.Now().Add(presenceRetry)
				c.Report(s.entries, err)
				return
			}
			s.rank, s.ranked = rank, s.ranked || c.known || n > 1 && rank >= candidates
			if n = max(n, 1); n != s.entries || !c.known {
				s.entries, c.known = n, true
				c.Report(n, nil)
			}
		})
	})}
}
