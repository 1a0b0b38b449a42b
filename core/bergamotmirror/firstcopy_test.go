package bergamotmirror_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

type firstCopyCase struct {
	silent  []string // hubs that do not answer
	rewrite string   // what the writer writes after the restore, empty for nothing
	noOrder bool     // the writer does not number the row
	noEra   bool     // the store was not restored, the writer wrote the older content
	want    string
	asked   int // queries to a1
}

var _ = ginkgo.Describe("a hub that starts after a restore of the store", func() {
	// Guards against a key that was withdrawn and is admitted again by a hub that starts between a restore and the operator's
	// next write: it follows nobody, and the store has the older configuration.
	bergamottest.Cases(map[string]firstCopyCase{
		"takes the newer row from a hub of its data centre": {want: "7", asked: 1},
		"asks one hub only":                                {silent: []string{"a1"}, want: "6"},
		"takes what the writer has written since":          {rewrite: "6", want: "6", asked: 1},
		"takes a newer write":                              {rewrite: "8", want: "8", asked: 1},
		"asks nobody about rows that are not numbered":     {noOrder: true, want: "6"},
		"takes the row of the store where nothing is lost": {noEra: true, want: "6", asked: 1},
	}, func(c firstCopyCase) {
		f := newFleet()
		newer := map[string]bergamotmirror.RowOrder{"t": func(a, b bergamotstore.Row) bool { return string(a.Value()) > string(b.Value()) }}
		if c.noOrder {
			newer = nil
		}
		for name, centre := range map[string]string{"a1": "a", "b1": "b"} {
			f.add(name, centre, true).Newer = newer
		}
		f.store.put("x", "6")
		f.start()
		f.store.put("x", "7")
		f.changes("a1", 1)
		f.changes("b1", 1)
		if c.noEra {
			f.store.put("x", "6")
		} else {
			f.store.restore(1)
		}
		for _, name := range []string{"a1", "b1"} {
			f.read(name, at(2))
		}
		if c.rewrite != "" {
			f.store.put("x", c.rewrite)
			for _, name := range []string{"a1", "b1"} {
				_, err := f.changesAfter(name, bergamotstore.NewPosition(2, 1))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
		}
		for _, name := range c.silent {
			f.silent[name] = true
		}
		r := f.add("a2", "a", true)
		r.Newer = newer
		r.Peers.SetHubs(f.hubs)
		asked, calls := f.asked["a1"], f.store.calls["a2"]
		reading, err := r.List(context.Background(), "t")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(reading.Rows()[0].Value())).To(gomega.Equal(c.want))
		gomega.Expect(reading.Relayed()).To(gomega.BeFalse())
		gomega.Expect(f.store.calls["a2"] - calls).To(gomega.Equal(1))
		gomega.Expect(f.asked["a1"] - asked).To(gomega.Equal(c.asked))
	})
})
