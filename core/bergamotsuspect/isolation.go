package bergamotsuspect

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
)

// Isolation counts the requests on each instance and keeps suspects alone on theirs.
type Isolation struct {
	mu      sync.Mutex
	running map[string]int
	held    map[string]bool
	changed chan struct{}
	view    atomic.Pointer[map[string]bool] // copy of held, so that reading it takes no lock
}

// NewIsolation returns an isolation without requests.
func NewIsolation() *Isolation {
	i := &Isolation{running: map[string]int{}, held: map[string]bool{}, changed: make(chan struct{})}
	i.publish()
	return i
}

// Held returns the instances on which a suspect runs alone or waits to; the caller must not change the map.
func (i *Isolation) Held() map[string]bool { return *i.view.Load() }

// Enter waits until the instances may be used and returns what releases them. With alone set it claims all
// of them at once, which keeps new requests away, and waits until those that run there have ended.
func (i *Isolation) Enter(ctx context.Context, instances []string, alone bool) (leave func(), err error) {
	if !alone {
		return i.join(ctx, instances)
	}
	if err = i.await(ctx, func() bool { return i.hold(instances) }); err != nil {
		return nil, err
	}
	leave = func() { i.release(instances) }
	if err = i.await(ctx, func() bool { return i.idle(instances) }); err != nil {
		leave()
		return nil, err
	}
	return leave, nil
}

func (i *Isolation) join(ctx context.Context, instances []string) (leave func(), err error) {
	err = i.await(ctx, func() bool {
		if i.taken(instances) {
			return false
		}
		for _, n := range instances {
			i.running[n]++
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	return func() { i.leave(instances) }, nil
}

// await calls try under the lock, again after each change, until it returns true or ctx ends.
func (i *Isolation) await(ctx context.Context, try func() bool) error {
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

// hold claims all instances or none, so that two suspects cannot wait for each other.
func (i *Isolation) hold(instances []string) bool {
	if i.taken(instances) {
		return false
	}
	for _, n := range instances {
		i.held[n] = true
	}
	i.publish()
	return true
}

func (i *Isolation) taken(instances []string) bool {
	for _, n := range instances {
		if i.held[n] {
			return true
		}
	}
	return false
}

func (i *Isolation) idle(instances []string) bool {
	for _, n := range instances {
		if i.running[n] > 0 {
			return false
		}
	}
	return true
}

func (i *Isolation) leave(instances []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, n := range instances {
		if i.running[n]--; i.running[n] <= 0 {
			delete(i.running, n)
		}
	}
	if len(i.held) > 0 {
		i.notify()
	}
}

func (i *Isolation) release(instances []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, n := range instances {
		delete(i.held, n)
	}
	i.publish()
	i.notify()
}

func (i *Isolation) publish() {
	held := maps.Clone(i.held)
	i.view.Store(&held)
}

func (i *Isolation) notify() {
	close(i.changed)
	i.changed = make(chan struct{})
}
