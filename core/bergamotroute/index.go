package bergamotroute

import (
	"slices"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamotfleet"
)

// index is what path selection precomputes for one view.
type index struct {
	fleet      *bergamotfleet.Fleet
	bundle     *bergamotbundle.Bundle
	built      time.Time
	throughput float64
	peers      float64 // sequences of other entries for each of this one, by the reports
	decay      float64 // weight that reports have kept since the index was built
	centres    []string
	links      [][]float64 // microseconds between two data centres
	home       int
	targets    map[string]*target
	charts     map[chartKey]*chart
}

type chartKey struct {
	model, version, adapter string
}

func newIndex(r *Router, f *bergamotfleet.Fleet, b *bergamotbundle.Bundle, now time.Time) *index {
	runners := f.ByRole(bergamotfleet.RoleRunner)
	x := &index{
		fleet: f, bundle: b, built: now, throughput: 0.25,
		targets: make(map[string]*target, len(runners)), charts: map[chartKey]*chart{},
	}
	if b != nil {
		p := b.Policy()
		if sum := p.Throughput() + p.Recovery() + p.Peak() + p.Blocking(); sum > 0 {
			x.throughput = p.Throughput() / sum
		}
		for _, name := range b.Kinds() {
			k, _ := b.Kind(name)
			r.Curves.Start(name, bergamotcurve.NewCurve(k.Step(), k.Slope()))
		}
	}
	x.home = x.centre(r.Centre)
	x.addTargets(r, runners, now)
	x.links = make([][]float64, len(x.centres))
	for n, from := range x.centres {
		for _, to := range x.centres {
			x.links[n] = append(x.links[n], r.Curves.Link(from, to))
		}
	}
	return x
}

func (x *index) addTargets(r *Router, runners []bergamotfleet.Instance, now time.Time) {
	var weights []float64
	if r.Health != nil {
		weights = r.Health.Weights(now, runners)
	}
	own, others := 0.0, 0.0
	for n, i := range runners {
		weight := 1.0
		if weights != nil {
			weight = weights[n]
		}
		if !i.Usable() || weight <= 0 {
			continue
		}
		w, ok := r.work[i.Name()]
		if !ok {
			w = &work{share: startShare(i, x.bundle)}
			r.work[i.Name()] = w
		}
		t := &target{
			name: i.Name(), address: i.Address(), kind: i.Kind(), centre: i.DataCentre(),
			curve: r.Curves.Curve(i.Name(), i.Kind()), weight: weight, work: w,
		}
		t.place = x.centre(t.centre)
		t.others = t.reported(i.Load())
		t.fresh = fresh(i.Load(), now)
		if !i.Load().ReceivedAt().IsZero() {
			own += float64(w.before) * w.share
			others += t.others
		}
		x.targets[i.Name()] = t
	}
	x.peers = r.peers
	if own > 0 {
		x.peers = others / own
	}
	r.peers = x.peers
}

func (x *index) centre(name string) int {
	if n := slices.Index(x.centres, name); n >= 0 {
		return n
	}
	x.centres = append(x.centres, name)
	return len(x.centres) - 1
}

// chart returns the groups of targets for a pipeline; it is built on first use.
func (x *index) chart(p bergamotbundle.Pipeline) *chart {
	m := p.Model()
	key := chartKey{m.Name(), m.Version(), p.Adapter()}
	c, ok := x.charts[key]
	if !ok {
		c = newChart(x, key, m.Layers())
		x.charts[key] = c
	}
	return c
}
