package bergamotprefix_test

import (
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotprefix"
	"bergamotspur/core/bergamottest"
)

func TestPrefix(t *testing.T) { bergamottest.Run(t, "prefix") }

type indexCase struct {
	events []bergamotprefix.Event
	want   map[string]float64
}

var _ = ginkgo.Describe("index", func() {
	prompt := strings.Repeat("a", 2*bergamotprefix.BlockSize) + strings.Repeat("b", 2*bergamotprefix.BlockSize)
	b := bergamotprefix.Blocks(nil, "m", prompt)
	add := func(n int64, i int) bergamotprefix.Event { return bergamotprefix.NewEvent(n, true, b[i]) }
	// Guards against blocks whose eviction was missed, and against events that arrive twice.
	bergamottest.Cases(map[string]indexCase{
		"finds the longest cached beginning":   {[]bergamotprefix.Event{add(1, 0), add(2, 1)}, map[string]float64{"r": 0.5}},
		"forgets an evicted block":             {[]bergamotprefix.Event{add(1, 0), add(2, 1), bergamotprefix.NewEvent(3, false, b[1])}, map[string]float64{"r": 0.25}},
		"drops earlier blocks after a gap":     {[]bergamotprefix.Event{add(1, 0), add(2, 1), add(9, 0)}, map[string]float64{"r": 0.25}},
		"ignores an event that it already has": {[]bergamotprefix.Event{add(1, 0), bergamotprefix.NewEvent(2, false, b[0]), add(1, 0)}, map[string]float64{}},
		"is empty without events":              {nil, map[string]float64{}},
	}, func(c indexCase) {
		x := bergamotprefix.NewIndex(100)
		x.Apply("r", c.events)
		got := map[string]float64{}
		x.Holders(b, func(name string, share float64) { got[name] = share })
		gomega.Expect(got).To(gomega.Equal(c.want))
	})

	// Guards against memory that grows with the number of events.
	ginkgo.It("stays within its limit of blocks", func() {
		x := bergamotprefix.NewIndex(100)
		for n := int64(1); n <= 10000; n++ {
			x.Apply("r", []bergamotprefix.Event{bergamotprefix.NewEvent(n, true, uint64(n))})
		}
		gomega.Expect(x.Size()).To(gomega.Equal(100))
	})

	// Guards against a restarted target that counts from 1 again and is ignored from then on.
	ginkgo.It("drops earlier blocks after a reset", func() {
		x := bergamotprefix.NewIndex(100)
		x.Apply("r", []bergamotprefix.Event{add(1, 0), add(2, 1)})
		x.Reset("r")
		gomega.Expect(x.NextEvent("r")).To(gomega.Equal(int64(1)))
		x.Holders(b, func(string, float64) { ginkgo.Fail("a block from before the reset is still in the index") })
	})
})
