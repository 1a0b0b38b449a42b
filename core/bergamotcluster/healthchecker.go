package bergamotcluster

import (
	"context"
	"time"
)

const (
	checkInterval = 500 * time.Millisecond // time between two checks of a failed runner; each of them is billed
	// limitedCheckInterval replaces checkInterval for a runner that names how many requests it takes.
	limitedCheckInterval = 2 * time.Second
	reportTimeout        = 400 * time.Millisecond // a runner that takes longer to report is too slow to serve requests
	// maxChecks is the number of checks in flight. When an entry is cut off, all runners fail at once, and the reads of the
	// store must not wait for their checks.
	maxChecks = 64
)

// Prober asks runners whether they may have work.
type Prober interface {
	// Healthy returns an error unless the runner of that name answers at path that it is healthy and not leaving.
	Healthy(ctx context.Context, address, path, runner string) error
}

// HealthChecker is the controller that checks whether failed runners answer again.
type HealthChecker struct {
	Source Reporter
	// Prober is asked too about runners that were removed before a restore of the store brought them back: one that leaves goes on
	// giving reports.
	Prober      Prober
	OnRecovered func(runner string) // called when a failed runner answers again
	// IsLimited reports whether a process names how many requests it takes; nil for none.
	IsLimited func(process string) bool
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
		i, _ := s.Runner(name)
		f.nextCheck, f.checking = s.Now().Add(checkInterval), true
		if c.IsLimited != nil && c.IsLimited(i.Process()) {
			f.nextCheck = s.Now().Add(limitedCheckInterval)
		}
		s.failed[name] = f
		path := ""
		if f.held {
			path = s.healthPath(i)
		}
		tasks = append(tasks, NewTask("check "+name, c.check(name, i.Address(), path)))
	}
	return tasks
}

// check returns a task function that reads the report of a runner and clears its failure. If path is not empty, the runner must
// also be healthy.
func (c *HealthChecker) check(name, address, path string) func(ctx context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		r, err := c.Source.Report(ctx, address)
		if err == nil && path != "" {
			err = c.Prober.Healthy(ctx, address, path, name)
		}
		return EventFunc(func(s *State) {
			s.endCheck(name)
			i, known := s.Runner(name)
			if err != nil || !known || i.Address() != address || s.failed[name].held && path == "" {
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
