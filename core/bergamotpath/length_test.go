package bergamotpath_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamottest"
)

type lengthCase struct {
	answer float64 // expected tokens of the answer; 170 are typical
	load   float64 // share of the memory of the fast runner that is in use
	fast   bool    // the path leads over the fast runner
}

var _ = ginkgo.Describe("two large ones and many small", func() {
	// Guards against long answers that go over many slow runners while short ones use the fast ones: with 13 s for an answer over
	// ten runners, the largest tenth of the requests met most crashes and stops (rgs-garden-grown scale-1).
	bergamottest.Cases(map[string]lengthCase{
		"a short answer takes an idle fast runner":         {answer: 20, fast: true},
		"a short answer leaves a busy fast runner":         {answer: 20, load: 0.9},
		"a typical answer takes a busy fast runner":        {answer: 170, load: 0.9, fast: true},
		"a typical answer leaves one that is nearly full":  {answer: 170, load: 0.95},
		"a long answer takes one that is nearly full":      {answer: 900, load: 0.95, fast: true},
		"an answer of unknown length counts as typical":    {load: 0.95},
		"a length that is negative counts as typical":      {answer: -900, load: 0.95},
		"a length beyond all bounds takes no full runner":  {answer: 1e12, load: 0.999},
		"a long answer does not wait for an idle slow one": {answer: 900, load: 0.5, fast: true},
	}, func(c lengthCase) {
		r, _ := newRouter()
		fast := newRunner("fast", "a", "big", 0, 80)
		list := []bergamotfleet.Instance{fast}
		for from := 0; from < 80; from += 8 {
			list = append(list, newRunner(fmt.Sprint("slow", from), "a", "l4", from, from+8))
		}
		const fastTokens = 0.9 * (160000 - 80*1750) / 7.375 * 1000 / 80 // memory for requests in tokens
		if c.load > 0 {
			_, ok := r.Route(newQuery(c.load*fastTokens, fast))
			gomega.Expect(ok).To(gomega.BeTrue())
		}
		q := newQuery(900, list...)
		q.Answer = c.answer
		p, ok := r.Route(q)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(p.Stages()[0].Instance() == "fast").To(gomega.Equal(c.fast))
	})
})
