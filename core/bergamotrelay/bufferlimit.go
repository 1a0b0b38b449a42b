package bergamotrelay

import (
	"errors"
	"sync"
)

// ErrBuffersFull is returned for an answer that is given up because all answers together need too much memory.
var ErrBuffersFull = errors.New("the answers of the runner need too much memory")

// BufferLimit limits the memory of all answers, or parts of them, that are held at the same time. When it is exceeded, the
// process whose answers hold most loses the largest of them, so that a runner which sends bytes without end fails its own
// answers and not those of others.
type BufferLimit struct {
	Max int64 // bytes

	mu        sync.Mutex
	total     int64
	processes map[string]*processBuffers
}

// processBuffers holds the buffers of the answers of one process.
type processBuffers struct {
	total   int64
	buffers map[*Buffer]bool
}

// Buffer is the memory of one answer.
type Buffer struct {
	limit   *BufferLimit
	process string
	evict   func() // ends the answer; called at most once
	size    int64  // bytes
	evicted bool
	closed  bool
}

// Open returns an empty buffer for an answer of a process. If it has to be given up, evict is called by another goroutine.
func (l *BufferLimit) Open(process string, evict func()) *Buffer {
	return &Buffer{limit: l, process: process, evict: evict}
}

// Resize sets the size of the buffer in bytes. It returns ErrBuffersFull if the answer has to be given up.
func (b *Buffer) Resize(size int64) error {
	victim, err := b.limit.resize(b, size)
	if victim != nil {
		victim.evict()
	}
	return err
}

// Close releases the memory.
func (b *Buffer) Close() {
	b.limit.mu.Lock()
	defer b.limit.mu.Unlock()
	b.closed = true
	b.limit.set(b, 0)
}

// resize sets the size of a buffer and returns another one that has to be given up for that, nil for none.
func (l *BufferLimit) resize(b *Buffer, size int64) (victim *Buffer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.evicted || b.closed {
		return nil, ErrBuffersFull
	}
	l.set(b, size)
	if l.total <= l.Max {
		return nil, nil
	}
	victim = l.largest()
	victim.evicted = true
	l.set(victim, 0)
	if victim == b {
		return nil, ErrBuffersFull
	}
	return victim, nil
}

// largest returns the largest buffer of the process whose buffers are the largest.
func (l *BufferLimit) largest() (largest *Buffer) {
	var most *processBuffers
	for _, p := range l.processes {
		if most == nil || p.total > most.total {
			most = p
		}
	}
	for b := range most.buffers {
		if largest == nil || b.size > largest.size {
			largest = b
		}
	}
	return largest
}

// set sets the size of a buffer; an empty one is not kept.
func (l *BufferLimit) set(b *Buffer, size int64) {
	p := l.processes[b.process]
	if p == nil {
		if size == 0 {
			return
		}
		if l.processes == nil {
			l.processes = map[string]*processBuffers{}
		}
		p = &processBuffers{buffers: map[*Buffer]bool{}}
		l.processes[b.process] = p
	}
	l.total += size - b.size
	p.total += size - b.size
	b.size = size
	if size > 0 {
		p.buffers[b] = true
	} else {
		delete(p.buffers, b)
	}
	if len(p.buffers) == 0 {
		delete(l.processes, b.process)
	}
}
