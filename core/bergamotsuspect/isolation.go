package bergamotsuspect

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
)

// Isolation counts the requests in flight on each instance and reserves instances for suspects, which run alone on them.
type Isolation struct {
	mu       sync.Mutex
	inFlight map[string]int
	reserved map[string]bool
	changed  chan struct{}
	snapshot atomic.Pointer[map[string]bool] // copy of reserved that is read without a lock
}

// NewIsolation returns an isolation without requests in flight.
func NewIsolation() *Isolation {
	i := &Isolation{inFlight: map[string]int{}, reserved: map[string]bool{}, changed: make(chan struct{})}
	i.publishSnapshot()
	return i
}

// Reserved returns the instances on which a suspect runs alone or waits to run; the caller must not change the map.
func (i *Isolation) Reserved() map[string]bool { return *i.snapshot.Load() }

// Acquire waits until the instances may be used and returns a function that releases them; it returns the error of ctx
// when that ends first. With alone set it reserves all of them at once, which blocks new requests, and then waits until
// the requests in flight on them have ended.
func (i *Isolation) Acquire(ctx context.Context, instances []string, alone bool) (release func(), err error) {
	if !alone {
		return i.acquireShared(ctx, instances)
	}
	if err = i.waitUntil(ctx, func() bool { return i.tryReserve(instances) }); err != nil {
		return nil, err
	}
	release = func() { i.releaseExclusive(instances) }
	if err = i.waitUntil(ctx, func() bool { return i.isIdle(instances) }); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (i *Isolation) acquireShared(ctx context.Context, instances []string) (release func(), err error) {
	err = i.waitUntil(ctx, func() bool {
		if i.isAnyReserved(instances) {
			return false
		}
		for _, n := range instances {
			i.inFlight[n]++
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	return func() { i.releaseShared(instances) }, nil
}

// waitUntil calls try under the lock, and again after each change, until it returns true or ctx ends.
func (i *Isolation) waitUntil(ctx context.Context, try func() bool) error {
	for {
		i.mu.Lock()
		ok, changed := try(), i.changed
		i.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// tryReserve reserves all instances or none, so that two suspects cannot deadlock.
func (i *Isolation) tryReserve(instances []string) bool {
	if i.isAnyReserved(instances) {
		return false
	}
	for _, n := range instances {
		i.reserved[n] = true
	}
	i.publishSnapshot()
	return true
}

func (i *Isolation) isAnyReserved(instances []string) bool {
	for _, n := range instances {
		if i.reserved[n] {
			return true
		}
	}
	return false
}

func (i *Isolation) isIdle(instances []string) bool {
	for _, n := range instances {
		if i.inFlight[n] > 0 {
			return false
		}
	}
	return true
}

func (i *Isolation) releaseShared(instances []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, n := range instances {
		if i.inFlight[n]--; i.inFlight[n] <= 0 {
			delete(i.inFlight, n)
		}
	}
	if len(i.reserved) > 0 {
		i.wakeWaiters()
	}
}

func (i *Isolation) releaseExclusive(instances []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, n := range instances {
		delete(i.reserved, n)
	}
	i.publishSnapshot()
	i.wakeWaiters()
}

func (i *Isolation) publishSnapshot() {
	reserved := maps.Clone(i.reserved)
	i.snapshot.Store(&reserved)
}

func (i *Isolation) wakeWaiters() {
	close(i.changed)
	i.changed = make(chan struct{})
}
