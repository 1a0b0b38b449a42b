package bergamotrelay

import (
	"errors"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
)

type bufferCase struct {
	sizes   []int64 // of the answers of a faulty runner
	sound   int64   // size of an answer of each of two others, which come last
	evicted int     // answers of the faulty runner that are given up
	fails   bool    // a sound answer is given up
}

var _ = ginkgo.Describe("the limit of the memory for answers", func() {
	// Guards against one runner that sends bytes without end and uses up the memory for the answers of all others.
	bergamottest.Cases(map[string]bufferCase{
		"keeps all answers below it":                          {sizes: []int64{40, 30}, sound: 15},
		"gives up answers of the runner that needs most":      {sizes: []int64{30, 60}, sound: 15, evicted: 1},
		"gives up as many of them as needed":                  {sizes: []int64{33, 33, 33}, sound: 20, evicted: 2},
		"keeps large answers beside a runner that needs more": {sizes: []int64{25, 25, 25}, sound: 30, evicted: 2},
		"gives up a sound answer only if it needs most":       {sizes: []int64{10}, sound: 60, fails: true},
	}, func(c bufferCase) {
		l := &BufferLimit{Max: 100}
		evicted, failed := 0, 0
		var all []*Buffer
		for _, size := range c.sizes {
			b := l.Open("faulty", func() { evicted++ })
			if err := b.Resize(size); err != nil {
				evicted++
			}
			all = append(all, b)
		}
		for _, process := range []string{"a", "b"} {
			b := l.Open(process, func() { failed++ })
			for size := int64(1); size <= c.sound; size++ {
				if err := b.Resize(size); err != nil {
					gomega.Expect(errors.Is(err, ErrBuffersFull)).To(gomega.BeTrue())
					failed++
					break
				}
			}
			all = append(all, b)
		}
		gomega.Expect(evicted).To(gomega.Equal(c.evicted))
		gomega.Expect(failed > 0).To(gomega.Equal(c.fails))
		gomega.Expect(l.total).To(gomega.BeNumerically("<=", l.Max))
		for _, b := range all {
			b.Close()
			b.Close()
			gomega.Expect(b.Resize(1)).To(gomega.MatchError(ErrBuffersFull))
		}
		gomega.Expect(l.total).To(gomega.BeZero())
		gomega.Expect(l.processes).To(gomega.BeEmpty())
	})
})
