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
	Model: "m", Layers: 80, LayerMB: 1750, TokenKB: 7.375, StepTime: 850 * time.Microsecond, PromptTokens: 770, AnswerTokens: 170,
	CrossingTime: 20 * time.Millisecond,
	Accelerators: []bergamotconfig.Accelerator{bergamotconfig.NewAccelerator("big", 160000, 1), bergamotconfig.NewAccelerator("l4", 21600, 16)},
})

func newRunner(name, centre, kind string, from, to int) bergamotfleet.Instance {
	return bergamotfleet.NewInstance(bergamotfleet.Spec{
		Name: name, Address: name, DataCentre: centre, Kind: kind, Role: "llm",
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", from, to)},
	})
}

func newRouter() (*bergamotpath.Router, *bergamotclock.Virtual) {
	clock := bergamotclock.NewVirtual(time.Unix(0, 0))
	return &bergamotpath.Router{Clock: clock, Random: rand.New(rand.NewPCG(1, 2)), Centre: "a"}, clock
}

func newQuery(tokens float64, list ...bergamotfleet.Instance) bergamotpath.Query {
	return bergamotpath.Query{Engine: engine, Service: "llm", Fleet: bergamotfleet.NewFleet(list), Tokens: tokens, Entries: 1}
}

type crossingCase struct {
	fleet []bergamotfleet.Instance
	paths int // paths allowed in 100 ms
}

type pathCase struct {
	fleet []bergamotfleet.Instance
	avoid map[string]bool
	want  []string // runners in order, nil for no path
}

var _ = ginkgo.Describe("a path", func() {
	whole := func(name, centre string) bergamotfleet.Instance { return newRunner(name, centre, "big", 0, 80) }
	leaving := whole("leaving", "a").Spec()
	leaving.Leaving = true
	failed := whole("failed", "a").Spec()
	failed.Failed = true
	// Guards against paths with gaps or overlaps and against requests to runners that are leaving, failed or excluded.
	bergamottest.Cases(map[string]pathCase{
		"joins ranges":            {[]bergamotfleet.Instance{newRunner("x", "a", "big", 0, 40), newRunner("y", "a", "big", 40, 80)}, nil, []string{"x", "y"}},
		"cuts overlapping ranges": {[]bergamotfleet.Instance{newRunner("x", "a", "big", 0, 50), newRunner("y", "a", "big", 30, 80)}, nil, []string{"x", "y"}},
		// A runner that lists layers outside the model must not make its whole data centre unusable.
		"leaves out layers after the last one":   {[]bergamotfleet.Instance{newRunner("x", "a", "big", 0, 40), newRunner("y", "a", "big", 40, 80), newRunner("z", "a", "big", 70, 200)}, nil, []string{"x", "y"}},
		"leaves out layers before the first one": {[]bergamotfleet.Instance{newRunner("x", "a", "big", 0, 40), newRunner("y", "a", "big", 40, 80), newRunner("z", "a", "big", -5, 20)}, nil, []string{"x", "y"}},
		"does not exist with a gap":              {[]bergamotfleet.Instance{newRunner("x", "a", "big", 0, 40), newRunner("y", "a", "big", 41, 80)}, nil, nil},
		"does not exist without runners":         {nil, nil, nil},
		"stays in one data centre": {
			[]bergamotfleet.Instance{newRunner("x", "a", "big", 0, 40), newRunner("y", "b", "big", 40, 80), newRunner("z", "a", "big", 40, 80)},
			nil,
			[]string{"x", "z"},
		},
		"leaves out leaving and failed runners": {
			[]bergamotfleet.Instance{bergamotfleet.NewInstance(leaving), bergamotfleet.NewInstance(failed), whole("z", "b")}, nil, []string{"z"},
		},
		"leaves out runners to avoid": {[]bergamotfleet.Instance{whole("x", "a"), whole("y", "a")}, map[string]bool{"x": true}, []string{"y"}},
		"prefers fast accelerators":   {[]bergamotfleet.Instance{newRunner("s", "a", "l4", 0, 9), whole("x", "a")}, nil, []string{"x"}},
	}, func(c pathCase) {
		r, _ := newRouter()
		q := newQuery(900, c.fleet...)
		q.Avoid = c.avoid
		p, ok := r.Route(q)
		gomega.Expect(ok).To(gomega.Equal(c.want != nil))
		if ok {
			gomega.Expect(p.Covers(80)).To(gomega.BeTrue())
			gomega.Expect(p.Instances()).To(gomega.Equal(c.want))
		}
	})

	// Guards against a layer that runs twice or not at all, and against a runner that appears twice in a path, which the
	// platform rejects.
	ginkgo.It("runs every layer once, in order, on different runners", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r, _ := newRouter()
			var fleet []bergamotfleet.Instance
			for i := range rapid.IntRange(0, 12).Draw(t, "runners") {
				from := rapid.IntRange(0, 79).Draw(t, "from")
				to := rapid.IntRange(from+1, 80).Draw(t, "to")
				centre := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "centre")
				fleet = append(fleet, newRunner(fmt.Sprint(i), centre, "big", from, to))
			}
			p, ok := r.Route(newQuery(900, fleet...))
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

	// Guards against sending a runner more requests than fit into its memory, since it would preempt running streams.
	ginkgo.It("does not exist while the memory of the runner is full", func() {
		r, _ := newRouter()
		q := newQuery(1000, newRunner("x", "a", "big", 0, 80))
		n := 0
		for {
			if _, ok := r.Route(q); !ok {
				break
			}
			n++
		}
		// 20 GB remain beside the layers, which is enough for 33,898 tokens of 590 kB; 90% of them may be used.
		gomega.Expect(n).To(gomega.Equal(30))
		p, _ := r.Route(newQuery(0, newRunner("x", "a", "big", 0, 80)))
		r.Release(p, 1000)
		_, ok := r.Route(q)
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against sending requests to a runner that other entries have filled, which rejects them.
	ginkgo.It("leaves out a runner whose report shows full memory until the report expires", func() {
		r, clock := newRouter()
		q := newQuery(1000, newRunner("x", "a", "big", 0, 80))
		r.RecordUsage("x", 33898*80)
		_, ok := r.Route(q)
		gomega.Expect(ok).To(gomega.BeFalse())
		clock.Advance(time.Second)
		_, ok = r.Route(q)
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against prompts that saturate the link between data centres. At 0.6 of a link that carries 50 prompts per
	// second, three crossings are allowed in 100 ms.
	bergamottest.Cases(map[string]crossingCase{
		"crosses once only as often as the link allows":  {[]bergamotfleet.Instance{newRunner("x", "a", "big", 0, 40), newRunner("y", "b", "big", 40, 80)}, 3},
		"crosses twice only as often as the link allows": {[]bergamotfleet.Instance{newRunner("x", "a", "big", 0, 40), newRunner("y", "b", "big", 40, 60), newRunner("z", "a", "big", 60, 80)}, 1},
	}, func(c crossingCase) {
		r, clock := newRouter()
		q := newQuery(10, c.fleet...)
		count := func() (n int) {
			for range 100 {
				if _, ok := r.Route(q); ok {
					n++
				}
			}
			return n
		}
		count()
		clock.Advance(100 * time.Millisecond)
		gomega.Expect(count()).To(gomega.Equal(c.paths))
	})

	// Guards against avoiding a runner forever.
	ginkgo.It("uses an avoided runner again after the given time", func() {
		r, clock := newRouter()
		r.Avoid("x", 300*time.Millisecond)
		gomega.Expect(r.IsAvoided("x")).To(gomega.BeTrue())
		clock.Advance(300 * time.Millisecond)
		gomega.Expect(r.IsAvoided("x")).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("118 routers that share reports", func() {
	fleet := []bergamotfleet.Instance{newRunner("x", "a", "l4", 0, 10), newRunner("x2", "a", "big", 10, 80), newRunner("y", "b", "l4", 0, 10), newRunner("y2", "b", "big", 10, 80)}
	// chosen returns how many of the routers choose the path over x, each at its first request.
	chosen := func(report func(r *bergamotpath.Router)) (n int) {
		for i := range 118 {
			r := &bergamotpath.Router{Clock: bergamotclock.NewVirtual(time.Unix(0, 0)), Random: rand.New(rand.NewPCG(1, uint64(i))), Centre: "c"}
			q := newQuery(900, fleet...)
			q.Entries = 118
			report(r)
			p, ok := r.Route(q)
			gomega.Expect(ok).To(gomega.BeTrue())
			if p.Stages()[0].Instance() == "x" {
				n++
			}
		}
		return n
	}
	const full = 530000.0 // token-layers, over nine tenths of the memory of x

	// Guards against a runner that each of 118 entries sends a request which it rejects, since each knows only its own
	// requests (olilaud-large trouble-3, 28 to 34 s: 720 rejections).
	ginkgo.It("send nothing to a runner that is full with requests of others", func() {
		gomega.Expect(chosen(func(*bergamotpath.Router) {})).To(gomega.BeNumerically(">", 20))
		gomega.Expect(chosen(func(r *bergamotpath.Router) { r.RecordShared("x", full, 500*time.Millisecond) })).To(gomega.Equal(0))
	})

	// Guards against a runner that stays unused because of a report from before its requests ended.
	ginkgo.It("ignore a report that is too old", func() {
		gomega.Expect(chosen(func(r *bergamotpath.Router) { r.RecordShared("x", full, 2*time.Second) })).To(gomega.BeNumerically(">", 20))
	})

	// Guards against an older report that arrives over a longer way and replaces a newer one.
	ginkgo.It("keep the newest report", func() {
		gomega.Expect(chosen(func(r *bergamotpath.Router) {
			r.RecordShared("x", full, 100*time.Millisecond)
			r.RecordShared("x", 0, 600*time.Millisecond)
		})).To(gomega.Equal(0))
	})

	// Guards against a report for each runner of each path although one that is shared says the same.
	ginkgo.It("ask no runner whose report is shared", func() {
		r, _ := newRouter()
		q := newQuery(4000, fleet...)
		q.Entries = 118
		p, ok := r.Route(q)
		gomega.Expect(ok).To(gomega.BeTrue())
		_, _, asks := r.FullestRunner(p, q)
		gomega.Expect(asks).To(gomega.BeTrue())
		for _, s := range p.Stages() {
			r.RecordShared(s.Instance(), 1000, 0)
		}
		_, _, asks = r.FullestRunner(p, q)
		gomega.Expect(asks).To(gomega.BeFalse())
	})
})
