package bergamotrollout_test

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamotrollout"
)

// simulation applies random actions of operators and entries to a store with random faults.
type simulation struct {
	store      *bergamotmemory.Store
	children   map[string]string // digest of the child that was in force, by digest of the parent
	approved   map[string]bool   // digests that operator mari signed
	entries    [3]*bergamotbundle.Bundle
	maxVersion [3]int64 // highest version that each entry had, restarts included
	proposals  int
}

var faults = []fault{none, none, none, down, lost, late}

// step applies one random action.
func (w *simulation) step(t *rapid.T) {
	for _, call := range []string{"read", "swap", "fetch", "put"} {
		w.store.Plan[call] = rapid.SliceOfN(rapid.SampledFrom(faults), 0, 5).Draw(t, call)
	}
	r := newRollout(w.store)
	ctx := context.Background()
	switch rapid.IntRange(0, 3).Draw(t, "action") {
	case 0:
		w.roll(ctx, t, r)
	case 1:
		w.read(ctx, t)
	case 2:
		// An entry has no disk, so that a restart loses its bundle.
		w.entries[rapid.IntRange(0, 2).Draw(t, "restart")] = nil
	case 3:
		if h, _, err := r.Head(ctx); err == nil && h.Version() > 1 {
			if b, err := r.Rollback(ctx, h.Parent()); err == nil {
				w.approve(ctx, r, b.Digest(), rapid.Bool().Draw(t, "approve"))
				_, _ = r.Roll(ctx, b.Digest(), "mari")
			}
		}
	}
	w.checkHead(t)
}

// roll proposes and rolls a bundle whose parent may be out of date, as it is for an operator who loses a race.
func (w *simulation) roll(ctx context.Context, t *rapid.T, r *bergamotrollout.Rollout) {
	h := headOf(w.store)
	version, parent := h.Version()+1, h.Digest()
	if h.Version() > 1 && rapid.Bool().Draw(t, "stale") {
		version, parent = h.Version(), h.Parent()
	}
	w.proposals++
	b, err := r.Propose(ctx, "test", bundleText(version, parent, fmt.Sprint(w.proposals), 1, "mari"))
	if err != nil {
		return
	}
	w.approve(ctx, r, b.Digest(), rapid.Bool().Draw(t, "approve"))
	rolled, err := r.Roll(ctx, b.Digest(), "mari")
	if err == nil && rolled.Digest() != b.Digest() {
		t.Fatalf("roll of %s reported success with %s in force", b.Digest(), rolled.Digest())
	}
}

func (w *simulation) approve(ctx context.Context, r *bergamotrollout.Rollout, digest string, wanted bool) {
	if wanted {
		// The signature may be stored even if the reply is lost.
		w.approved[digest] = true
		_, _ = r.Approve(ctx, digest, "mari", seedKey("mari"))
	}
}

func (w *simulation) read(ctx context.Context, t *rapid.T) {
	n := rapid.IntRange(0, 2).Draw(t, "entry")
	source := &bergamotrollout.Source{Table: w.store, Objects: w.store, Trust: trust(1, "mari")}
	b, err := source.Head(ctx, w.entries[n])
	if err != nil || b == nil {
		return
	}
	if b.Version() < w.maxVersion[n] {
		t.Fatalf("entry %d went from version %d back to %d", n, w.maxVersion[n], b.Version())
	}
	if !w.approved[b.Digest()] {
		t.Fatalf("entry %d took version %d, which nobody approved", n, b.Version())
	}
	w.entries[n], w.maxVersion[n] = b, b.Version()
}

// checkHead verifies that the bundle in force is approved and the only child of its parent.
func (w *simulation) checkHead(t *rapid.T) {
	h := headOf(w.store)
	if h.Version() == 0 {
		return
	}
	if child, ok := w.children[h.Parent()]; ok && child != h.Digest() {
		t.Fatalf("parent %q has the children %s and %s", h.Parent(), child, h.Digest())
	}
	w.children[h.Parent()] = h.Digest()
	if !w.approved[h.Digest()] {
		t.Fatalf("version %d is in force, which nobody approved", h.Version())
	}
}

// Guards against an entry that goes back to an older version, two bundles in force with the same parent, and a bundle
// in force without approval, under lost and late writes, races, outages and restarts.
func TestRolloutProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{store: newStore(), children: map[string]string{}, approved: map[string]bool{}}
		for range rapid.IntRange(1, 30).Draw(t, "actions") {
			w.step(t)
		}
	})
}
