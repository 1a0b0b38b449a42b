package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotstore"
)

// reregistrationGrace is how long a runner may take to register again after an outage of the store. The platform's
// contract says about two seconds.
const reregistrationGrace = 2 * time.Second

// minLapseOutage is the shortest time for which reads failed that counts as an outage in which rows of runners expired. They
// expire after 3.6 s, and reads begin to fail less than 3 s after the store. A single read that fails because its connection
// went silent is none.
const minLapseOutage = 500 * time.Millisecond

// Events of a runner that a restore of the store brought back although its process had been removed.
const (
	EventHeldBack = "held back after a restore"
	EventLetIn    = "registered again after a restore"
)

// RunnerDecoder decodes the row of a runner.
type RunnerDecoder interface {
	Runner(key string, value []byte) (bergamotfleet.Spec, error)
}

// Roster is the table handler that reads the runners from the table in which they register themselves. It is also the
// controller that removes those that do not register again after an outage.
type Roster struct {
	Decoder RunnerDecoder
	// OnRunnerChange is called for each runner that joins, starts leaving, is removed or cannot be decoded.
	OnRunnerChange func(i bergamotfleet.Instance, event string, err error)

	graceEnd time.Time // until then a missing row may have expired only because of an outage, or was lost in a restore
	restored bool      // the next whole table is the first one after a restore
}

// EraChanged starts the grace period, however short the outage was: the copy lacks the runners that registered after it was made.
func (c *Roster) EraChanged(s *State, _, to int64) {
	s.enterEra(to)
	c.restored = true
	c.startGrace(s)
}

// Replace adds or updates all runners; those that are missing from the rows are removed.
func (c *Roster) Replace(s *State, rows []bergamotstore.Row) {
	defer func() { c.restored = false }()
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key()] = c.applyRow(s, r)
	}
	for name := range s.runners {
		if !present[name] {
			c.removeRow(s, name)
		}
	}
	s.hasRunnerList = true
}

// ApplyChange adds, updates or removes one runner.
func (c *Roster) ApplyChange(s *State, change bergamotstore.Change) {
	if change.Deleted() {
		c.removeRow(s, change.Row().Key())
		return
	}
	c.applyRow(s, change.Row())
}

// ReadsResumed starts the grace period after an outage: runners that are alive register again before it ends.
func (c *Roster) ReadsResumed(s *State, down time.Duration) {
	if down < minLapseOutage {
		return
	}
	c.startGrace(s)
}

// startGrace starts the time after which missing runners are removed.
func (c *Roster) startGrace(s *State) {
	c.graceEnd = s.Now().Add(reregistrationGrace)
	for name := range s.missing {
		s.missing[name] = c.graceEnd
	}
}

// ConfirmCurrent does nothing: nothing depends on how old the list of runners is.
func (c *Roster) ConfirmCurrent(*State, time.Duration) {}

// Name returns "roster".
func (c *Roster) Name() string { return "roster" }

// Next returns when the next missing runner is to be removed.
func (c *Roster) Next(s *State) time.Time {
	next := s.Now().Add(time.Minute)
	for _, t := range s.missing {
		if t.Before(next) {
			next = t
		}
	}
	return next
}

// Reconcile removes the runners that did not register again after an outage.
func (c *Roster) Reconcile(s *State) []Task {
	for name, t := range s.missing {
		if !s.Now().Before(t) {
			i, _ := s.Runner(name)
			c.OnRunnerChange(i, "gone after an outage", nil)
			s.RemoveRunner(name)
		}
	}
	return nil
}

// applyRow adds or updates the runner of a row. It reports whether the row tells about the process that is known now.
func (c *Roster) applyRow(s *State, r bergamotstore.Row) bool {
	spec, err := c.Decoder.Runner(r.Key(), r.Value())
	if err != nil {
		// A row that cannot be decoded describes no runner.
		c.OnRunnerChange(bergamotfleet.NewInstance(bergamotfleet.Spec{Name: r.Key()}), "unreadable entry", err)
		if !c.restored {
			s.RemoveRunner(r.Key())
		}
		return !c.restored
	}
	old, known := s.Runner(spec.Name)
	if c.restored && known && spec.StartTime < old.StartTime() {
		return false
	}
	switch {
	case !known || old.StartTime() != spec.StartTime:
		c.OnRunnerChange(bergamotfleet.NewInstance(spec), "joined", nil)
	case spec.Leaving && !old.Leaving():
		c.OnRunnerChange(bergamotfleet.NewInstance(spec), "leaving", nil)
	}
	if c.restored {
		if s.restoreRunner(spec, r.Revision()) {
			c.OnRunnerChange(bergamotfleet.NewInstance(spec), EventHeldBack, nil)
		}
		return true
	}
	s.PutRunner(spec)
	delete(s.missing, spec.Name)
	if s.endHold(spec.Name, r.Revision()) {
		c.OnRunnerChange(bergamotfleet.NewInstance(spec), EventLetIn, nil)
	}
	return true
}

// removeRow removes the runner of a deleted row, but only after the grace period if there was an outage.
func (c *Roster) removeRow(s *State, name string) {
	i, known := s.Runner(name)
	if !known {
		return
	}
	// A leaving runner is expected to disappear, and one that is held back was gone before. Shortly after an outage the row of any
	// other runner may be missing only because the runner could not renew it.
	if !i.Leaving() && !s.failed[name].held && s.Now().Before(c.graceEnd) {
		s.missing[name] = c.graceEnd
		return
	}
	c.OnRunnerChange(i, "gone", nil)
	s.RemoveRunner(name)
}
