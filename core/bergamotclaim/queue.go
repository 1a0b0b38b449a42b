package bergamotclaim

import (
	"context"
	"sync"

	"bergamotspur/core/bergamotrequest"
)

// queueLimit bounds the conclusions that wait in memory while the table or object store is down.
const queueLimit = 1024

// queue holds conclusions that could not be written, the oldest first.
type queue struct {
	mu    sync.Mutex
	items []*item
	bytes int           // of the answers
	wake  chan struct{} // an item was added
	taken chan struct{} // an item was removed
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1), taken: make(chan struct{}, 1)} }

func (q *queue) find(attempt string) (i item, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.items {
		if p.record.Attempt() == attempt {
			return *p, true
		}
	}
	return i, false
}

// add appends an item and tells whether there was room. When there is none for its answer, only the fact that the call
// ran is kept.
func (q *queue) add(i item, memory int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= queueLimit {
		return false
	}
	if q.bytes+len(i.reply.Body()) > memory {
		i.record, i.reply = i.record.with(StateRan), bergamotrequest.Reply{}
	}
	q.bytes += len(i.reply.Body())
	q.items = append(q.items, &i)
	signal(q.wake)
	return true
}

func (q *queue) first() (i item, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return i, false
	}
	return *q.items[0], true
}

// pop removes the first item, which only Run does.
func (q *queue) pop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bytes -= len(q.items[0].reply.Body())
	q.items = q.items[1:]
	signal(q.taken)
}

// rotate moves the first item to the end, so that an answer which waits for the object store delays no other.
func (q *queue) rotate() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items[1:], q.items[0])
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (c *Claims) enqueue(i item) {
	if !c.queue.add(i, c.Memory) {
		c.Counter.Count("claim.dropped")
		return
	}
	c.Counter.Count("claim.queued")
}

// Waiting returns how many conclusions are not yet written.
func (c *Claims) Waiting() int {
	c.queue.mu.Lock()
	defer c.queue.mu.Unlock()
	return len(c.queue.items)
}

// Flush waits until no conclusion waits any more, while Run writes them, or until ctx ends.
func (c *Claims) Flush(ctx context.Context) error {
	for c.Waiting() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.queue.taken:
		}
	}
	return nil
}

// Run writes the conclusions that could not be written at once, until ctx ends. An item leaves the queue only after
// its conclusion, so that a restart of Run loses none.
func (c *Claims) Run(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		if c.Waiting() == 0 {
			select {
			case <-ctx.Done():
			case <-c.queue.wake:
			}
			continue
		}
		if c.step(ctx) {
			failures = 0
			continue
		}
		failures++
		select {
		case <-ctx.Done():
		case <-c.Clock.After(c.Backoff(failures)):
		}
	}
	return ctx.Err()
}

// step tries to write the first conclusion and tells whether it is no longer needed.
func (c *Claims) step(ctx context.Context) bool {
	i, ok := c.queue.first()
	if !ok {
		return true
	}
	if !c.conclude(ctx, &i) {
		c.queue.rotate()
		return false
	}
	c.queue.pop()
	return true
}
