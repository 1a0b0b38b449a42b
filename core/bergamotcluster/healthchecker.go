package bergamotcluster

import (
	"context"
	"time"
)

const (
	checkInterval = 500 * time.Millisecond // time between two checks of a failed runner; each of them is billed
	reportTimeout = 400 * time.Millisecond // a runner that takes longer to report is too slow to serve requests
	// maxChecks is the number of checks in flight. When an entry is cut off, all runners fail at once, and the reads of the
	// store must not wait for their checks.
	maxChecks = 64
)

// HealthChecker is the controller that checks whether failed runners answer again.
type HealthChecker struct {
	Source      Reporter
	OnRecovered func(runner string) // called when a failed runner answers again
}

// Name returns "checks".
func (c *HealthChecker) Name() string { return "checks" }

// Next returns when the next check is due.
func (c *HealthChecker) Next(s *State) time.Time {
	next := s.Now().Add(time.Minute)
	if s.checksInFlight() >= maxChecks {
		return next // the end of a check wakes the loop
	}
	for _, f := range s.failed {
		if !f.checking && f.nextCheck.Before(next) {
			next = f.nextCheck
		}
	}
	return next
}

// Reconcile returns the checks that are due.
func (c *HealthChecker) Reconcile(s *State) (tasks []Task) {
	free := maxChecks - s.checksInFlight()
	for name, f := range s.failed {
		if free == 0 {
			break
		}
		if f.checking || s.Now().Before(f.nextCheck) {
			continue
		}
		free--
		s.failed[name] = failure{since: f.since, nextCheck: s.Now().Add(checkInterval), checking: true}
		i, _ := s.Runner(name)
		tasks = append(tasks, NewTask("check "+name, c.check(name, i.Address())))
	}
	return tasks
}

// check returns a task function that reads the report of a runner and clears its failure.
func (c *HealthChecker) check(name, address string) func(ctx context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		r, err := c.Source.Report(ctx, address)
		return EventFunc(func(s *State) {
			s.endCheck(name)
			i, known := s.Runner(name)
			if err != nil || !known || i.Address() != address {
				return
			}
			spec := i.Spec()
			if spec.StartTime != r.StartTime() {
				// Another process answers at the address. The runner table will show which one.
				return
			}
			spec.Holdings = r.Holdings()
			s.ClearFailed(name)
			s.PutRunner(spec)
			c.OnRecovered(name)
		})
	}
}
