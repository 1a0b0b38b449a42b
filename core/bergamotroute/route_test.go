package bergamotroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamottest"
)

func TestRoute(t *testing.T) { bergamottest.Run(t, "route") }

var start = time.Unix(1e9, 0)

func bundle() *bergamotbundle.Bundle {
	return bergamottest.Bundle(bergamottest.MinimalBundle + "[model m]\nlayers=12\n[pipeline p]\nmodel=m\n" +
		"[kind fast]\nstep=100\nslope=20\n[kind slow]\nstep=400\nslope=80\n")
}

func runner(name, kind string, from, to int, l bergamotfleet.Load) bergamotfleet.Instance {
	return bergamotfleet.NewInstance(bergamotfleet.Spec{
		Name: name, Address: name, DataCentre: "tartu", Kind: kind, Role: bergamotfleet.RoleRunner, Load: l,
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", from, to)},
	})
}

func newQuery(b *bergamotbundle.Bundle, instances ...bergamotfleet.Instance) bergamotroute.Query {
	p, _ := b.Pipeline("p")
	return bergamotroute.Query{Pipeline: p, Bundle: b, Fleet: bergamotfleet.NewFleet(instances)}
}

func newRouter() (*bergamotroute.Router, *bergamotclock.Virtual) {
	c := bergamotclock.NewVirtual(start)
	return bergamotroute.NewRouter(c, rand.New(rand.NewPCG(1, 1)), "tartu"), c
}

type pathCase struct {
	runners []bergamotfleet.Instance
	avoid   map[string]bool
	want    []string // empty when no path exists
}

var _ = ginkgo.Describe("route", func() {
	none := bergamotfleet.Load{}
	// Guards against paths with gaps or overlaps and against ranges that can only be entered at their first layer.
	bergamottest.Cases(map[string]pathCase{
		"enters an overlapping range in the middle": {
			runners: []bergamotfleet.Instance{runner("a", "fast", 0, 6, none), runner("b", "fast", 3, 12, none)}, want: []string{"a", "b"},
		},
		"prefers the faster kind": {
			runners: []bergamotfleet.Instance{runner("a", "slow", 0, 12, none), runner("b", "fast", 0, 6, none), runner("c", "fast", 6, 12, none)},
			want:    []string{"b", "c"},
		},
		"follows a recent load report": {
			runners: []bergamotfleet.Instance{
				runner("a", "fast", 0, 12, bergamotfleet.NewLoad(50, 0, start)), runner("b", "fast", 0, 12, bergamotfleet.NewLoad(1, 0, start)),
			},
			want: []string{"b"},
		},
		"excludes instances to avoid": {
			runners: []bergamotfleet.Instance{runner("a", "fast", 0, 12, none), runner("b", "slow", 0, 12, none)},
			avoid:   map[string]bool{"a": true}, want: []string{"b"},
		},
		"finds no path over a gap": {
			runners: []bergamotfleet.Instance{runner("a", "fast", 0, 5, none), runner("b", "fast", 6, 12, none)},
		},
	}, func(c pathCase) {
		r, _ := newRouter()
		q := newQuery(bundle(), c.runners...)
		q.Avoid = c.avoid
		p, ok := r.Route(q)
		gomega.Expect(ok).To(gomega.Equal(len(c.want) > 0))
		if ok {
			gomega.Expect(p.Instances()).To(gomega.Equal(c.want))
			gomega.Expect(p.Covers(12)).To(gomega.BeTrue())
		}
	})

	// Guards against a report without load that hides the requests that this entry has in flight.
	ginkgo.It("counts its own requests in flight although the report shows none", func() {
		r, _ := newRouter()
		q := newQuery(bundle(), runner("a", "fast", 0, 12, bergamotfleet.NewLoad(0, 0, start)), runner("b", "fast", 0, 12, bergamotfleet.NewLoad(0, 0, start)))
		count := map[string]int{}
		for range 20 {
			p, _ := r.Route(q)
			count[p.Instances()[0]]++
		}
		gomega.Expect(count).To(gomega.Equal(map[string]int{"a": 10, "b": 10}))
	})

	// Guards against an outdated report of high load that keeps requests away from an instance.
	ginkgo.It("discounts a report by its age", func() {
		r, c := newRouter()
		q := newQuery(bundle(), runner("a", "fast", 0, 12, bergamotfleet.NewLoad(6, 0, start)), runner("b", "fast", 0, 12, bergamotfleet.NewLoad(0, 0, start)))
		countA := func() (n int) {
			var plans []bergamotroute.Plan
			for range 6 {
				p, _ := r.Route(q)
				plans = append(plans, p)
				if p.Instances()[0] == "a" {
					n++
				}
			}
			for _, p := range plans {
				r.Release(p)
			}
			return n
		}
		gomega.Expect(countA()).To(gomega.BeNumerically("<=", 1))
		c.Advance(20 * time.Second)
		gomega.Expect(countA()).To(gomega.Equal(3))
	})

	// Guards against a maximum flow that assigns a target only to its whole range or ignores the layers with the lowest rate.
	ginkgo.It("limits the flow to the rate of the slowest layers", func() {
		r, _ := newRouter()
		single := r.MaxFlow(newQuery(bundle(), runner("a", "fast", 0, 12, none)), 20*time.Millisecond).Rate()
		two := newQuery(bundle(), runner("a", "fast", 0, 6, none), runner("b", "fast", 6, 12, none))
		gomega.Expect(r.MaxFlow(two, 20*time.Millisecond).Rate()).To(gomega.BeNumerically("~", 2*single, 0.01*single))
		three := newQuery(bundle(), runner("a", "fast", 0, 6, none), runner("b", "fast", 6, 12, none), runner("c", "fast", 6, 12, none))
		gomega.Expect(r.MaxFlow(three, 20*time.Millisecond).Rate()).To(gomega.BeNumerically("~", 2*single, 0.01*single))
		overlap := newQuery(bundle(), runner("a", "fast", 0, 6, none), runner("b", "fast", 6, 12, none), runner("c", "fast", 0, 12, none))
		gomega.Expect(r.MaxFlow(overlap, 20*time.Millisecond).Rate()).To(gomega.BeNumerically("~", 3*single, 0.01*single))
	})

	// Guards against allocations in each choice; the only one allowed is the plan.
	ginkgo.It("allocates only the plan", func() {
		r, _ := newRouter()
		q := newQuery(bundle(), newRunners(3100)...)
		allocations := testing.AllocsPerRun(100, func() {
			p, _ := r.Route(q)
			r.Release(p)
		})
		gomega.Expect(allocations).To(gomega.BeNumerically("<=", 1))
	})

	// Guards against a router that does not pass observations to the learner, or attributes them to the wrong stage.
	ginkgo.It("avoids a stage that was observed to be slow", func() {
		r, c := newRouter()
		r.Curves.SetInitialCurve("fast", bergamotcurve.NewCurve(100, 20))
		q := newQuery(bundle(), runner("a", "fast", 0, 12, none), runner("b", "fast", 0, 12, none))
		for range 100 {
			p, _ := r.Route(q)
			if p.Instances()[0] == "a" {
				r.Observe(p, 12*time.Millisecond)
			} else {
				r.Observe(p, 1200*time.Microsecond)
			}
			r.Release(p)
			c.Advance(100 * time.Millisecond)
		}
		p, _ := r.Route(q)
		gomega.Expect(p.Instances()).To(gomega.Equal([]string{"b"}))
	})
})

// newRunners returns n runners of two kinds in five data centres that hold overlapping ranges.
func newRunners(n int) (list []bergamotfleet.Instance) {
	ranges := [][2]int{{0, 4}, {0, 6}, {4, 8}, {4, 12}, {6, 12}, {8, 12}}
	for i := range n {
		spec := runner(fmt.Sprint("r", i), []string{"fast", "slow"}[i%2], ranges[i%6][0], ranges[i%6][1], bergamotfleet.NewLoad(i%7, 0, start)).Spec()
		spec.DataCentre = fmt.Sprint("centre", i%5)
		list = append(list, bergamotfleet.NewInstance(spec))
	}
	return list
}

func BenchmarkRoute(b *testing.B) {
	gomega.RegisterTestingT(b)
	bun := bundle()
	for _, n := range []int{40, 400, 3100} {
		for _, streams := range []int{0, 100, 10000} {
			b.Run(fmt.Sprintf("targets=%d/streams=%d", n, streams), func(b *testing.B) {
				r, _ := newRouter()
				q := newQuery(bun, newRunners(n)...)
				for range streams {
					r.Route(q)
				}
				b.ReportAllocs()
				for b.Loop() {
					p, _ := r.Route(q)
					r.Release(p)
				}
			})
		}
	}
}

func BenchmarkFlow(b *testing.B) {
	gomega.RegisterTestingT(b)
	bun := bundle()
	for _, n := range []int{40, 400, 3100} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			r, _ := newRouter()
			q := newQuery(bun, newRunners(n)...)
			for b.Loop() {
				r.MaxFlow(q, 20*time.Millisecond)
			}
		})
	}
}

func BenchmarkIndex(b *testing.B) {
	gomega.RegisterTestingT(b)
	bun := bundle()
	for _, n := range []int{40, 400, 3100} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			r, c := newRouter()
			q := newQuery(bun, newRunners(n)...)
			for b.Loop() {
				c.Advance(2 * time.Second)
				p, _ := r.Route(q)
				r.Release(p)
			}
		})
	}
}
