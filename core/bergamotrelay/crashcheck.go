package bergamotrelay

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
)

const (
	// crashCheckTimeout is the time for the report that shows whether a runner has crashed. A report takes 2 ms.
	crashCheckTimeout = 250 * time.Millisecond
	// crashCheckInterval is the time to the next request for a report after one that was refused. A process that crashes may
	// still accept connections for a moment.
	crashCheckInterval = 20 * time.Millisecond
)

// processState is what is known of a process that broke off an attempt.
type processState int

const (
	processUnknown processState = iota // it gives no answer: it pauses, is cut off, or its machine has failed
	processAlive
	processCrashed // nothing listens at its address, or a process that started later does
)

// crashCheck is a check of a process, shared by all requests that it broke off.
type crashCheck struct {
	done  chan struct{}
	state processState
}

// hasCrashed reports whether the process of a runner that broke off an attempt is known to have crashed.
func (q *Quarantine) hasCrashed(ctx context.Context, i bergamotfleet.Instance) bool {
	return q.checkProcess(ctx, i) == processCrashed
}

// checkProcess returns what the report of a runner that broke off an attempt shows of its process. A report that is under way when
// the process crashes breaks off too, so that requests can share a check that has already begun.
func (q *Quarantine) checkProcess(ctx context.Context, i bergamotfleet.Instance) processState {
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
		return c.state
	}
	// The request that started the check may end before the others.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	c.state = q.reportedState(ctx, i)
	q.mu.Lock()
	delete(q.checks, i.Process())
	q.mu.Unlock()
	close(c.done)
	return c.state
}

// reportedState asks a runner for its report, again while that is refused, and returns what it shows of its process. One that refuses
// reports until ctx ends is alive.
func (q *Quarantine) reportedState(ctx context.Context, i bergamotfleet.Instance) processState {
	for {
		r, err := q.Reporter.Report(ctx, i.Address())
		switch {
		case err == nil && r.StartTime() == i.StartTime():
			return processAlive
		case err == nil:
			return processCrashed
		case errors.Is(err, bergamotcluster.ErrNotListening):
			if q.AreLinksDoubtful() {
				return processUnknown // a cut may refuse connections too
			}
			return processCrashed
		case isSilent(err):
			return processUnknown
		}
		select {
		case <-ctx.Done():
			return processAlive
		case <-q.Clock.After(crashCheckInterval):
		}
	}
}
