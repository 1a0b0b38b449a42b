package bergamotpath

import "bergamotspur/core/bergamotroute"

// Limits are the limits of requests that runners name. A request counts at the first runner of its path only.
type Limits interface {
	// MayTake reports whether a process has no limit, or there is a permit for it.
	MayTake(process string) bool
	// Take takes a permit of a process and reports whether there was one, or the process has no limit.
	Take(process string) bool
	// IsLimited reports whether a process names a limit.
	IsLimited(process string) bool
	// Return gives back a permit with which nothing was sent.
	Return(process string)
}

// AtLimit returns the first runner's process of the best path, if that runner is at its limit; ok is false if it is not, or there is no path
// even without limits.
func (r *Router) AtLimit(q Query) (process string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, found := r.choose(q, false)
	return c.first, found && r.Limits != nil && !r.Limits.MayTake(c.first)
}

// Withdraw is Release for a plan over which nothing was sent.
func (r *Router) Withdraw(p bergamotroute.Plan, q Query) {
	r.Release(p, q.Tokens)
	if i, ok := q.Fleet.Instance(p.Stages()[0].Instance()); ok {
		r.giveBack(i.Process())
	}
}

func (r *Router) giveBack(process string) {
	if r.Limits != nil {
		r.Limits.Return(process)
	}
}
