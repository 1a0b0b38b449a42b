package bergamotretry

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrBudget is returned when a budget of the workspace or of a target is used up.
	ErrBudget = errors.New("the retry budget is used up")
	// ErrDeadline is returned when a retry could not begin before the deadline.
	ErrDeadline = errors.New("no time is left for a retry")
)

// Retries decides about the attempts of all requests of one entry.
type Retries struct {
	Clock      Clock
	Workspaces *Budget
	Targets    *Budget
	Backoff    *Backoff
}

// First counts the first attempt of a request of a workspace at its targets.
func (r *Retries) First(workspace string, targets ...string) {
	r.Workspaces.First(workspace)
	for _, t := range targets {
		r.Targets.First(t)
	}
}

// Next waits before the nth retry, from 1, of a request at targets. It returns ErrBudget or ErrDeadline at once when
// the retry is not allowed, and the error of ctx when that ends first. A zero deadline is none.
func (r *Retries) Next(ctx context.Context, workspace string, n int, deadline time.Time, targets ...string) error {
	wait := r.Backoff.Wait(n)
	if !deadline.IsZero() && !r.Clock.Now().Add(wait).Before(deadline) {
		return ErrDeadline
	}
	if !r.take(workspace, targets) {
		return ErrBudget
	}
	if wait <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.Clock.After(wait):
		return nil
	}
}

// take charges all budgets or none.
func (r *Retries) take(workspace string, targets []string) bool {
	if !r.Workspaces.Take(workspace) {
		return false
	}
	for n, t := range targets {
		if !r.Targets.Take(t) {
			r.Workspaces.give(workspace)
			for _, paid := range targets[:n] {
				r.Targets.give(paid)
			}
			return false
		}
	}
	return true
}
