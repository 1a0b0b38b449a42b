package bergamotcluster_test

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

// processDecoder decodes a row of the digit of a process and its state.
type processDecoder struct{}

func (processDecoder) Runner(key string, value []byte) (bergamotfleet.Spec, error) {
	if string(value) == "broken" {
		return bergamotfleet.Spec{}, errors.New("broken")
	}
	return bergamotfleet.Spec{
		Name: key, Address: key, Role: "llm", DataCentre: "a", StartTime: int64(value[0] - '0'), Leaving: strings.HasSuffix(string(value), "leaving"),
	}, nil
}

// sequenceDecoder decodes a row as a sequence number and the number of layers held.
type sequenceDecoder struct{}

func (sequenceDecoder) Runner(key string, value []byte) (bergamotfleet.Spec, error) {
	return bergamotfleet.Spec{
		Name: key, Address: key, StartTime: 1, Sequence: int64(value[0] - '0'),
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", 0, int(value[1]-'0'))},
	}, nil
}

// fakeProber is a prober of runners that are all healthy or not.
type fakeProber struct{ healthy bool }

func (p fakeProber) Healthy(context.Context, string, string, string) error {
	if !p.healthy {
		return errors.New("not healthy")
	}
	return nil
}

// rosterFixture is a roster, a health checker and a store whose rows have rising revisions.
type rosterFixture struct {
	state    *bergamotcluster.State
	roster   *bergamotcluster.Roster
	checker  *bergamotcluster.HealthChecker
	revision int64
}

func newRosterFixture(healthy bool, startTime int64) *rosterFixture {
	return &rosterFixture{
		state:  newState(0),
		roster: &bergamotcluster.Roster{Decoder: processDecoder{}, OnRunnerChange: func(bergamotfleet.Instance, string, error) {}},
		checker: &bergamotcluster.HealthChecker{
			Source: &fakeRunners{startTimes: map[string]int64{"x": startTime}}, Prober: fakeProber{healthy}, OnRecovered: func(string) {},
		},
	}
}

func (f *rosterFixture) row(value string) bergamotstore.Row {
	f.revision++
	return bergamotstore.NewRow("x", f.revision, []byte(value))
}

// apply applies the next write to the row of the runner, a deletion if value is empty.
func (f *rosterFixture) apply(value string) {
	f.roster.ApplyChange(f.state, bergamotstore.NewChange(f.row(value), value == ""))
}

// restore applies a restored table with the row of the runner, none if value is empty.
func (f *rosterFixture) restore(value string, era int64) (rows []bergamotstore.Row) {
	f.revision = 0
	if value != "" {
		rows = append(rows, f.row(value))
	}
	f.roster.EraChanged(f.state, era-1, era)
	f.roster.Replace(f.state, rows)
	return rows
}

// wait runs the controllers for d.
func (f *rosterFixture) wait(d time.Duration) {
	for end := f.state.Now().Add(d); f.state.Now().Before(end); f.state.SetTime(f.state.Now().Add(100 * time.Millisecond)) {
		runTasks(f.state, f.checker.Reconcile(f.state))
		runTasks(f.state, f.roster.Reconcile(f.state))
	}
}

// status returns how the runner stands.
func (f *rosterFixture) status() string {
	i, known := f.state.Runner("x")
	switch {
	case !known:
		return "gone"
	case i.Leaving():
		return "leaving"
	case i.Failed():
		return "failed"
	default:
		return "sound"
	}
}

type restoredRunnerCase struct {
	before   []string // writes to its row, empty for a deletion
	restored string   // its row in the copy
	after    []string // writes after the restore
	start    int64    // of the process that answers, 1 if 0
	healthy  bool
	at       string // status right after the restore and the writes
	later    string // status 1.5 s after that
	last     string // status 5 s after that
}

type restoredLayersCase struct {
	known    string // last row before the restore: its sequence and its layers
	restored string // row in the copy
	want     int    // layers
}

var _ = ginkgo.Describe("a runner in a restored table", func() {
	// Guards against work for runners that had left, against losing sound runners that registered after the copy was made, and
	// against an earlier process in place of the present one.
	bergamottest.Cases(map[string]restoredRunnerCase{
		"that registered after the copy stays until it registers again":   {before: []string{"1"}, at: "sound", later: "sound", last: "gone"},
		"that registers again stays":                                      {before: []string{"1"}, after: []string{"1"}, at: "sound", later: "sound", last: "sound"},
		"that is leaving and missing is removed":                          {before: []string{"1 leaving"}, at: "gone", later: "gone", last: "gone"},
		"that is leaving stays so":                                        {before: []string{"1", "1 leaving"}, restored: "1", healthy: true, at: "leaving", later: "leaving", last: "leaving"},
		"that was leaving before its removal stays so":                    {before: []string{"1", "1 leaving", ""}, restored: "1", healthy: true, at: "leaving", later: "leaving", last: "leaving"},
		"that was leaving and registers again stays so":                   {before: []string{"1 leaving", ""}, restored: "1", after: []string{"1"}, at: "leaving", later: "leaving", last: "leaving"},
		"that was removed gets no work before it is healthy":              {before: []string{"1", ""}, restored: "1", at: "failed", later: "failed", last: "failed"},
		"that was removed gets work once it is healthy":                   {before: []string{"1", ""}, restored: "1", healthy: true, at: "failed", later: "sound", last: "sound"},
		"that was removed gets work once it registers again":              {before: []string{"1", ""}, restored: "1", after: []string{"1"}, at: "sound", later: "sound", last: "sound"},
		"whose address another process has gets no work":                  {before: []string{"1", ""}, restored: "1", start: 2, healthy: true, at: "failed", later: "failed", last: "failed"},
		"that was replaced is not taken for its successor":                {before: []string{"1", "2"}, restored: "1", start: 2, healthy: true, at: "sound", later: "sound", last: "gone"},
		"that was replaced does not hide its successor":                   {before: []string{"1", "2"}, restored: "1", after: []string{"2"}, start: 2, at: "sound", later: "sound", last: "sound"},
		"that was replaced by one that left gets no work":                 {before: []string{"1", "2", ""}, restored: "1", start: 2, healthy: true, at: "failed", later: "failed", last: "failed"},
		"whose row cannot be read stays until it registers again":         {before: []string{"1"}, restored: "broken", at: "sound", later: "sound", last: "gone"},
		"that is new is sound":                                            {restored: "1", at: "sound", later: "sound", last: "sound"},
		"that was removed and is removed again is gone":                   {before: []string{"1", ""}, restored: "1", after: []string{""}, healthy: true, at: "gone", later: "gone", last: "gone"},
		"that was removed is a new process after it has registered again": {before: []string{"1", ""}, restored: "1", after: []string{"2"}, at: "sound", later: "sound", last: "sound"},
	}, func(c restoredRunnerCase) {
		f := newRosterFixture(c.healthy, max(c.start, 1))
		for _, value := range c.before {
			f.apply(value)
			f.wait(time.Second)
		}
		f.restore(c.restored, 2)
		for _, value := range c.after {
			f.apply(value)
		}
		gomega.Expect(f.status()).To(gomega.Equal(c.at))
		f.wait(1500 * time.Millisecond)
		gomega.Expect(f.status()).To(gomega.Equal(c.later))
		f.wait(5 * time.Second)
		gomega.Expect(f.status()).To(gomega.Equal(c.last))
	})

	// Guards against requests and orders for layers that a runner held when the copy was made.
	bergamottest.Cases(map[string]restoredLayersCase{
		"keeps the layers of a later row":       {known: "85", restored: "73", want: 5},
		"keeps the layers of a row of no order": {known: "05", restored: "03", want: 5},
		"takes the layers of a row that is new": {known: "73", restored: "85", want: 5},
	}, func(c restoredLayersCase) {
		f := newRosterFixture(true, 1)
		f.roster.Decoder = sequenceDecoder{}
		f.apply(c.known)
		f.restore(c.restored, 2)
		i, _ := f.state.Runner("x")
		gomega.Expect(i.Holdings()[0].To()).To(gomega.Equal(c.want))
	})

	// Guards against a runner that is used for good since it answered a check while its row was missing.
	ginkgo.It("is removed although it answers, if it does not register again", func() {
		f := newRosterFixture(true, 1)
		f.apply("1")
		f.restore("", 2)
		f.state.MarkFailed("x")
		f.wait(time.Second)
		gomega.Expect(f.status()).To(gomega.Equal("sound"))
		f.wait(2 * time.Second)
		gomega.Expect(f.status()).To(gomega.Equal("gone"))
	})

	// Guards against a whole table that is read again in the same era and counts as the word of a runner that is held back.
	ginkgo.It("is not let in by another read of the same row", func() {
		f := newRosterFixture(false, 1)
		f.apply("1")
		f.apply("")
		rows := f.restore("1", 2)
		f.roster.Replace(f.state, rows)
		gomega.Expect(f.status()).To(gomega.Equal("failed"))
		f.roster.Replace(f.state, []bergamotstore.Row{f.row("1")})
		gomega.Expect(f.status()).To(gomega.Equal("sound"))
	})

	// Guards against a memory of removed runners that grows with each release, and against one that works as before a restore.
	ginkgo.It("is sound if its removal is long ago or no restore came between", func() {
		f := newRosterFixture(false, 1)
		f.apply("1")
		f.apply("")
		f.apply("1")
		gomega.Expect(f.status()).To(gomega.Equal("sound"))
		f.apply("")
		f.state.SetTime(f.state.Now().Add(10 * time.Minute))
		f.restore("1", 2)
		gomega.Expect(f.status()).To(gomega.Equal("sound"))
	})
})
