package bergamotclaim

import (
	"context"
	"sync"

	"bergamotspur/core/bergamotrequest"
)

// maxQueued is the maximum number of conclusions that are queued while the table or object store is down.
const maxQueued = 1024

// queue holds the conclusions that could not be written, oldest first.
type queue struct {
	mu          sync.Mutex
	items       []*item
	answerBytes int           // total size of the queued answers
	added       chan struct{} // receives a value after an item was added
	removed     chan struct{} // receives a value after an item was removed
}

func newQueue() *queue { return &queue{added: make(chan struct{}, 1), removed: make(chan struct{}, 1)} }

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

// add appends an item and reports whether the queue had space. If the queued answers would exceed maxBytes with this
// one, only the fact that the call ran is kept.
func (q *queue) add(i item, maxBytes int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxQueued {
		return false
	}
	if q.answerBytes+len(i.reply.Body()) > maxBytes {
		i.record, i.reply = i.record.withState(StateRan), bergamotrequest.Reply{}
	}
	q.answerBytes += len(i.reply.Body())
	q.items = append(q.items, &i)
	signal(q.added)
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

// pop removes the first item. Only Run may call it.
func (q *queue) pop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answerBytes -= len(q.items[0].reply.Body())
	q.items = q.items[1:]
	signal(q.removed)
}

// rotate moves the first item to the end, so that an answer that waits for the object store does not block the others.
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
	if !c.queue.add(i, c.MaxQueuedBytes) {
		c.Counter.Count("claim.dropped")
		return
	}
	c.Counter.Count("claim.queued")
}

// Pending returns the number of queued conclusions.
func (c *Claims) Pending() int {
	c.queue.mu.Lock()
	defer c.queue.mu.Unlock()
	return len(c.queue.items)
}

// Flush waits until Run has written all queued conclusions, or until ctx is done and its error is returned.
func (c *Claims) Flush(ctx context.Context) error {
	for c.Pending() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.queue.removed:
		}
	}
	return nil
}

// Run writes the queued conclusions until ctx is done, and returns the error of ctx. An item is removed only after it
// was written, so that a restart of Run loses none.
func (c *Claims) Run(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		if c.Pending() == 0 {
			select {
			case <-ctx.Done():
			case <-c.queue.added:
			}
			continue
		}
		if c.writeNext(ctx) {
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

// writeNext writes the first queued conclusion and reports whether it could be removed from the queue.
func (c *Claims) writeNext(ctx context.Context) bool {
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
