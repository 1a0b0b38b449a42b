package bergamotmirror_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

type updateCase struct {
	has, update bergamotstore.Position
	whole       bool
	ignored     bool
}

var _ = ginkgo.Describe("a copy of a table", func() {
	p := bergamotstore.NewPosition
	// Guards against rows of two eras in one copy, against a copy that goes back, and against one that never gets the table of a
	// store that was restored and names no eras.
	bergamottest.Cases(map[string]updateCase{
		"takes changes that continue it":                     {has: p(1, 5), update: p(1, 6)},
		"ignores older changes":                              {has: p(1, 5), update: p(1, 4), ignored: true},
		"ignores changes of a later era":                     {has: p(1, 5), update: p(2, 6), ignored: true},
		"ignores changes of an earlier era":                  {has: p(2, 5), update: p(1, 6), ignored: true},
		"takes the whole table of a later era":               {has: p(1, 5), update: p(2, 3), whole: true},
		"ignores the whole table of an earlier era":          {has: p(2, 5), update: p(1, 9), whole: true, ignored: true},
		"takes a lower whole table of a store without eras":  {has: p(0, 5), update: p(0, 3), whole: true},
		"takes changes when the store begins to name eras":   {has: p(0, 5), update: p(1, 6)},
		"ignores older changes of a store that begins to do": {has: p(0, 5), update: p(1, 4), ignored: true},
	}, func(c updateCase) {
		m := bergamotmirror.NewMirror(nil)
		row := func(key string) []bergamotstore.Change {
			return []bergamotstore.Change{bergamotstore.NewChange(bergamotstore.NewRow(key, 1, nil), false)}
		}
		m.Apply(bergamotmirror.NewUpdate(row("old"), true, c.has, 0))
		m.Apply(bergamotmirror.NewUpdate(row("new"), c.whole, c.update, 0))
		u, _, ok := m.Since(bergamotstore.Position{})
		gomega.Expect(ok).To(gomega.BeTrue())
		var keys []string
		for _, r := range u.Rows() {
			keys = append(keys, r.Key())
		}
		switch {
		case c.ignored:
			gomega.Expect(u.Position()).To(gomega.Equal(c.has))
			gomega.Expect(keys).To(gomega.ConsistOf("old"))
		case c.whole:
			gomega.Expect(u.Position()).To(gomega.Equal(c.update))
			gomega.Expect(keys).To(gomega.ConsistOf("new"))
		default:
			gomega.Expect(u.Position()).To(gomega.Equal(c.update))
			gomega.Expect(keys).To(gomega.ConsistOf("old", "new"))
		}
	})
})
