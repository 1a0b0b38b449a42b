package bergamotcluster_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

// recordingHandler is a table handler that records its calls.
type recordingHandler struct{ calls []string }

func (h *recordingHandler) EraChanged(_ *bergamotcluster.State, from, to int64) {
	h.calls = append(h.calls, fmt.Sprintf("era %d to %d", from, to))
}

func (h *recordingHandler) Replace(_ *bergamotcluster.State, rows []bergamotstore.Row) {
	h.calls = append(h.calls, fmt.Sprint("replace ", len(rows)))
}

func (h *recordingHandler) ApplyChange(_ *bergamotcluster.State, c bergamotstore.Change) {
	h.calls = append(h.calls, "change "+c.Row().Key())
}

func (h *recordingHandler) ReadsResumed(*bergamotcluster.State, time.Duration) {
	h.calls = append(h.calls, "resumed")
}

func (h *recordingHandler) ConfirmCurrent(*bergamotcluster.State, time.Duration) {
	h.calls = append(h.calls, "current")
}

type eraCase struct {
	first bergamotstore.Position // of the table at first
	then  func(f *watcherFixture)
	want  []string // calls after the first read
	lists int
	lines []string // what OnEraChange gets
}

var _ = ginkgo.Describe("watching a table when the store is restored", func() {
	at := bergamotstore.NewPosition
	whole := func(p bergamotstore.Position) func(*watcherFixture) {
		return func(f *watcherFixture) {
			f.feed.whole, f.feed.position = true, p
			f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("y", "1"), false)}
			f.advance(time.Second)
		}
	}
	// Guards against a handler that applies the rows of a later era as if nothing had been taken back, against a second query
	// for a whole table that has just arrived, and against a restore that leaves no trace for operators.
	bergamottest.Cases(map[string]eraCase{
		"applies the whole table of a later era": {
			first: at(1, 9), then: whole(at(2, 5)), want: []string{"era 1 to 2", "replace 1", "current"}, lists: 1, lines: []string{"t 1.9 2.5"},
		},
		"applies it after reads that failed": {first: at(1, 9), then: func(f *watcherFixture) {
			f.feed.err = errStoreDown
			f.advance(time.Second)
			f.feed.err = nil
			whole(at(2, 5))(f)
		}, want: []string{"resumed", "era 1 to 2", "replace 1", "current"}, lists: 1, lines: []string{"t 1.9 2.5"}},
		"reads it when the history was dropped": {first: at(1, 9), then: func(f *watcherFixture) {
			f.feed.err = bergamotstore.ErrHistoryDropped
			f.advance(time.Second)
			f.feed.err, f.feed.position = nil, at(2, 9)
			f.advance(0)
		}, want: []string{"era 1 to 2", "replace 0", "current"}, lists: 2, lines: []string{"t 1.9 2.9"}},
		"sees no restore in a whole table of the same era": {
			first: at(1, 9), then: whole(at(1, 12)), want: []string{"replace 1", "current"}, lists: 1,
		},
		"sees none when the store begins to name eras": {
			first: at(0, 9), then: whole(at(3, 12)), want: []string{"replace 1", "current"}, lists: 1,
		},
	}, func(c eraCase) {
		h := &recordingHandler{}
		f := newWatcher(h)
		var lines []string
		f.watcher.OnEraChange = func(table string, last, first bergamotstore.Position) {
			lines = append(lines, fmt.Sprint(table, " ", last, " ", first))
		}
		f.feed.position = c.first
		f.advance(0)
		gomega.Expect(h.calls).To(gomega.Equal([]string{"replace 0", "current"}))
		h.calls = nil
		c.then(f)
		gomega.Expect(h.calls).To(gomega.Equal(c.want))
		gomega.Expect(f.feed.listCalls).To(gomega.Equal(c.lists))
		gomega.Expect(lines).To(gomega.Equal(c.lines))
		f.feed.whole, f.feed.changes = false, nil
		f.advance(time.Second)
		gomega.Expect(f.feed.after).To(gomega.Equal(f.feed.position))
	})
})
