package bergamotroute

import (
	"slices"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamotfleet"
)

// index holds what path selection precomputes for one fleet and bundle.
type index struct {
	fleet            *bergamotfleet.Fleet
	bundle           *bergamotbundle.Bundle
	built            time.Time
	throughputWeight float64
	peerRatio        float64 // sequences of other entries for each sequence of this one, from load reports
	decay            float64 // factor by which the weights of reports have shrunk since the index was built
	centres          []string
	links            [][]float64 // transfer time by indices of two data centres in microseconds
	homeCentre       int         // index of the data centre of this entry in centres
	targets          map[string]*target
	byModel          map[modelKey]*candidates
}

type modelKey struct {
	model, version, adapter string
}

func newIndex(r *Router, f *bergamotfleet.Fleet, b *bergamotbundle.Bundle, now time.Time) *index {
	runners := f.ByRole(bergamotfleet.RoleRunner)
	x := &index{
		fleet: f, bundle: b, built: now, throughputWeight: 0.25,
		targets: make(map[string]*target, len(runners)), byModel: map[modelKey]*candidates{},
	}
	if b != nil {
		p := b.Policy()
		if sum := p.Throughput() + p.Recovery() + p.Peak() + p.Blocking(); sum > 0 {
			x.throughputWeight = p.Throughput() / sum
		}
		for _, name := range b.Kinds() {
			k, _ := b.Kind(name)
			r.Curves.SetInitialCurve(name, bergamotcurve.NewCurve(k.Step(), k.Slope()))
		}
	}
	x.homeCentre = x.centre(r.Centre)
	x.addTargets(r, runners, now)
	x.links = make([][]float64, len(x.centres))
	for n, from := range x.centres {
		for _, to := range x.centres {
			x.links[n] = append(x.links[n], r.Curves.LinkTime(from, to))
		}
	}
	return x
}

// addTargets adds the usable runners with a positive health weight and updates the ratio of other entries' sequences.
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
		l, ok := r.ownLoad[i.Name()]
		if !ok {
			l = &ownLoad{share: initialShare(i, x.bundle)}
			r.ownLoad[i.Name()] = l
		}
		t := &target{
			name: i.Name(), address: i.Address(), kind: i.Kind(), centre: i.DataCentre(),
			curve: r.Curves.Curve(i.Name(), i.Kind()), weight: weight, ownLoad: l,
		}
		t.centreIndex = x.centre(t.centre)
		t.others = t.updateReport(i.Load())
		t.reportWeight = reportWeight(i.Load(), now)
		if !i.Load().ReceivedAt().IsZero() {
			own += float64(l.inFlightAtReport) * l.share
			others += t.others
		}
		x.targets[i.Name()] = t
	}
	x.peerRatio = r.peerRatio
	if own > 0 {
		x.peerRatio = others / own
	}
	r.peerRatio = x.peerRatio
}

// centre returns the index of a data centre in x.centres, which it adds if it is missing.
func (x *index) centre(name string) int {
	if n := slices.Index(x.centres, name); n >= 0 {
		return n
	}
	x.centres = append(x.centres, name)
	return len(x.centres) - 1
}

// candidates returns the candidates for a pipeline, which are built on first use.
func (x *index) candidates(p bergamotbundle.Pipeline) *candidates {
	m := p.Model()
	key := modelKey{m.Name(), m.Version(), p.Adapter()}
	c, ok := x.byModel[key]
	if !ok {
		c = newCandidates(x, key, m.Layers())
		x.byModel[key] = c
	}
	return c
}
