package bergamotdetour_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotdetour"
	"bergamotspur/core/bergamottest"
)

type leavingCase struct {
	entries int
	stays   bool          // one entry does not stop
	need    time.Duration // for which the connection must not break
	after   time.Duration // since the answers
	want    string        // the entry that is asked, empty for none
}

// noDirectory leads to nobody.
type noDirectory struct{ bergamotdetour.Directory }

func (noDirectory) Hubs() []bergamotdetour.Branch { return nil }

var _ = ginkgo.Describe("entries that stop", func() {
	cases := map[string]leavingCase{}
	for _, n := range []int{4, 27} {
		name := func(s string) string { return fmt.Sprint(n, " of them, ", s) }
		last := fmt.Sprint("e", n-1) // stops last
		cases[name("are asked when no other helps, the one that stops last first")] = leavingCase{entries: n, want: last}
		cases[name("are asked for a call that ends before")] = leavingCase{entries: n, need: 2 * time.Second, want: last}
		cases[name("are not asked for a call that may not")] = leavingCase{entries: n, need: time.Minute}
		cases[name("are not asked at the end of their stops")] = leavingCase{entries: n, after: 10 * time.Second}
		cases[name("are asked after an entry that stays")] = leavingCase{entries: n, stays: true, want: "stays"}
	}
	// Guards against a cut entry that refuses its callers while all others stop, and against calls that break off with a stop.
	bergamottest.Cases(cases, func(c leavingCase) {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		h := &bergamotdetour.Helpers{Clock: clock, Name: "me", Centre: "a", Directory: noDirectory{}, Random: func(int) int { return 0 }}
		if c.stays {
			h.Directory = oneHub{}
		}
		h.Init()
		for i := range c.entries {
			name := fmt.Sprint("e", i)
			left := 2*time.Second + time.Duration(i+1)*5*time.Second/time.Duration(c.entries)
			h.Record(bergamotdetour.NewHelper(name, name, "a"), bergamotdetour.AnswerStopping, left)
		}
		clock.Advance(c.after)
		next, ok := h.Next(nil, c.need)
		gomega.Expect(ok).To(gomega.Equal(c.want != ""))
		gomega.Expect(next.Name()).To(gomega.Equal(c.want))
		gomega.Expect(h.Available()).To(gomega.Equal(c.after == 0))
	})
})

// oneHub leads to an entry that stays.
type oneHub struct{ bergamotdetour.Directory }

func (oneHub) Hubs() []bergamotdetour.Branch {
	return []bergamotdetour.Branch{bergamotdetour.NewBranch(bergamotdetour.NewHelper("stays", "stays", "a"), 1)}
}
