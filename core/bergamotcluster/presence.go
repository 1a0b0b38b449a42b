package bergamotcluster

import (
	"context"
	"time"
)

const (
	// registrationInterval is the time between two registrations of an entry. Each costs two calls to the store.
	registrationInterval = 12 * time.Second
	// registrationTTL is how long a registration counts. Shares of the retry budget and the candidates for the lease
	// adapt to a change of the entries within this time.
	registrationTTL = 30 * time.Second
	// registrationRetryDelay is the time to the next registration after a failed one. An entry that started just before
	// an outage would otherwise not know its rank for up to registrationInterval after it.
	registrationRetryDelay = 2 * time.Second
)

// Registrar registers running entries and counts them.
type Registrar interface {
	// Register records that the entry called name is running. It returns how many entries have registered within the
	// given time, and the rank of this one in the order of their names, from 0.
	Register(ctx context.Context, name string, within time.Duration) (entries, rank int, err error)
}

// Presence is the controller that registers this entry and counts the entries that share the runners and the retry
// budget.
type Presence struct {
	Entry     string
	Registrar Registrar
	OnCount   func(entries int, err error) // called for the first count, for each change and for each error

	nextRegistration time.Time
	counted          bool
}

// Name returns "presence".
func (c *Presence) Name() string { return "presence" }

// Next returns when the next registration is due.
func (c *Presence) Next(*State) time.Time { return c.nextRegistration }

// Reconcile registers this entry.
func (c *Presence) Reconcile(s *State) []Task {
	if s.Now().Before(c.nextRegistration) {
		return nil
	}
	c.nextRegistration = s.Now().Add(registrationInterval)
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, replyTimeout)
		defer cancel()
		n, rank, err := c.Registrar.Register(ctx, c.Entry, registrationTTL)
		return EventFunc(func(s *State) {
			if err != nil {
				c.nextRegistration = s.Now().Add(registrationRetryDelay)
				c.OnCount(s.entryCount, err)
				return
			}
			s.rank, s.rankKnown = rank, s.rankKnown || c.counted || n > 1 && rank >= candidateCount
			if n = max(n, 1); n != s.entryCount || !c.counted {
				s.entryCount, c.counted = n, true
				c.OnCount(n, nil)
			}
		})
	})}
}
