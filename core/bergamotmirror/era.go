package bergamotmirror

import (
	"sync"

	"bergamotspur/core/bergamotstore"
)

// eraTracker knows the latest era of the store that this process has seen, in any table. It may be used concurrently.
type eraTracker struct {
	mu       sync.Mutex
	latest   int64 // 0 before the first answer that names one
	restored bool  // the era has risen since then
}

// observe records the era of a position of the store or of another entry, and returns the position. One without an era comes
// from an entry whose build knows none. It counts as one of the latest era, unless this process has seen a restore: ordered is
// then false, since the entry may still have the era that was lost.
func (t *eraTracker) observe(p bergamotstore.Position) (out bergamotstore.Position, ordered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Era() == 0 {
		return bergamotstore.NewPosition(t.latest, p.Number()), !t.restored
	}
	if p.Era() > t.latest {
		t.restored = t.restored || t.latest > 0
		t.latest = p.Era()
	}
	return p, true
}

// current returns the latest era.
func (t *eraTracker) current() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// start returns the position before the first write of the latest era, from which a whole table is read: a copy of an era that
// is known to be lost does not replace it.
func (t *eraTracker) start() bergamotstore.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bergamotstore.NewPosition(t.latest, 0)
}
