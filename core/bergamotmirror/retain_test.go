package bergamotmirror_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

type retainCase struct {
	restored string   // content of the row in the restored table
	then     []string // writes of the row after that
	reread   bool     // the whole table is read once more at the end
	noOrder  bool     // the writer does not number the row
	want     string
}

var _ = ginkgo.Describe("a row that a restore of the store took back", func() {
	// Guards against a key that was withdrawn and is admitted again by an entry that starts between a restore and the
	// operator's next write, because the copies of the other entries have gone back as well.
	bergamottest.Cases(map[string]retainCase{
		"stays in the copy":                                {restored: "6", want: "7"},
		"stays when the whole table is read again":         {restored: "6", reread: true, want: "7"},
		"is replaced by the writer's next write":           {restored: "6", then: []string{"8"}, want: "8"},
		"is replaced by an older one that is written now":  {restored: "6", then: []string{"6"}, want: "6"},
		"is replaced when a whole table has the new write": {restored: "6", then: []string{"8"}, reread: true, want: "8"},
		"is replaced by a row that is newer":               {restored: "8", want: "8"},
		"is replaced without numbers of the writer":        {restored: "6", noOrder: true, want: "6"},
	}, func(c retainCase) {
		f := newSmallFleet()
		newer := func(a, b bergamotstore.Row) bool { return string(a.Value()) > string(b.Value()) }
		hub := f.readers["a1"]
		if !c.noOrder {
			hub.Newer = map[string]bergamotmirror.RowOrder{"v": newer}
		}
		whole := func(value string, revision, era int64) bergamotmirror.Update {
			change := bergamotstore.NewChange(bergamotstore.NewRow("x", revision, []byte(value)), false)
			return bergamotmirror.NewUpdate([]bergamotstore.Change{change}, true, bergamotstore.NewPosition(era, revision), time.Hour)
		}
		hub.Mirror("v").Apply(whole("7", 9, 1))
		hub.Mirror("v").Apply(whole(c.restored, 5, 2))
		last, revision := c.restored, int64(5)
		for _, value := range c.then {
			last, revision = value, revision+1
			u := whole(value, revision, 2)
			hub.Mirror("v").Apply(bergamotmirror.NewUpdate(u.Changes(), false, u.Position(), time.Hour))
		}
		if c.reread {
			hub.Mirror("v").Apply(whole(last, revision, 2))
		}
		reply := hub.Answer(context.Background(), bergamotmirror.NewPeer("late", ""), bergamotmirror.NewQuery("late", "v", bergamotstore.Position{}, 0, 0, 1))
		gomega.Expect(reply.Update().Rows()).To(gomega.HaveLen(1))
		gomega.Expect(string(reply.Update().Rows()[0].Value())).To(gomega.Equal(c.want))
	})

	// Guards against an entry whose control state goes back while its copy does not.
	ginkgo.It("is in the reading that the entry itself gets", func() {
		f := newSmallFleet()
		r := f.add("late", "a", false)
		r.Newer = map[string]bergamotmirror.RowOrder{"t": func(a, b bergamotstore.Row) bool { return string(a.Value()) > string(b.Value()) }}
		f.store.put("x", "7")
		f.read("late", at(0))
		f.store.restore(1)
		reading := f.read("late", at(2))
		gomega.Expect(reading.Whole()).To(gomega.BeTrue())
		gomega.Expect(string(reading.Rows()[0].Value())).To(gomega.Equal("7"))
		// The operators are told that the store lacks the content.
		gomega.Expect(reading.Rows()[0].Era()).To(gomega.Equal(reading.Position().Era() - 1))
	})
})
