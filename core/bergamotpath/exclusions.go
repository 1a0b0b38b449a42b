package bergamotpath

import (
	"sync"
	"time"
)

const (
	// leavingTTL is how long a runner that has said that it leaves is remembered. Its row in the store may come back with an
	// older state, or after an outage of the store.
	leavingTTL = time.Hour
	// maxPause bounds the time that a runner may ask for.
	maxPause = time.Hour
	// maxExclusions is more than the number of runners of a deployment.
	maxExclusions = 8192
)

// Exclusions are the runners that have asked this entry for no more requests, by process, so that the next process of a
// name starts without. It may be used concurrently.
type Exclusions struct {
	Clock interface{ Now() time.Time }

	mu      sync.Mutex
	until   map[string]time.Time // end of the pause, by process
	leaving map[string]time.Time // when the record expires, by process
}

// SetLeaving excludes a process that leaves and reports whether that is new.
func (e *Exclusions) SetLeaving(process string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving == nil {
		e.leaving = map[string]time.Time{}
	}
	_, known := e.leaving[process]
	e.put(e.leaving, process, leavingTTL)
	return !known
}

// Pause excludes a process for d, or until the end of an earlier pause if that is later, and reports whether that extends
// its exclusion.
func (e *Exclusions) Pause(process string, d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.until == nil {
		e.until = map[string]time.Time{}
	}
	d = min(d, maxPause)
	if !e.Clock.Now().Add(d).After(e.until[process]) {
		return false
	}
	e.put(e.until, process, d)
	return true
}

// FreeIn returns how long a process is still excluded, 0 if it is not.
func (e *Exclusions) FreeIn(process string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	return max(e.until[process].Sub(now), e.leaving[process].Sub(now), 0)
}

// IsExcluded reports whether a process must get no request.
func (e *Exclusions) IsExcluded(process string) bool { return e.FreeIn(process) > 0 }

// put sets the end of an exclusion. When there are too many, it first removes those that have ended, or else the one that
// ends first.
func (e *Exclusions) put(ends map[string]time.Time, process string, d time.Duration) {
	now := e.Clock.Now()
	if _, known := ends[process]; !known && len(ends) >= maxExclusions {
		first := ""
		for other, end := range ends {
			if !now.Before(end) {
				delete(ends, other)
			} else if first == "" || end.Before(ends[first]) {
				first = other
			}
		}
		if len(ends) >= maxExclusions {
			delete(ends, first)
		}
	}
	ends[process] = now.Add(d)
}
