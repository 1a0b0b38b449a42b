package bergamotcluster_test

import (
	"context"
	"maps"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamottest"
)

// restoredFailures are two entries that share failures in a table, which is restored from a copy.
type restoredFailures struct {
	clock *bergamotclock.Virtual
	table *failureTable
	a, b  *suspectEntry
	copy  map[string][]byte
}

// share lets both entries write what is due, and learn all changes.
func (f *restoredFailures) share() {
	for range 2 {
		f.a.step(f.clock.Now(), f.table, len(f.table.changes))
		f.b.step(f.clock.Now(), f.table, len(f.table.changes))
	}
}

func (f *restoredFailures) makeCopy() { f.copy = maps.Clone(f.table.rows) }

// restore lets an entry read the restored table.
func (f *restoredFailures) restore(e *suspectEntry) {
	e.shared.EraChanged(e.state, 1, 2)
	e.shared.Replace(e.state, f.table.all())
}

type restoredFailureCase struct {
	before   func(f *restoredFailures) // until the restore
	gone     bool                      // a is gone at the restore
	suspect  bool                      // whether the content is one at b right after the restore
	rows     int                       // in the table in the end
	stays    bool                      // whether the content is suspect for an entry that starts then
	writes   int                       // of both entries after the restore
	narrowed bool                      // whether the other content is no suspect in the end
}

var _ = ginkgo.Describe("failures in a restored table", func() {
	other, bad := contentsOf("other"), contentsOf("bad")
	fail := func(f *restoredFailures) { f.a.ledger.RecordFailure(contentsOf("other", "bad"), "runner", false) }
	// Guards against a deadly content that entries forget since the copy lacks its failures, against a cleared one that comes back
	// with the copy, and against writes by all entries that know it.
	bergamottest.Cases(map[string]restoredFailureCase{
		"are written again by the entry that attributed them": {before: func(f *restoredFailures) {
			f.makeCopy()
			fail(f)
			f.share()
		}, suspect: true, rows: 1, stays: true, writes: 1},
		"are not written again if the copy has them": {before: func(f *restoredFailures) {
			fail(f)
			f.share()
			f.makeCopy()
		}, suspect: true, rows: 1, stays: true},
		"are not forgotten when that entry is gone": {before: func(f *restoredFailures) {
			f.makeCopy()
			fail(f)
			f.share()
		}, gone: true, suspect: true},
		"are removed again by the entry that cleared them": {before: func(f *restoredFailures) {
			fail(f)
			f.share()
			f.makeCopy()
			f.b.ledger.Clear(contentsOf("other", "bad")...)
			f.share()
		}, writes: 1},
		"are written again by the entry that cleared a part": {before: func(f *restoredFailures) {
			f.makeCopy()
			fail(f)
			f.share()
			f.b.ledger.Clear(other...)
			f.share()
		}, suspect: true, rows: 1, stays: true, writes: 1, narrowed: true},
		"lose a part again that was cleared": {before: func(f *restoredFailures) {
			fail(f)
			f.share()
			f.makeCopy()
			f.b.ledger.Clear(other...)
			f.share()
		}, suspect: true, rows: 1, stays: true, writes: 1, narrowed: true},
	}, func(c restoredFailureCase) {
		f := &restoredFailures{clock: bergamotclock.NewVirtual(start), table: &failureTable{rows: map[string][]byte{}}}
		f.a, f.b = newSuspectEntry(f.clock, f.table), newSuspectEntry(f.clock, f.table)
		c.before(f)
		f.table.rows, f.table.changes, f.table.writes = f.copy, nil, 0
		f.a.applied, f.b.applied = 0, 0
		f.restore(f.b)
		if !c.gone {
			f.restore(f.a)
		}
		gomega.Expect(f.b.ledger.IsSuspect(bad...)).To(gomega.Equal(c.suspect))
		for range 3 {
			f.clock.Advance(time.Second)
			f.b.step(f.clock.Now(), f.table, len(f.table.changes))
			if !c.gone {
				f.a.step(f.clock.Now(), f.table, len(f.table.changes))
			}
		}
		gomega.Expect(f.table.rows).To(gomega.HaveLen(c.rows))
		gomega.Expect(f.table.writes).To(gomega.Equal(c.writes))
		later := newSuspectEntry(f.clock, f.table)
		gomega.Expect(later.ledger.IsSuspect(bad...)).To(gomega.Equal(c.stays))
		gomega.Expect(later.ledger.IsSuspect(other...)).To(gomega.Equal(c.stays && !c.narrowed))
	})

	// Guards against a failure that no entry writes again since the reply to its first write arrives after the restore.
	ginkgo.It("are written again if the reply comes after the restore", func() {
		f := &restoredFailures{clock: bergamotclock.NewVirtual(start), table: &failureTable{rows: map[string][]byte{}}}
		f.a = newSuspectEntry(f.clock, f.table)
		fail(f)
		reply := f.a.shared.Reconcile(f.a.state)[0].Run(context.Background())
		f.table.rows = map[string][]byte{}
		f.restore(f.a)
		reply.Apply(f.a.state)
		f.clock.Advance(time.Second)
		f.a.step(f.clock.Now(), f.table, 0)
		gomega.Expect(f.table.rows).To(gomega.HaveLen(1))
	})
})
