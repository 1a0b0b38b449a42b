package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// Report is what an instance says about itself.
type Report struct {
	running  int
	queued   int
	leaving  bool
	holdings []bergamotfleet.Holding
}

// NewReport returns a report of work, of the wish to leave, and of the layers held.
func NewReport(running, queued int, leaving bool, holdings []bergamotfleet.Holding) Report {
	return Report{running: running, queued: queued, leaving: leaving, holdings: holdings}
}

// Holdings returns the ranges of layers that the instance holds.
func (r Report) Holdings() []bergamotfleet.Holding { return r.holdings }

// Prober asks an instance for its report.
type Prober interface {
	Probe(ctx context.Context, address string) (Report, error)
}

// Probes is the controller that asks runners for their load and holdings, and that chooses the runners which
// traffic may use.
type Probes struct {
	Source  Prober
	Entry   string        // name of the entry, which decides on its subset of a large fleet
	Centre  string        // data centre of the entry
	Period  time.Duration // time between two probes of an instance of a small fleet
	Timeout time.Duration // time after which a probe has failed
	Misses  int           // failed probes in a row after which an instance counts as failed

	state    *State
	subset   *subset
	schedule *schedule
}

// freshPeriods is for how many periods a report says enough about a runner that becomes a member.
const freshPeriods = 10

// Name returns "probes".
func (c *Probes) Name() string { return "probes" }

// Reconcile takes over what has changed and probes the runners that are due.
func (c *Probes) Reconcile(s *State) (tasks []Task) {
	// A restart of the loop begins with another state, which holds nothing yet.
	if c.state != s {
		c.state, c.subset, c.schedule = s, newSubset(c.Entry, c.Centre), newSchedule(c.Period)
	}
	c.takeChanges(s)
	for name := range s.asked {
		c.schedule.hasten(s.Now(), name, everyPeriod)
	}
	clear(s.asked)
	for _, t := range c.schedule.take(s.Now(), func(name string) interval { return c.interval(s, name) }) {
		tasks = append(tasks, c.task(t.name, t.address, s.Now()))
	}
	return tasks
}

// Next returns when a runner is due and the rate of probes allows one more.
func (c *Probes) Next(s *State) time.Time { return c.schedule.next(s.Now()) }

func (c *Probes) takeChanges(s *State) {
	if len(s.touched) == 0 {
		return
	}
	for name := range s.touched {
		i, ok := s.Instance(name)
		if !ok || i.Role() != bergamotfleet.RoleRunner {
			c.schedule.remove(name)
			c.subset.remove(name)
			continue
		}
		c.subset.put(i)
		c.schedule.put(s.Now(), name, i.Address(), c.subset.rank(name), len(s.touched))
		if i.Failed() {
			// The report may come from elsewhere; the entry checks it by itself.
			c.schedule.hasten(s.Now(), name, everyPeriod)
		}
	}
	clear(s.touched)
	small := c.schedule.len() <= wholeFleet
	c.schedule.setBurst(s.Now(), small)
	added, changed := c.subset.choose(c.schedule.len())
	switch {
	case small && s.chosen != nil:
		s.choose(nil)
	case !small && (changed || s.chosen == nil):
		s.choose(c.subset.members)
		for _, name := range added {
			at := c.memberInterval(s)
			// A replacement may have been seen last by a sweep many minutes ago.
			if i, _ := s.Instance(name); s.Now().Sub(i.Load().ReceivedAt()) > freshPeriods*c.Period {
				at = everyPeriod
			}
			c.schedule.hasten(s.Now(), name, at)
		}
	}
}

func (c *Probes) interval(s *State, name string) interval {
	switch i, _ := s.Instance(name); {
	case c.schedule.len() <= wholeFleet:
		return everyPeriod
	case i.Failed():
		return failedInterval
	case s.chosen[name] > 0:
		return c.memberInterval(s)
	default:
		return interval(max((c.schedule.len()-len(s.chosen))/sweepProbes, 1))
	}
}

func (c *Probes) memberInterval(s *State) interval {
	// Right after a start few members are known, whose probes would take the place of the first ones of others.
	return interval(max(len(s.chosen), min(c.schedule.len(), memberTarget)) / memberProbes)
}

func (c *Probes) task(name, address string, sent time.Time) Task {
	return NewTask(c.Name()+" "+name, func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		r, err := c.Source.Probe(ctx, address)
		return EventFunc(func(s *State) { c.apply(s, name, sent, r, err) })
	})
}

func (c *Probes) apply(s *State, name string, sent time.Time, r Report, err error) {
	i, ok := s.Instance(name)
	if !ok {
		return
	}
	spec := i.Spec()
	if err != nil {
		// Until the instance counts as failed it is probed again soon, so that a failed member is replaced
		// within seconds.
		if c.schedule.miss(name) < c.Misses {
			c.schedule.hasten(s.Now(), name, everyPeriod)
			return
		}
		if !spec.Failed {
			spec.Failed = true
			s.PutInstance(bergamotfleet.NewInstance(spec))
		}
		return
	}
	c.schedule.hit(name)
	if spec.LastUnavailable.Before(sent) {
		// The report is newer than what this entry saw itself: the instance is alive again.
		spec.Failed, spec.Leaving = false, spec.ListedLeaving
	}
	spec.Leaving = spec.Leaving || r.leaving
	spec.Load = bergamotfleet.NewLoad(r.running, r.queued, s.Now())
	spec.Holdings = r.holdings
	s.PutInstance(bergamotfleet.NewInstance(spec))
}
