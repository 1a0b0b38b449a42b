package bergamotprefix

import (
	"slices"
	"sync"
)

// holdersMost is how many targets are remembered for a block; more would not change a choice.
const holdersMost = 4

// Index follows the caches of targets from their events.
type Index struct {
	mu      sync.Mutex
	most    int
	targets map[string]*target
	blocks  map[uint64][]holder
	order   []uint64 // blocks by the time of their first event, for eviction
}

// target is what is known of one cache. A new generation invalidates all that was known before.
type target struct {
	sequence   int64
	generation int
}

type holder struct {
	name       string
	generation int
}

// NewIndex returns an index that remembers at most the given number of blocks, about 150 bytes each.
func NewIndex(most int) *Index {
	return &Index{most: most, targets: map[string]*target{}, blocks: map[uint64][]holder{}}
}

// Next returns the number of the first event that is not known of a target.
func (x *Index) Next(instance string) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t, ok := x.targets[instance]; ok {
		return t.sequence + 1
	}
	return 1
}

// Apply adds events of a target in their order. Old ones are ignored. After a gap an eviction may have been missed, so
// that all that was known of the target is dropped.
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

// Reset drops what is known of a target, which restarted and counts its events from 1 again.
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

// Size returns the number of blocks that are remembered.
func (x *Index) Size() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.blocks)
}

// Blocks appends the digests of the blocks of a prompt to buf.
func (x *Index) Blocks(buf []uint64, model, prompt string) []uint64 {
	return Blocks(buf, model, prompt)
}

// Holders calls f with each target that has the longest known beginning and the share of the blocks that it covers.
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

func (x *Index) add(block uint64, h holder) {
	list, ok := x.blocks[block]
	if !ok {
		x.order = append(x.order, block)
	}
	list = slices.DeleteFunc(list, func(o holder) bool {
		t, ok := x.targets[o.name]
		return o.name == h.name || !ok || t.generation != o.generation
	})
	if len(list) == holdersMost {
		list = slices.Delete(list, 0, 1)
	}
	x.blocks[block] = append(list, h)
	for len(x.order) > x.most {
		delete(x.blocks, x.order[0])
		x.order = x.order[1:]
	}
}

// remove leaves an empty list in place, so that the order holds each block once.
func (x *Index) remove(block uint64, instance string) {
	if list, ok := x.blocks[block]; ok {
		x.blocks[block] = slices.DeleteFunc(list, func(o holder) bool { return o.name == instance })
	}
}
