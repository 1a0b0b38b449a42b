package bergamotprefix

import (
	"slices"
	"sync"
)

// maxHolders is the maximum number of targets kept for a block; more would not change the choice of a target.
const maxHolders = 4

// Index estimates the contents of the prefix caches of targets from their events.
type Index struct {
	mu             sync.Mutex
	maxBlocks      int
	targets        map[string]*target
	blocks         map[uint64][]holder
	insertionOrder []uint64 // blocks by the time at which they were first added, for eviction
}

// target is the state of the cache of one target. A new generation invalidates all blocks recorded before.
type target struct {
	sequence   int64
	generation int
}

// holder is a target that had a block in one generation of its cache.
type holder struct {
	name       string
	generation int
}

// NewIndex returns an index of at most maxBlocks blocks, each of which takes about 150 bytes.
func NewIndex(maxBlocks int) *Index {
	return &Index{maxBlocks: maxBlocks, targets: map[string]*target{}, blocks: map[uint64][]holder{}}
}

// NextEvent returns the sequence number of the first event of a target that the index does not have yet.
func (x *Index) NextEvent(instance string) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t, ok := x.targets[instance]; ok {
		return t.sequence + 1
	}
	return 1
}

// Apply adds the events of a target in order and ignores those that it already has. After a gap in the sequence numbers,
// an eviction may have been missed, so Apply drops all earlier blocks of the target.
func (x *Index) Apply(instance string, events []Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t, ok := x.targets[instance]
	if !ok {
		t = &target{}
		x.targets[instance] = t
	}
	for _, e := range events {
		if e.sequence <= t.sequence {
			continue
		}
		if e.sequence != t.sequence+1 {
			t.generation++
		}
		t.sequence = e.sequence
		if e.added {
			x.add(e.block, holder{instance, t.generation})
		} else {
			x.remove(e.block, instance)
		}
	}
}

// Reset drops all blocks of a target that restarted and counts its events from 1 again.
func (x *Index) Reset(instance string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t, ok := x.targets[instance]; ok {
		t.generation, t.sequence = t.generation+1, 0
	}
}

// Keep forgets the targets for which known returns false.
func (x *Index) Keep(known func(instance string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name := range x.targets {
		if !known(name) {
			delete(x.targets, name)
		}
	}
}

// Size returns the number of blocks in the index.
func (x *Index) Size() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.blocks)
}

// Blocks appends the digests of the blocks of a prompt to buf.
func (x *Index) Blocks(buf []uint64, model, prompt string) []uint64 {
	return Blocks(buf, model, prompt)
}

// Holders calls f with each target that has the longest cached beginning of a prompt, given by its blocks, and with the
// share of the blocks that this beginning covers.
func (x *Index) Holders(blocks []uint64, f func(instance string, share float64)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for n := len(blocks) - 1; n >= 0; n-- {
		found := false
		for _, h := range x.blocks[blocks[n]] {
			if t, ok := x.targets[h.name]; ok && t.generation == h.generation {
				f(h.name, float64(n+1)/float64(len(blocks)))
				found = true
			}
		}
		if found {
			return
		}
	}
}

// add records that a target holds a block and evicts the oldest blocks beyond maxBlocks.
func (x *Index) add(block uint64, h holder) {
	list, ok := x.blocks[block]
	if !ok {
		x.insertionOrder = append(x.insertionOrder, block)
	}
	list = slices.DeleteFunc(list, func(other holder) bool {
		t, ok := x.targets[other.name]
		return other.name == h.name || !ok || t.generation != other.generation
	})
	if len(list) == maxHolders {
		list = slices.Delete(list, 0, 1)
	}
	x.blocks[block] = append(list, h)
	for len(x.insertionOrder) > x.maxBlocks {
		delete(x.blocks, x.insertionOrder[0])
		x.insertionOrder = x.insertionOrder[1:]
	}
}

// remove records that a target no longer holds a block. It keeps empty lists, so that insertionOrder contains each block
// only once.
func (x *Index) remove(block uint64, instance string) {
	if list, ok := x.blocks[block]; ok {
		x.blocks[block] = slices.DeleteFunc(list, func(o holder) bool { return o.name == instance })
	}
}
