package bergamotplacement_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotplacement"
	"bergamotspur/core/bergamottest"
)

// bundle returns a bundle with one model for each number of layers. Each model has a pipeline with the given number of
// replicas; the first also has a pipeline with an adapter.
func bundle(version string, replicas int, layers ...int) *bergamotbundle.Bundle {
	var text strings.Builder
	text.WriteString(bergamottest.MinimalBundle)
	for n, l := range layers {
		fmt.Fprintf(&text, "[model m%d]\nversion = %s\nlayers = %d\n", n, version, l)
		fmt.Fprintf(&text, "[pipeline p%d]\nmodel = m%d\nreplicas = %d\n", n, n, replicas)
	}
	text.WriteString("[adapter a]\nmodel = m0\n[pipeline a]\nmodel = m0\nadapter = a\n")
	return bergamottest.Bundle(text.String())
}

func runner(name string, memory int, holdings ...bergamotfleet.Holding) bergamotfleet.Instance {
	return bergamotfleet.NewInstance(bergamotfleet.Spec{
		Name: name, Address: name, Role: bergamotfleet.RoleRunner, MaxLayers: memory, Holdings: holdings,
	})
}

// fleet simulates runners that load what is ordered; loads complete when finishLoading is called.
type fleet struct {
	runners map[string]bergamotfleet.Instance
	loading map[string][]bergamotfleet.Holding
}

func newFleet(runners ...bergamotfleet.Instance) *fleet {
	f := &fleet{runners: map[string]bergamotfleet.Instance{}, loading: map[string][]bergamotfleet.Holding{}}
	for _, i := range runners {
		f.runners[i.Name()] = i
	}
	return f
}

func (f *fleet) snapshot() *bergamotfleet.Fleet {
	var list []bergamotfleet.Instance
	for _, i := range f.runners {
		list = append(list, i)
	}
	return bergamotfleet.NewFleet(list)
}

func (f *fleet) setHoldings(name string, holdings []bergamotfleet.Holding) {
	s := f.runners[name].Spec()
	s.Holdings = holdings
	f.runners[name] = bergamotfleet.NewInstance(s)
}

// runPass issues the orders of one pass. A runner drops at once what was not ordered, and starts to load the rest.
func (f *fleet) runPass(b *bergamotbundle.Bundle, maxOrders int) (layers int) {
	busy := map[string]bool{}
	for name := range f.loading {
		busy[name] = true
	}
	v := f.snapshot()
	for _, o := range bergamotplacement.Orders(b, v, bergamotplacement.NewPlan(b, v), busy, maxOrders-len(busy)) {
		var kept []bergamotfleet.Holding
		for _, h := range f.runners[o.Runner()].Holdings() {
			for _, x := range o.Holdings() {
				if h.Model() == x.Model() && h.Version() == x.Version() && h.From() == x.From() && h.To() == x.To() &&
					strings.Join(h.Adapters(), ",") == strings.Join(x.Adapters(), ",") {
					kept = append(kept, h)
				}
			}
		}
		f.setHoldings(o.Runner(), kept)
		f.loading[o.Runner()] = o.Holdings()
		layers += o.LayersToLoad()
	}
	return layers
}

func (f *fleet) finishLoading() {
	for name, h := range f.loading {
		f.setHoldings(name, h)
	}
	f.loading = map[string][]bergamotfleet.Holding{}
}

// reconcile runs passes until no order is issued, and returns the number of layers loaded.
func (f *fleet) reconcile(b *bergamotbundle.Bundle, check func()) (layers int) {
	for range 1000 {
		n := f.runPass(b, 4)
		check()
		if n == 0 && len(f.loading) == 0 {
			return layers
		}
		layers += n
		f.finishLoading()
		check()
	}
	panic("passes still issue orders after 1000 passes")
}

func (f *fleet) servedPipelines(b *bergamotbundle.Bundle) (out []string) {
	for _, name := range b.Pipelines() {
		p, _ := b.Pipeline(name)
		if v, ok := bergamotplacement.ServedVersion(b, p, f.snapshot()); ok {
			out = append(out, name+"@"+v)
		}
	}
	return out
}

func noCheck() {}

var _ = ginkgo.Describe("placement", func() {
	ginkgo.It("fills every model from empty runners and then issues no more orders", func() {
		b := bundle("1", 2, 12, 8)
		f := newFleet()
		for n := range 12 {
			f.runners[fmt.Sprint("r", n)] = runner(fmt.Sprint("r", n), 4+n%3*2)
		}
		f.reconcile(b, noCheck)
		gomega.Expect(f.servedPipelines(b)).To(gomega.Equal([]string{"a@1", "p0@1", "p1@1"}))
		gomega.Expect(f.runPass(b, 100)).To(gomega.BeZero())
	})

	// Guards against a lost or new runner that makes other runners load layers again.
	ginkgo.It("replaces only what a leaving runner held", func() {
		b := bundle("1", 2, 12)
		f := newFleet(runner("a", 12), runner("b", 6), runner("c", 6), runner("d", 6))
		f.reconcile(b, noCheck)
		s := f.runners["b"].Spec()
		s.Leaving = true
		f.runners["b"] = bergamotfleet.NewInstance(s)
		gomega.Expect(f.reconcile(b, noCheck)).To(gomega.Equal(6))
		f.runners["e"] = runner("e", 6)
		gomega.Expect(f.reconcile(b, noCheck)).To(gomega.BeZero())
	})

	// Guards against one model that gets all runners while another gets none.
	ginkgo.It("gives each model one replica before any gets two", func() {
		b := bundle("1", 3, 8, 8)
		f := newFleet(runner("a", 8), runner("b", 8), runner("c", 8))
		f.reconcile(b, noCheck)
		gomega.Expect(f.servedPipelines(b)).To(gomega.HaveLen(3))
		gomega.Expect(bergamotplacement.NewPlan(b, f.snapshot()).UnderReplicated()).To(gomega.Equal([]string{"m0", "m1"}))
	})

	// The ranges overlap so that only some rollout orders keep the pipelines served.
	ginkgo.It("rolls out a version over overlapping ranges without a gap", func() {
		f := newFleet()
		for name, r := range map[string][2]int{"a": {0, 4}, "b": {6, 12}, "c": {0, 6}, "d": {4, 12}} {
			f.runners[name] = runner(name, 12, bergamotfleet.NewHolding("m0", "1", r[0], r[1], "a"))
			s := f.runners[name].Spec()
			s.MaxLayers = r[1] - r[0]
			f.runners[name] = bergamotfleet.NewInstance(s)
		}
		b := bundle("2", 2, 12)
		f.reconcile(b, func() { gomega.Expect(f.servedPipelines(b)).To(gomega.HaveLen(2)) })
		gomega.Expect(f.servedPipelines(b)).To(gomega.Equal([]string{"a@2", "p0@2"}))
	})

	ginkgo.It("loads a version beside the old one if there is no second replica", func() {
		f := newFleet(runner("a", 24, bergamotfleet.NewHolding("m0", "1", 0, 12, "a")))
		b := bundle("2", 1, 12)
		f.reconcile(b, func() { gomega.Expect(f.servedPipelines(b)).To(gomega.HaveLen(2)) })
		gomega.Expect(f.servedPipelines(b)).To(gomega.Equal([]string{"a@2", "p0@2"}))
		gomega.Expect(f.runners["a"].Holdings()).To(gomega.HaveLen(1))
	})

	// Guards against an order that drops the last replica to make space for a new version.
	ginkgo.It("keeps the old version when a change would leave a gap", func() {
		f := newFleet(runner("a", 12, bergamotfleet.NewHolding("m0", "1", 0, 12, "a")))
		b := bundle("2", 1, 12)
		gomega.Expect(f.runPass(b, 100)).To(gomega.BeZero())
		gomega.Expect(f.servedPipelines(b)).To(gomega.Equal([]string{"a@1", "p0@1"}))
	})

	// A late command of an earlier lease holder changes the holdings of a runner that ignores fencing tokens.
	ginkgo.It("restores holdings that a late command changed", func() {
		b := bundle("1", 2, 12)
		f := newFleet(runner("a", 12), runner("b", 12))
		f.reconcile(b, noCheck)
		f.setHoldings("a", []bergamotfleet.Holding{bergamotfleet.NewHolding("m0", "0", 3, 5)})
		f.reconcile(b, noCheck)
		for _, i := range f.runners {
			gomega.Expect(i.Holdings()).To(gomega.Equal([]bergamotfleet.Holding{bergamotfleet.NewHolding("m0", "1", 0, 12, "a")}))
		}
	})

	// Checks with random fleets and rolls that no order removes the last version that serves a pipeline.
	ginkgo.It("never leaves a served pipeline unserved", func() {
		rapid.Check(ginkgo.GinkgoTB(), func(t *rapid.T) {
			layers := []int{rapid.IntRange(1, 16).Draw(t, "l0"), rapid.IntRange(1, 16).Draw(t, "l1")}
			f := newFleet()
			for n := range rapid.IntRange(1, 14).Draw(t, "runners") {
				name := fmt.Sprint("r", n)
				f.runners[name] = runner(name, rapid.IntRange(1, 20).Draw(t, "memory"))
			}
			f.reconcile(bundle("1", rapid.IntRange(1, 3).Draw(t, "replicas"), layers...), noCheck)
			b := bundle("2", rapid.IntRange(1, 3).Draw(t, "later"), layers...)
			before := len(f.servedPipelines(b))
			f.reconcile(b, func() {
				if len(f.servedPipelines(b)) < before {
					t.Fatalf("%d of %d pipelines served", len(f.servedPipelines(b)), before)
				}
				before = len(f.servedPipelines(b))
			})
		})
	})
})

// BenchmarkPlan measures one pass over a fleet that matches its plan and one over a fleet of empty runners.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{40, 400, 3100} {
		layers, total := make([]int, 34), 0
		for n := range layers {
			// 34 models of the usual size do not fit on 40 runners.
			layers[n] = min(24+n, count/5)
			total += layers[n]
		}
		bun := bundle("1", max(1, count*9*8/10/total), layers...)
		empty := newFleet()
		for n := range count {
			name := fmt.Sprintf("r%04d", n)
			empty.runners[name] = runner(name, 6+n%7)
		}
		settled := newFleet()
		plan := bergamotplacement.NewPlan(bun, empty.snapshot())
		for name, i := range empty.runners {
			settled.runners[name] = i
			if h, ok := plan.Holding(name); ok {
				settled.setHoldings(name, []bergamotfleet.Holding{h})
			}
		}
		for name, f := range map[string]*bergamotfleet.Fleet{"empty": empty.snapshot(), "settled": settled.snapshot()} {
			b.Run(fmt.Sprintf("%s-%d", name, count), func(b *testing.B) {
				for b.Loop() {
					bergamotplacement.Orders(bun, f, bergamotplacement.NewPlan(bun, f), nil, 32)
				}
			})
		}
	}
}
