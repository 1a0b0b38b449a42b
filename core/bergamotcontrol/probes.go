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

// Probes is the controller that asks every runner for its load and holdings.
type Probes struct {
	Source  Prober
	Period  time.Duration // time between two probes of an instance
	Timeout time.Duration // time after which a probe has failed
	Misses  int           // failed probes in a row after which an instance counts as failed

	next   map[string]time.Time
	misses map[string]int
}

// Name returns "probes".
func (c *Probes) Name() string { return "probes" }

// Reconcile probes the runners whose period has passed.
func (c *Probes) Reconcile(s *State) (tasks []Task) {
	if c.next == nil {
		c.next, c.misses = map[string]time.Time{}, map[string]int{}
	}
	for _, name := range s.Instances() {
		i, _ := s.Instance(name)
		if i.Role() != bergamotfleet.RoleRunner || s.Now().Before(c.next[name]) {
			continue
		}
		c.next[name] = s.Now().Add(c.Period)
		tasks = append(tasks, c.task(name, i.Address(), s.Now()))
	}
	for name := range c.next {
		if _, ok := s.Instance(name); !ok {
			delete(c.next, name)
			delete(c.misses, name)
		}
	}
	return tasks
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
		c.misses[name]++
		spec.Failed = spec.Failed || c.misses[name] >= c.Misses
		s.PutInstance(bergamotfleet.NewInstance(spec))
		return
	}
	c.misses[name] = 0
	if spec.Seen.Before(sent) {
		// The report is newer than what this entry saw itself: the instance is alive again.
		spec.Failed, spec.Leaving = false, spec.Listed
	}
	spec.Leaving = spec.Leaving || r.leaving
	spec.Load = bergamotfleet.NewLoad(r.running, r.queued, s.Now())
	spec.Holdings = r.holdings
	s.PutInstance(bergamotfleet.NewInstance(spec))
}
