package bergamotcluster

import (
	"context"
	"time"
)

const (
	checkPeriod = 500 * time.Millisecond // time between two questions to a runner that failed; each is priced
	checkTime   = 400 * time.Millisecond // a runner that needs longer for its report is no help to requests
)

// Checks is the controller that asks runners which failed whether they answer again.
type Checks struct {
	Source Reporter
	Report func(runner string) // called when a runner answers again
}

// Name returns "checks".
func (c *Checks) Name() string { return "checks" }

// Next returns when the next question is due.
func (c *Checks) Next(s *State) time.Time {
	next := s.Now().Add(time.Minute)
	for _, f := range s.failed {
		if f.due.Before(next) {
			next = f.due
		}
	}
	return next
}

// Reconcile asks the runners that are due.
func (c *Checks) Reconcile(s *State) (tasks []Task) {
	for name, f := range s.failed {
		if s.Now().Before(f.due) {
			continue
		}
		s.failed[name] = failure{since: f.since, due: s.Now().Add(checkPeriod)}
		i, _ := s.Runner(name)
		tasks = append(tasks, NewTask("check "+name, c.ask(name, i.Address())))
	}
	return tasks
}

func (c *Checks) ask(name, address string) func(ctx context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, checkTime)
		defer cancel()
		r, err := c.Source.Report(ctx, address)
		return EventFunc(func(s *State) {
			i, known := s.Runner(name)
			if err != nil || !known || i.Address() != address {
				return
			}
			spec := i.Spec()
			if spec.Born != r.Born() {
				// Another process answers at the address. What it is, the list will say.
				return
			}
			spec.Holdings = r.Holdings()
			s.Restore(name)
			s.Put(spec)
			c.Report(name)
		})
	}
}
