package bergamotpath

import "time"

// Avoid excludes a runner from new paths for d, or until the end of an earlier exclusion if that is later.
func (r *Router) Avoid(runner string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoidUntil == nil {
		r.avoidUntil = map[string]time.Time{}
	}
	if until := r.Clock.Now().Add(d); until.After(r.avoidUntil[runner]) {
		r.avoidUntil[runner] = until
	}
}

// IsAvoided reports whether a runner is excluded from new paths.
func (r *Router) IsAvoided(runner string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isAvoided(runner)
}

func (r *Router) isAvoided(runner string) bool {
	until, ok := r.avoidUntil[runner]
	if ok && !r.Clock.Now().Before(until) {
		delete(r.avoidUntil, runner)
		return false
	}
	return ok
}
