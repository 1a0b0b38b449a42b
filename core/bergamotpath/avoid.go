package bergamotpath

import "time"

// Avoid keeps new work from a runner for a while.
func (r *Router) Avoid(runner string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoid == nil {
		r.avoid = map[string]time.Time{}
	}
	if until := r.Clock.Now().Add(d); until.After(r.avoid[runner]) {
		r.avoid[runner] = until
	}
}

// Avoided tells whether new work is kept from a runner.
func (r *Router) Avoided(runner string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.avoided(runner)
}

func (r *Router) avoided(runner string) bool {
	until, ok := r.avoid[runner]
	if ok && !r.Clock.Now().Before(until) {
		delete(r.avoid, runner)
		return false
	}
	return ok
}
