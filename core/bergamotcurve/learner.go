package bergamotcurve

import (
	"math"
	"sync"
	"time"
)

// Parameters of the filter. Values are relative to the bundle's, so that one set fits all kinds.
const (
	startVar  = 0.25  // squared relative error of the bundle's values
	driftVar  = 1e-4  // squared relative change of an instance between two observations
	kindDrift = 1e-5  // squared relative change of a kind between two observations
	noise     = 0.5   // relative error of one observed token time, in which waits for a running batch count
	localLink = 50.0  // start time of a transfer inside a data centre in microseconds
	crossLink = 300.0 // start time of a transfer between data centres in microseconds
	linkVar   = 4e4   // squared error of the start time of a link; more lets links take the errors of stages
	linkDrift = 400   // squared change of a link between two observations
	jump      = 3.0   // an observation this much above the expected one shows a change rather than noise
	fade      = 0.1   // share by which the factor of an instance that is not observed returns to 1 at each Keep
)

// Learner estimates the curves of targets and the times of links from the token times that an entry observes.
//
// The time of a token is the sum over the stages and links of its path, so that one path alone does not say which
// stage is slow. An extended Kalman filter with a diagonal covariance splits each error by the uncertainty of every
// part; paths that share some stages then single out the slow one. An instance has one factor on the curve of its kind:
// with a slope of its own, errors in the batch made the slope of busy instances vanish, so that work piled up on them.
type Learner struct {
	mu        sync.Mutex
	kinds     map[string]*kind
	instances map[string]*estimate
	links     map[[2]string]*value
}

// NewLearner returns a learner without knowledge.
func NewLearner() *Learner {
	return &Learner{kinds: map[string]*kind{}, instances: map[string]*estimate{}, links: map[[2]string]*value{}}
}

// Start sets the curve from which a kind starts; a changed start value discards what was learned of the kind.
func (l *Learner) Start(name string, c Curve) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.kinds[name]; ok && k.start == c {
		return
	}
	l.kinds[name] = newKind(c)
	for instance, e := range l.instances {
		if e.name == name {
			delete(l.instances, instance)
		}
	}
}

// Observe learns from the mean time of a token on a path.
func (l *Learner) Observe(parts []Part, token time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	y := float64(token) / float64(time.Microsecond)
	values, factors := make([]*value, 0, 4*len(parts)), make([]float64, 0, 4*len(parts))
	expected := 0.0
	for n, p := range parts {
		e, k := l.estimate(p.instance, p.kind), l.kind(p.kind)
		layers := float64(p.layers)
		base, slope := layers*k.start.base, layers*k.start.slope*max(p.batch-1, 0)
		link := l.link(parts[(n+len(parts)-1)%len(parts)].centre, p.centre)
		f := e.factor.mean
		expected += f*(base*k.base.mean+slope*k.slope.mean) + link.mean
		values = append(values, &e.factor, &k.base, &k.slope, link)
		factors = append(factors, base*k.base.mean+slope*k.slope.mean, f*base, f*slope, 1)
		e.seen = true
	}
	if y > jump*expected {
		// Batches vary by less than this, so that a link between data centres has probably degraded.
		for n, p := range parts {
			if from := parts[(n+len(parts)-1)%len(parts)].centre; from != p.centre {
				l.link(from, p.centre).variance += (y - expected) * (y - expected) / 4
			}
		}
	}
	spread := (noise * y) * (noise * y)
	for n, v := range values {
		v.variance = math.Min(v.variance+v.drift, v.limit)
		spread += v.variance * factors[n] * factors[n]
	}
	for n, v := range values {
		gain := v.variance * factors[n] / spread
		v.mean = math.Min(math.Max(v.mean+gain*(y-expected), v.least), v.most)
		v.variance *= 1 - gain*factors[n]
	}
}

// Curve returns the curve of an instance, or that of its kind when the instance was not observed yet.
func (l *Learner) Curve(instance, name string) Curve {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kind(name)
	f := 1.0
	if e, ok := l.instances[instance]; ok && e.name == name {
		f = e.factor.mean
	}
	return NewCurve(f*k.start.base*k.base.mean, f*k.start.slope*k.slope.mean)
}

// Link returns the time of a transfer between two data centres in microseconds.
func (l *Learner) Link(from, to string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v, ok := l.links[[2]string{from, to}]; ok {
		return v.mean
	}
	return linkStart(from, to)
}

// Keep forgets the instances for which known returns false, which bounds the memory by the size of the fleet. The
// factors of those that were not observed since the last call return to that of their kind, since an instance that
// seems slow gets no work that could show it to be fast again.
func (l *Learner) Keep(known func(instance string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, e := range l.instances {
		if !known(name) {
			delete(l.instances, name)
			continue
		}
		if !e.seen {
			e.factor.mean += fade * (1 - e.factor.mean)
		}
		e.seen = false
	}
}

// Bottleneck returns the index of the part that takes the largest share of a token's time.
func (l *Learner) Bottleneck(parts []Part) (index int) {
	longest := 0.0
	for n, p := range parts {
		if t := l.Curve(p.instance, p.kind).Step(p.batch) * float64(p.layers); t > longest {
			index, longest = n, t
		}
	}
	return index
}

func (l *Learner) kind(name string) *kind {
	k, ok := l.kinds[name]
	if !ok {
		k = newKind(NewCurve(1000, 100))
		l.kinds[name] = k
	}
	return k
}

func (l *Learner) estimate(instance, name string) *estimate {
	e, ok := l.instances[instance]
	if !ok || e.name != name {
		e = &estimate{name: name, factor: relative(driftVar, 0.1, 10)}
		l.instances[instance] = e
	}
	return e
}

func (l *Learner) link(from, to string) *value {
	key := [2]string{from, to}
	v, ok := l.links[key]
	if !ok {
		v = &value{mean: linkStart(from, to), variance: linkVar, drift: linkDrift, limit: math.Inf(1), most: 10e6}
		l.links[key] = v
	}
	return v
}

func linkStart(from, to string) float64 {
	if from == to {
		return localLink
	}
	return crossLink
}
