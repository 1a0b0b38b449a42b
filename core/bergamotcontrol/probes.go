package bergamotcontrol

import (
	"context"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// Report is the reply of an instance to a probe: its load, its layers and whether it is leaving.
type Report struct {
	running  int
	queued   int
	leaving  bool
	holdings []bergamotfleet.Holding
}

// NewReport returns a report of the running and queued requests, of whether the instance is leaving, and of the layers
// that it holds.
func NewReport(running, queued int, leaving bool, holdings []bergamotfleet.Holding) Report {
	return Report{running: running, queued: queued, leaving: leaving, holdings: holdings}
}

// Holdings returns the ranges of layers that the instance holds.
func (r Report) Holdings() []bergamotfleet.Holding { return r.holdings }

// Prober probes an instance for its report.
type Prober interface {
	Probe(ctx context.Context, address string) (Report, error)
}

// Probes is the controller that probes runners for their load and holdings and selects the runners that traffic may use.
type Probes struct {
	Source           Prober
	Entry            string        // name of the entry, from which its subset of a large fleet is derived
	Centre           string        // data centre of the entry
	Period           time.Duration // time between two probes of an instance of a small fleet
	Timeout          time.Duration // maximum duration of a probe
	FailureThreshold int           // failed probes in a row after which an instance counts as failed

	state    *State
	subset   *subset
	schedule *schedule
}

// maxReportAge is the maximum age in periods of the report of a newly selected runner; one with an older report is probed
// in the next period.
const maxReportAge = 10

// Name returns "probes".
func (c *Probes) Name() string { return "probes" }

// Reconcile applies the changes of instances and probes the runners that are due.
func (c *Probes) Reconcile(s *State) (tasks []Task) {
	// A restart of the loop begins with a new, empty state.
	if c.state != s {
		c.state, c.subset, c.schedule = s, newSubset(c.Entry, c.Centre), newSchedule(c.Period)
	}
	c.applyChanges(s)
	for name := range s.reportRequests {
		c.schedule.bringForward(s.Now(), name, everyPeriod)
	}
	clear(s.reportRequests)
	for _, r := range c.schedule.takeDue(s.Now(), func(name string) interval { return c.interval(s, name) }) {
		tasks = append(tasks, c.probeTask(r.name, r.address, s.Now()))
	}
	return tasks
}

// Next returns when the next runner is due and the rate limit allows its probe.
func (c *Probes) Next(s *State) time.Time { return c.schedule.nextDue(s.Now()) }

// applyChanges updates the schedule and the subset with the instances that changed.
func (c *Probes) applyChanges(s *State) {
	if len(s.changedInstances) == 0 {
		return
	}
	for name := range s.changedInstances {
		i, ok := s.Instance(name)
		if !ok || i.Role() != bergamotfleet.RoleRunner {
			c.schedule.remove(name)
			c.subset.remove(name)
			continue
		}
		c.subset.put(i)
		c.schedule.put(s.Now(), name, i.Address(), c.subset.rank(name), len(s.changedInstances))
		if i.Failed() {
			// The failure may have been seen by traffic or a peer, so the entry verifies it with a probe.
			c.schedule.bringForward(s.Now(), name, everyPeriod)
		}
	}
	clear(s.changedInstances)
	small := c.schedule.len() <= maxSmallFleet
	c.schedule.setBurst(s.Now(), small)
	added, changed := c.subset.selectRunners(c.schedule.len())
	switch {
	case small && s.trafficRunners != nil:
		s.selectRunners(nil)
	case !small && (changed || s.trafficRunners == nil):
		s.selectRunners(c.subset.selections)
		for _, name := range added {
			within := c.selectedInterval(s)
			// A replacement may have been probed last by a sweep many minutes ago.
			if i, _ := s.Instance(name); s.Now().Sub(i.Load().ReceivedAt()) > maxReportAge*c.Period {
				within = everyPeriod
			}
			c.schedule.bringForward(s.Now(), name, within)
		}
	}
}

// interval returns the time until the next probe of a runner.
func (c *Probes) interval(s *State, name string) interval {
	switch i, _ := s.Instance(name); {
	case c.schedule.len() <= maxSmallFleet:
		return everyPeriod
	case i.Failed():
		return failedInterval
	case s.trafficRunners[name] > 0:
		return c.selectedInterval(s)
	default:
		return interval(max((c.schedule.len()-len(s.trafficRunners))/sweepProbes, 1))
	}
}

// selectedInterval returns the time between two probes of a selected runner.
func (c *Probes) selectedInterval(s *State) interval {
	// After a start only few runners are selected; probing them more often would delay the first probes of the others.
	return interval(max(len(s.trafficRunners), min(c.schedule.len(), targetSubsetSize)) / selectedProbes)
}

func (c *Probes) probeTask(name, address string, sent time.Time) Task {
	return NewTask(c.Name()+" "+name, func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		r, err := c.Source.Probe(ctx, address)
		return EventFunc(func(s *State) { c.applyResult(s, name, sent, r, err) })
	})
}

// applyResult updates an instance with the reply to a probe that was sent at the given time, or with its error.
func (c *Probes) applyResult(s *State, name string, sent time.Time, r Report, err error) {
	i, ok := s.Instance(name)
	if !ok {
		return
	}
	spec := i.Spec()
	if err != nil {
		// Until the instance counts as failed it is probed in every period, so that a failed selected runner is replaced
		// within seconds.
		if c.schedule.recordFailure(name) < c.FailureThreshold {
			c.schedule.bringForward(s.Now(), name, everyPeriod)
			return
		}
		if !spec.Failed {
			spec.Failed = true
			s.PutInstance(bergamotfleet.NewInstance(spec))
		}
		return
	}
	c.schedule.recordSuccess(name)
	if spec.LastUnavailable.Before(sent) {
		// The probe was sent after the last observation of this entry, so the instance is alive again.
		spec.Failed, spec.Leaving = false, spec.ListedLeaving
	}
	spec.Leaving = spec.Leaving || r.leaving
	spec.Load = bergamotfleet.NewLoad(r.running, r.queued, s.Now())
	spec.Holdings = r.holdings
	s.PutInstance(bergamotfleet.NewInstance(spec))
}
