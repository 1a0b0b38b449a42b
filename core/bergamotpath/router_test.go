package bergamotpath_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamottest"
)

var engine = bergamotconfig.NewEngine(bergamotconfig.EngineSpec{
	Model: "m", Layers: 80, LayerMB: 1750, TokenKB: 7.375, Step: 850 * time.Microsecond, PromptLen: 770, AnswerLen: 170,
	Crossing: 20 * time.Millisecond,
	Kinds:    []bergamotconfig.Kind{bergamotconfig.NewKind("big", 160000, 1), bergamotconfig.NewKind("l4", 21600, 16)},
})

func held(name, centre, kind string, from, to int) bergamotfleet.Instance {
	return bergamotfleet.NewInstance(bergamotfleet.Spec{
		Name: name, Address: name, DataCentre: centre, Kind: kind, Role: "llm",
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", from, to)},
	})
}

func newRouter() (*bergamotpath.Router, *bergamotclock.Virtual) {
	clock := bergamotclock.NewVirtual(time.Unix(0, 0))
	return &bergamotpath.Router{Clock: clock, Random: rand.New(rand.NewPCG(1, 2)), Centre: "a"}, clock
}

func want(tokens float64, list ...bergamotfleet.Instance) bergamotpath.Want {
	return bergamotpath.Want{Engine: engine, Service: "llm", Fleet: bergamotfleet.NewFleet(list), Tokens: tokens, Entries: 1}
}

type crossCase struct {
	fleet []bergamotfleet.Instance
	most  int // paths in a tenth of a second
}

type pathCase struct {
	fleet []bergamotfleet.Instance
	avoid map[string]bool
	want  []string // runners in order, nil for no path
}

var _ = ginkgo.Describe("a path", func() {
	whole := func(name, centre string) bergamotfleet.Instance { return held(name, centre, "big", 0, 80) }
	leaving := whole("leaving", "a").Spec()
	leaving.Leaving = true
	failed := whole("failed", "a").Spec()
	failed.Failed = true
	// Guards against gaps and overlaps, and against work for runners that must get none.
	bergamottest.Entries(map[string]pathCase{
		"joins ranges":            {[]bergamotfleet.Instance{held("x", "a", "big", 0, 40), held("y", "a", "big", 40, 80)}, nil, []string{"x", "y"}},
		"cuts overlapping ranges": {[]bergamotfleet.Instance{held("x", "a", "big", 0, 50), held("y", "a", "big", 30, 80)}, nil, []string{"x", "y"}},
		// An entry of another writer must not take the path from the runners of its data centre.
		"leaves out layers after the last one":   {[]bergamotfleet.Instance{held("x", "a", "big", 0, 40), held("y", "a", "big", 40, 80), held("z", "a", "big", 70, 200)}, nil, []string{"x", "y"}},
		"leaves out layers before the first one": {[]bergamotfleet.Instance{held("x", "a", "big", 0, 40), held("y", "a", "big", 40, 80), held("z", "a", "big", -5, 20)}, nil, []string{"x", "y"}},
		"does not exist with a gap":              {[]bergamotfleet.Instance{held("x", "a", "big", 0, 40), held("y", "a", "big", 41, 80)}, nil, nil},
		"does not exist for no fleet":            {nil, nil, nil},
		"stays in one data centre": {
			[]bergamotfleet.Instance{held("x", "a", "big", 0, 40), held("y", "b", "big", 40, 80), held("z", "a", "big", 40, 80)},
			nil,
			[]string{"x", "z"},
		},
		"leaves out runners that leave or fail": {
			[]bergamotfleet.Instance{bergamotfleet.NewInstance(leaving), bergamotfleet.NewInstance(failed), whole("z", "b")}, nil, []string{"z"},
		},
		"leaves out runners to avoid": {[]bergamotfleet.Instance{whole("x", "a"), whole("y", "a")}, map[string]bool{"x": true}, []string{"y"}},
		"prefers fast accelerators":   {[]bergamotfleet.Instance{held("s", "a", "l4", 0, 9), whole("x", "a")}, nil, []string{"x"}},
	}, func(c pathCase) {
		r, _ := newRouter()
		w := want(900, c.fleet...)
		w.Avoid = c.avoid
		p, ok := r.Route(w)
		gomega.Expect(ok).To(gomega.Equal(c.want != nil))
		if ok {
			gomega.Expect(p.Covers(80)).To(gomega.BeTrue())
			gomega.Expect(p.Instances()).To(gomega.Equal(c.want))
		}
	})

	// Guards against a layer that runs twice or not at all, and against a runner that appears twice, which the
	// platform rejects.
	ginkgo.It("runs every layer once, in order, on different runners", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r, _ := newRouter()
			var fleet []bergamotfleet.Instance
			for i := range rapid.IntRange(0, 12).Draw(t, "runners") {
				from := rapid.IntRange(0, 79).Draw(t, "from")
				to := rapid.IntRange(from+1, 80).Draw(t, "to")
				centre := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "centre")
				fleet = append(fleet, held(fmt.Sprint(i), centre, "big", from, to))
			}
			p, ok := r.Route(want(900, fleet...))
			if !ok {
				return
			}
			if !p.Covers(80) {
				t.Fatalf("the path does not cover the layers: %v", p.Stages())
			}
			seen := map[string]bool{}
			for _, name := range p.Instances() {
				if seen[name] {
					t.Fatalf("%s appears twice", name)
				}
				seen[name] = true
			}
		})
	})

	// Guards against more requests than a runner has memory for: it would preempt running streams.
	ginkgo.It("ends when the memory is used up and returns when a request ends", func() {
		r, _ := newRouter()
		w := want(1000, held("x", "a", "big", 0, 80))
		n := 0
		for {
			if _, ok := r.Route(w); !ok {
				break
			}
			n++
		}
		// 20 GB beside the layers hold 33,898 tokens of 590 kB, of which 90% may be used.
		gomega.Expect(n).To(gomega.Equal(30))
		p, _ := r.Route(want(0, held("x", "a", "big", 0, 80)))
		r.Finish(p, 1000)
		_, ok := r.Route(w)
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against rejections by a runner that other entries have filled.
	ginkgo.It("waits for a runner whose report shows no room, until the report is old", func() {
		r, clock := newRouter()
		w := want(1000, held("x", "a", "big", 0, 80))
		r.Observe("x", 33898*80)
		_, ok := r.Route(w)
		gomega.Expect(ok).To(gomega.BeFalse())
		clock.Advance(time.Second)
		_, ok = r.Route(w)
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against prompts that fill the pipe between data centres: 0.6 of a pipe that takes 50 prompts a second are three
	// crossings in a tenth of a second.
	bergamottest.Entries(map[string]crossCase{
		"crosses once only as often as the pipe allows":  {[]bergamotfleet.Instance{held("x", "a", "big", 0, 40), held("y", "b", "big", 40, 80)}, 3},
		"crosses twice only as often as the pipe allows": {[]bergamotfleet.Instance{held("x", "a", "big", 0, 40), held("y", "b", "big", 40, 60), held("z", "a", "big", 60, 80)}, 1},
	}, func(c crossCase) {
		r, clock := newRouter()
		w := want(10, c.fleet...)
		count := func() (n int) {
			for range 100 {
				if _, ok := r.Route(w); ok {
					n++
				}
			}
			return n
		}
		count()
		clock.Advance(100 * time.Millisecond)
		gomega.Expect(count()).To(gomega.Equal(c.most))
	})

	// Guards against a runner that is avoided for good.
	ginkgo.It("returns to an avoided runner after the time", func() {
		r, clock := newRouter()
		r.Avoid("x", 300*time.Millisecond)
		gomega.Expect(r.Avoided("x")).To(gomega.BeTrue())
		clock.Advance(300 * time.Millisecond)
		gomega.Expect(r.Avoided("x")).To(gomega.BeFalse())
	})
})
