package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotstore"
)

// returnTime is how long a runner may take to register again after an outage of the store; the platform's contract
// says about two seconds.
const returnTime = 2 * time.Second

// RunnerDecoder reads a runner from its row.
type RunnerDecoder interface {
	Runner(key string, value []byte) (bergamotfleet.Spec, error)
}

// Roster takes the runners from the table in which they register themselves.
type Roster struct {
	Decoder RunnerDecoder
	Report  func(i bergamotfleet.Instance, what string, err error) // called for each runner that is added, leaves or cannot be read

	grace time.Time // until then a missing entry may only have lapsed during an outage
}

// Replace takes all runners; those that are missing are removed.
func (c *Roster) Replace(s *State, rows []bergamotstore.Row) {
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key()] = true
		c.put(s, r)
	}
	for name := range s.runners {
		if !present[name] {
			c.remove(s, name)
		}
	}
	s.listed = true
}

// Change takes one runner.
func (c *Roster) Change(s *State, change bergamotstore.Change) {
	if change.Gone() {
		c.remove(s, change.Row().Key())
		return
	}
	c.put(s, change.Row())
}

// Resume notes the end of an outage: entries that lapsed meanwhile come back soon if their runners live.
func (c *Roster) Resume(s *State, _ time.Duration) {
	c.grace = s.Now().Add(returnTime)
	for name := range s.lapsed {
		s.lapsed[name] = c.grace
	}
}

// Confirm does nothing: the list is only a hint.
func (c *Roster) Confirm(*State, time.Duration) {}

// Name returns "roster".
func (c *Roster) Name() string { return "roster" }

// Next returns when the next lapsed runner counts as gone.
func (c *Roster) Next(s *State) time.Time {
	next := s.Now().Add(time.Minute)
	for _, t := range s.lapsed {
		if t.Before(next) {
			next = t
		}
	}
	return next
}

// Reconcile removes the runners that did not register again after an outage.
func (c *Roster) Reconcile(s *State) []Task {
	for name, t := range s.lapsed {
		if !s.Now().Before(t) {
			i, _ := s.Runner(name)
			c.Report(i, "gone after an outage", nil)
			s.Remove(name)
		}
	}
	return nil
}

func (c *Roster) put(s *State, r bergamotstore.Row) {
	spec, err := c.Decoder.Runner(r.Key(), r.Value())
	if err != nil {
		// An entry that cannot be read names no runner.
		c.Report(bergamotfleet.NewInstance(bergamotfleet.Spec{Name: r.Key()}), "unreadable entry", err)
		s.Remove(r.Key())
		return
	}
	old, known := s.Runner(spec.Name)
	switch {
	case !known || old.Born() != spec.Born:
		c.Report(bergamotfleet.NewInstance(spec), "joined", nil)
	case spec.Leaving && !old.Leaving():
		c.Report(bergamotfleet.NewInstance(spec), "leaving", nil)
	}
	s.Put(spec)
}

func (c *Roster) remove(s *State, name string) {
	i, known := s.Runner(name)
	if !known {
		return
	}
	// A leaving runner is expected to disappear. Any other entry may have lapsed only because the runner could not
	// write, as long as reads have failed until a moment ago.
	if !i.Leaving() && s.Now().Before(c.grace) {
		s.lapsed[name] = c.grace
		return
	}
	c.Report(i, "gone", nil)
	s.Remove(name)
}
