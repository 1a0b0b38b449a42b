package bergamotretry

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrBudget is returned when the retry budget of the workspace or of a target is exhausted.
	ErrBudget = errors.New("the retry budget is used up")
	// ErrDeadline is returned when a retry could not start before the deadline.
	ErrDeadline = errors.New("no time is left for a retry")
)

// Retries limits and delays the retries of all requests of one entry.
type Retries struct {
	Clock      Clock
	Workspaces *Budget // keyed by workspace
	Targets    *Budget // keyed by target
	Backoff    *Backoff
}

// RecordFirst counts the first attempt of a request for its workspace and targets.
func (r *Retries) RecordFirst(workspace string, targets ...string) {
	r.Workspaces.RecordFirst(workspace)
	for _, t := range targets {
		r.Targets.RecordFirst(t)
	}
}

// Wait charges the budgets and waits for the backoff delay before the nth retry, counted from 1, of a request. It returns
// ErrBudget or ErrDeadline at once if the retry is not allowed and the error of ctx if ctx ends first. A zero deadline
// means no deadline.
func (r *Retries) Wait(ctx context.Context, workspace string, n int, deadline time.Time, targets ...string) error {
	delay := r.Backoff.Delay(n)
	if !deadline.IsZero() && !r.Clock.Now().Add(delay).Before(deadline) {
		return ErrDeadline
	}
	if !r.take(workspace, targets) {
		return ErrBudget
	}
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.Clock.After(delay):
		return nil
	}
}

// take charges the budgets of the workspace and of all targets, or none of them.
func (r *Retries) take(workspace string, targets []string) bool {
	if !r.Workspaces.Take(workspace) {
		return false
	}
	for n, t := range targets {
		if !r.Targets.Take(t) {
			r.Workspaces.refund(workspace)
			for _, taken := range targets[:n] {
				r.Targets.refund(taken)
			}
			return false
		}
	}
	return true
}
