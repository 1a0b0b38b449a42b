package bergamotcurve

import (
	"math"
	"sync"
	"time"
)

// Parameters of the filter. Values are relative to the bundle's, so that one set fits all kinds.
const (
	startVar  = 0.25      // squared relative error of the bundle's values
	driftVar  = 2e-4      // squared relative change between two observations
	noise     = 0.1       // relative error of one observed token time
	least     = 0.05      // bounds of a learned value relative to the bundle's
	most      = 50.0      //
	kindShare = 0.02      // weight of one instance's value in the value of its kind
	localLink = 50.0      // start time of a transfer inside a data centre in microseconds
	crossLink = 300.0     // start time of a transfer between data centres in microseconds
	linkVar   = 200 * 200 // squared error of the start time of a link
	linkDrift = 20 * 20   // squared change of a link between two observations
)

// Learner estimates the curves of targets and the times of links from the token times that an entry observes.
//
// The time of a token is the sum over the stages and links of its path, so that one path alone does not say which
// stage is slow. A Kalman filter with a diagonal covariance splits each error by the uncertainty of every part;
// paths that share some stages then single out the slow one.
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
	l.kinds[name] = &kind{start: c, base: 1, slope: 1}
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
	values, factors := make([]*value, 0, 3*len(parts)), make([]float64, 0, 3*len(parts))
	for n, p := range parts {
		e := l.estimate(p.instance, p.kind)
		start := l.kind(p.kind).start
		layers := float64(p.layers)
		previous := parts[(n+len(parts)-1)%len(parts)].centre
		values = append(values, &e.base, &e.slope, l.link(previous, p.centre))
		factors = append(factors, layers*start.base, layers*start.slope*max(p.batch-1, 0), 1)
	}
	expected, spread := 0.0, (noise*y)*(noise*y)
	for n, v := range values {
		v.variance = math.Min(v.variance+v.drift, v.limit)
		expected += v.mean * factors[n]
		spread += v.variance * factors[n] * factors[n]
	}
	for n, v := range values {
		gain := v.variance * factors[n] / spread
		v.mean = math.Min(math.Max(v.mean+gain*(y-expected), v.least), v.most)
		v.variance *= 1 - gain*factors[n]
	}
	for _, p := range parts {
		k, e := l.kind(p.kind), l.estimate(p.instance, p.kind)
		k.base += kindShare * (e.base.mean - k.base)
		k.slope += kindShare * (e.slope.mean - k.slope)
	}
}

// Curve returns the curve of an instance, or that of its kind when the instance was not observed yet.
func (l *Learner) Curve(instance, name string) Curve {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kind(name)
	if e, ok := l.instances[instance]; ok && e.name == name {
		return NewCurve(k.start.base*e.base.mean, k.start.slope*e.slope.mean)
	}
	return NewCurve(k.start.base*k.base, k.start.slope*k.slope)
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

// Keep forgets the instances for which known returns false, which bounds the memory by the size of the fleet.
func (l *Learner) Keep(known func(instance string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.instances {
		if !known(name) {
			delete(l.instances, name)
		}
	}
}

// Binding returns the index of the part that takes the largest share of a token's time.
func (l *Learner) Binding(parts []Part) (index int) {
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
		k = &kind{start: NewCurve(1000, 100), base: 1, slope: 1}
		l.kinds[name] = k
	}
	return k
}

func (l *Learner) estimate(instance, name string) *estimate {
	e, ok := l.instances[instance]
	if !ok || e.name != name {
		k := l.kind(name)
		e = &estimate{name: name, base: relative(k.base), slope: relative(k.slope)}
		l.instances[instance] = e
	}
	return e
}

func (l *Learner) link(from, to string) *value {
	key := [2]string{from, to}
	v, ok := l.links[key]
	if !ok {
		v = &value{mean: linkStart(from, to), variance: linkVar, limit: linkVar, drift: linkDrift, most: 10e6}
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
