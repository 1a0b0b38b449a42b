package bergamotlease_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamottest"
)

// eraTest is a store that is restored, and two entries.
type eraTest struct {
	clock *bergamotclock.Virtual
	store *bergamotmemory.Store
	a, b  *bergamotlease.Lease
	pause time.Duration // of the process during a write
}

func (t *eraTest) step(l *bergamotlease.Lease) bergamotlease.Grant {
	g, err := l.AcquireOrRenew(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return g
}

func (t *eraTest) release(l *bergamotlease.Lease) {
	gomega.Expect(l.Release(context.Background())).To(gomega.Succeed())
}

// restoreDuringWrite restores an older copy between the read of a row and the next write.
func (t *eraTest) restoreDuringWrite(older *bergamotmemory.Store) {
	t.store.Hook = func(_ context.Context, op string) bergamotmemory.Fault {
		if op == bergamotmemory.Swap {
			t.store.Restore(older)
			t.store.Hook = nil
			t.clock.Advance(t.pause)
		}
		return bergamotmemory.OK
	}
}

type restoreCase struct {
	noEra   bool // the table service names no era
	prepare func(t *eraTest)
	aValid  bool // right after the restore
	bValid  bool
	bLater  bool // a term later, while a is not heard of
	// minToken is the lowest fencing token that the first grant of b after the restore may have.
	minToken int64
}

var _ = ginkgo.Describe("Lease of a restored table", func() {
	const jump = 1<<32 + 1 // first token of the second era
	// Guards against a holder of the lost era that acts beside one of the new era, and against their equal fencing tokens.
	bergamottest.Cases(map[string]restoreCase{
		"keeps the holder although its row is lost": {prepare: func(t *eraTest) {
			older := t.store.Clone()
			t.step(t.a)
			t.store.Restore(older)
		}, aValid: true, bLater: true, minToken: jump},
		"keeps the holder although the row names the one before": {prepare: func(t *eraTest) {
			t.step(t.b)
			older := t.store.Clone()
			t.release(t.b)
			t.step(t.a)
			t.store.Restore(older)
		}, aValid: true, bLater: true, minToken: jump},
		"keeps the holder when the copy is restored during a renewal": {prepare: func(t *eraTest) {
			older := t.store.Clone()
			t.step(t.a)
			t.restoreDuringWrite(older)
		}, aValid: true, bLater: true, minToken: jump},
		"counts no renewal of a row that only has the number of the own one": {prepare: func(t *eraTest) {
			t.step(t.a)
			t.step(t.a)
			older := t.store.Clone()
			older.ClearRows()
			older.SetRow("placement", nil)
			older.SetRow("placement", []byte(`{"holder":"c","number":4294967298,"stamp":"s","era":2}`))
			t.clock.Advance(term - margin - 1)
			t.restoreDuringWrite(older)
			t.pause = 1
			t.step(t.a) // it has replaced the row of c
		}, bLater: true, minToken: jump + 2},
		"is free at once when no era is named": {noEra: true, prepare: func(t *eraTest) {
			older := t.store.Clone()
			for range 3 {
				older.SetRow("placement", nil)
			}
			t.step(t.a)
			t.clock.Advance(term)
			t.store.Restore(older)
			t.store.Era = 0
		}, bValid: true, bLater: true, minToken: 1},
		"is free at once after a release in the new era": {prepare: func(t *eraTest) {
			older := t.store.Clone()
			t.step(t.a)
			t.store.Restore(older)
			t.step(t.a)
			t.release(t.a)
		}, bValid: true, bLater: true, minToken: jump},
		"is not free after a release that the copy holds": {prepare: func(t *eraTest) {
			t.step(t.b)
			t.release(t.b)
			older := t.store.Clone()
			t.step(t.a)
			t.store.Restore(older)
			t.release(t.b)
		}, aValid: true, bLater: true, minToken: jump},
	}, func(c restoreCase) {
		t := &eraTest{clock: bergamotclock.NewVirtual(time.Unix(1000, 0)), store: bergamotmemory.NewStore()}
		if !c.noEra {
			t.store.Era = 1
		}
		t.a, t.b = newLease(t.store, t.clock, "a"), newLease(t.store, t.clock, "b")
		c.prepare(t)
		g := t.step(t.b) // a process that has just started knows no era, like b
		gomega.Expect(g.Valid(t.clock.Now())).To(gomega.Equal(c.bValid))
		gomega.Expect(t.step(t.a).Valid(t.clock.Now())).To(gomega.Equal(c.aValid))
		t.step(t.b)
		t.clock.Advance(term)
		later := t.step(t.b)
		gomega.Expect(later.Valid(t.clock.Now())).To(gomega.Equal(c.bLater))
		if !c.bValid {
			g = later
		}
		gomega.Expect(g.FencingToken()).To(gomega.BeNumerically(">=", c.minToken))
		gomega.Expect(g.FencingToken() < jump).To(gomega.Equal(c.noEra))
	})
})
