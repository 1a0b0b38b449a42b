package bergamotcluster_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamotsuspect"
)

// failureTable is a table of failures in memory, whose rows hold only the data of a failure.
type failureTable struct {
	down    bool
	writes  int
	rows    map[string][]byte
	changes []bergamotstore.Change
}

func (t *failureTable) PutFailures(_ context.Context, put []bergamotsuspect.Failure, remove []string) error {
	t.writes++
	if t.down {
		return errStoreDown
	}
	for _, f := range put {
		key, data := bergamotsuspect.EncodeFailure(f)
		t.rows[key] = data
		t.changes = append(t.changes, bergamotstore.NewChange(bergamotstore.NewRow(key, 1, data), false))
	}
	for _, id := range remove {
		delete(t.rows, id)
		t.changes = append(t.changes, bergamotstore.NewChange(bergamotstore.NewRow(id, 1, nil), true))
	}
	return nil
}

func (t *failureTable) all() (rows []bergamotstore.Row) {
	for key, data := range t.rows {
		rows = append(rows, bergamotstore.NewRow(key, 1, data))
	}
	return rows
}

// Failure decodes a row as a failure that has just happened.
func (t *failureTable) Failure(key string, value []byte) (bergamotsuspect.Failure, error) {
	f, ok := bergamotsuspect.DecodeFailure(key, value, 0)
	if !ok {
		return f, errors.New("malformed")
	}
	return f, nil
}

// suspectEntry is an entry with its ledger and the failures that it shares.
type suspectEntry struct {
	state   *bergamotcluster.State
	ledger  *bergamotsuspect.Ledger
	shared  *bergamotcluster.Suspects
	applied int // changes of the table that it has learned
}

func newSuspectEntry(clock *bergamotclock.Virtual, table *failureTable) *suspectEntry {
	e := &suspectEntry{state: bergamotcluster.NewState(), ledger: bergamotsuspect.NewLedger(clock)}
	e.state.SetTime(clock.Now())
	e.shared = &bergamotcluster.Suspects{
		Ledger: e.ledger, Table: table, Decoder: table, MaxAge: time.Hour, OnFailure: func(bergamotsuspect.Failure, error) {},
	}
	e.ledger.OnChange = e.shared.Share
	e.shared.Replace(e.state, table.all())
	e.applied = len(table.changes)
	return e
}

// step writes what is due and learns the changes up to a number of them.
func (e *suspectEntry) step(now time.Time, table *failureTable, known int) {
	e.state.SetTime(now)
	runTasks(e.state, e.shared.Reconcile(e.state))
	for ; e.applied < known; e.applied++ {
		e.shared.ApplyChange(e.state, table.changes[e.applied])
	}
}

func contentsOf(parts ...string) (out []bergamotsuspect.Digest) {
	for _, p := range parts {
		out = append(out, bergamotsuspect.NewDigest(p))
	}
	return out
}

var _ = ginkgo.Describe("entries that share failures", func() {
	// Guards against 840 entries each of which loses runners to a part of a prompt that others know, also after restarts, and
	// against refusing the sound requests that share its other part.
	ginkgo.It("at 840 entries stop sending a deadly part, and go on with the part beside it", func() {
		const entries, tick, delay, crashTime = 840, 10 * time.Millisecond, 40, 10
		clock := bergamotclock.NewVirtual(start)
		table := &failureTable{rows: map[string][]byte{}}
		random := rand.New(rand.NewPCG(1, 2))
		fleet := make([]*suspectEntry, entries)
		for i := range fleet {
			fleet[i] = newSuspectEntry(clock, table)
		}
		var knownAt []int                      // changes of the table at each tick
		ends := map[int][]func(){}             // by tick
		crashes, late, fifthCrash := 0, 0, 1e9 // late: requests sent 3 s after the fifth crash
		admitted, refused := 0, 0
		for n := range 1000 { // 10 s
			for _, end := range ends[n] {
				end()
			}
			if e := fleet[random.IntN(entries)]; true { // 100 requests with the deadly part each second
				own := fmt.Sprint("deadly", n)
				contents, suspect := contentsOf(own, "first", "bad"), false
				if !e.ledger.IsConfirmed(contents...) {
					suspect = e.ledger.IsSuspect(contents...)
					if float64(n) > fifthCrash+300 {
						late++
					}
					ends[n+crashTime] = append(ends[n+crashTime], func() {
						if crashes++; crashes == 5 {
							fifthCrash = float64(n + crashTime)
						}
						e.ledger.RecordFailure(contents, fmt.Sprint("runner", n), suspect)
					})
				}
			}
			if e := fleet[random.IntN(entries)]; true { // as many sound ones with its first part
				contents := contentsOf(fmt.Sprint("sound", n), "first")
				if e.ledger.IsConfirmed(contents...) {
					refused++
				} else {
					admitted++
					ends[n+crashTime] = append(ends[n+crashTime], func() { e.ledger.Clear(contents...) })
				}
			}
			if n == 700 {
				for i := range entries / 4 {
					fleet[i] = newSuspectEntry(clock, table)
				}
			}
			clock.Advance(tick)
			knownAt = append(knownAt, len(table.changes))
			for _, e := range fleet {
				e.step(clock.Now(), table, knownAt[max(n-delay, 0)])
			}
		}
		gomega.Expect(crashes).To(gomega.BeNumerically(">", 1))
		gomega.Expect(late).To(gomega.BeNumerically("<=", 3))
		gomega.Expect(refused).To(gomega.BeNumerically("<", admitted/20))
		gomega.Expect(len(table.rows)).To(gomega.BeNumerically("<=", crashes))
		gomega.Expect(table.writes).To(gomega.BeNumerically("<=", 2*crashes+50))
	})

	// Guards against a table that each of 840 entries has to read and that grows with all requests which waited at instances
	// that failed together, and against leaving out the failures that confirm a request then.
	ginkgo.It("bound what the loss of many instances adds to the table", func() {
		const waiting, maxOwn, maxRows = 100, 20, 1500 // of each entry before it sees what the others write, and of all
		clock := bergamotclock.NewVirtual(start)
		table := &failureTable{rows: map[string][]byte{}}
		e := newSuspectEntry(clock, table)
		lose := func(e *suspectEntry, of string) {
			for n := range waiting {
				e.ledger.RecordUnstarted(contentsOf(fmt.Sprint(of, n)), fmt.Sprint("runner", n), false)
			}
		}
		lose(e, "first")
		e.step(clock.Now(), table, 0)
		gomega.Expect(len(table.rows)).To(gomega.BeNumerically("<=", maxOwn))
		for n := 0; n < 2*maxRows; n += maxOwn {
			other := newSuspectEntry(clock, table)
			lose(other, fmt.Sprint("other", n, "-"))
			other.step(clock.Now(), table, len(table.changes))
			other.step(clock.Now(), table, len(table.changes))
		}
		gomega.Expect(len(table.rows)).To(gomega.BeNumerically("<=", maxRows))
		deadly := contentsOf("deadly")
		last := newSuspectEntry(clock, table)
		last.ledger.RecordUnstarted(deadly, "runner1", true)
		last.step(clock.Now(), table, len(table.changes))
		e.step(clock.Now(), table, len(table.changes))
		gomega.Expect(e.ledger.IsSuspect(deadly...)).To(gomega.BeTrue())
		// Expired rows, which go with the next write, must not keep failures out for good.
		clock.Advance(time.Hour)
		e.step(clock.Now(), table, len(table.changes))
		before := table.writes
		e.ledger.RecordFailure(contentsOf("later"), "runner2", false)
		e.step(clock.Now(), table, len(table.changes))
		gomega.Expect(table.writes).To(gomega.Equal(before + 1))
	})

	// Guards against failures that other entries never learn because the store was away when they happened.
	ginkgo.It("write a failure again after the store was down, and forget one that was cleared", func() {
		clock := bergamotclock.NewVirtual(start)
		table := &failureTable{rows: map[string][]byte{}, down: true}
		e := newSuspectEntry(clock, table)
		e.ledger.RecordFailure(contentsOf("own", "bad"), "runner", false)
		e.step(clock.Now(), table, 0)
		gomega.Expect(table.rows).To(gomega.BeEmpty())
		table.down = false
		clock.Advance(time.Second)
		e.step(clock.Now(), table, 0)
		gomega.Expect(table.rows).To(gomega.HaveLen(1))
		other := newSuspectEntry(clock, table)
		gomega.Expect(other.ledger.IsSuspect(contentsOf("bad")...)).To(gomega.BeTrue())
		e.ledger.Clear(contentsOf("own", "bad")...)
		e.step(clock.Now(), table, 0)
		other.step(clock.Now(), table, len(table.changes))
		gomega.Expect(other.ledger.Len()).To(gomega.BeZero())
	})

	// Guards against a table that grows forever.
	ginkgo.It("remove expired rows with the next write", func() {
		clock := bergamotclock.NewVirtual(start)
		table := &failureTable{rows: map[string][]byte{}}
		e := newSuspectEntry(clock, table)
		for n := range 5 {
			e.ledger.RecordFailure(contentsOf(fmt.Sprint(n)), fmt.Sprint("runner", n), false)
			e.step(clock.Now(), table, 0)
			e.step(clock.Now(), table, len(table.changes))
			clock.Advance(time.Hour)
		}
		gomega.Expect(table.rows).To(gomega.HaveLen(1))
	})
})
