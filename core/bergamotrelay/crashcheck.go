package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotfleet"
)

const (
	// crashCheckTimeout is the time for the report that shows whether a runner has crashed. A report takes 2 ms.
	crashCheckTimeout = 250 * time.Millisecond
	// crashCheckInterval is the time to the next request for a report after one that was refused. A process that crashes may
	// still accept connections for a moment.
	crashCheckInterval = 20 * time.Millisecond
)

// crashCheck is a check whether a process has crashed, shared by all requests that it broke off.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

// hasCrashed reports whether the process of a runner that broke off an attempt has crashed: it gives no report, or one with
// another start time. A report that is under way when the process crashes breaks off too, so that requests can share a check
// that has already begun.
func (q *Quarantine) hasCrashed(ctx context.Context, i bergamotfleet.Instance) bool {
	q.mu.Lock()
	c, running := q.checks[i.Process()]
	if !running {
		if q.checks == nil {
			q.checks = map[string]*crashCheck{}
		}
		c = &crashCheck{done: make(chan struct{})}
		q.checks[i.Process()] = c
	}
	q.mu.Unlock()
	if running {
		<-c.done
		return c.crashed
	}
	// The request that started the check may end before the others.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	c.crashed = q.reportsCrash(ctx, i)
	q.mu.Lock()
	delete(q.checks, i.Process())
	q.mu.Unlock()
	close(c.done)
	return c.crashed
}

// reportsCrash asks a runner for its report, again while that is refused, and reports whether its process has crashed. One that
// refuses reports until ctx ends is alive.
func (q *Quarantine) reportsCrash(ctx context.Context, i bergamotfleet.Instance) bool {
	for {
		r, err := q.Reporter.Report(ctx, i.Address())
		if err == nil {
			return r.StartTime() != i.StartTime()
		}
		if isSilent(err) {
			return !q.AreLinksDoubtful()
		}
		select {
		case <-ctx.Done():
			return false
		case <-q.Clock.After(crashCheckInterval):
		}
	}
}
