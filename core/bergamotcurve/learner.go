package bergamotcurve

import (
	"math"
	"sync"
	"time"
)

// Constants of the filter. Most are relative to the values of the bundle, so that they fit all kinds. Times of links are in
// microseconds.
const (
	initialVariance  = 0.25  // squared relative error of the values in the bundle
	instanceDrift    = 1e-4  // squared relative change of an instance between two observations
	kindDrift        = 1e-5  // squared relative change of a kind between two observations
	observationNoise = 0.5   // relative error of one observed token time, which includes waits for a running batch
	localLinkTime    = 50.0  // initial time of a transfer inside a data centre
	remoteLinkTime   = 300.0 // initial time of a transfer between data centres
	linkVariance     = 4e4   // squared error of the initial time of a link; a larger one attributes errors of stages to links
	linkDrift        = 400   // squared change of the time of a link between two observations
	changeRatio      = 3.0   // ratio of observed to expected time above which a change is assumed rather than noise
	idleRecovery     = 0.1   // share of its distance to 1 by which the factor of an unobserved instance moves at each Keep
)

// Learner estimates the curves of targets and the transfer times of links from the token times that an entry observes.
//
// The time of a token is the sum over the stages and links of its path, so one path alone does not show which stage is
// slow. An extended Kalman filter with a diagonal covariance distributes each error over the stages and links by their
// uncertainty; paths that share some stages then single out the slow one. Each instance has a single factor on the curve
// of its kind. With a learned slope for each instance, errors in the batch drove the slope of busy instances to zero, so
// that they attracted ever more requests.
type Learner struct {
	mu        sync.Mutex
	kinds     map[string]*kind
	instances map[string]*instanceEstimate
	links     map[[2]string]*parameter
}

// NewLearner returns a Learner without observations.
func NewLearner() *Learner {
	return &Learner{kinds: map[string]*kind{}, instances: map[string]*instanceEstimate{}, links: map[[2]string]*parameter{}}
}

// SetInitialCurve sets the curve of a kind before any observation. A curve that differs from the previous one discards what
// was learned of the kind.
func (l *Learner) SetInitialCurve(kindName string, c Curve) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.kinds[kindName]; ok && k.initial == c {
		return
	}
	l.kinds[kindName] = newKind(c)
	for instance, e := range l.instances {
		if e.kindName == kindName {
			delete(l.instances, instance)
		}
	}
}

// Observe updates the estimates with the mean time of a token on a path.
func (l *Learner) Observe(stages []Stage, tokenTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	observed := float64(tokenTime) / float64(time.Microsecond)
	parameters, gradient := make([]*parameter, 0, 4*len(stages)), make([]float64, 0, 4*len(stages))
	expected := 0.0
	for n, s := range stages {
		e, k := l.instanceEstimate(s.instance, s.kind), l.kind(s.kind)
		layers := float64(s.layers)
		base, slope := layers*k.initial.base, layers*k.initial.slope*max(s.batch-1, 0)
		link := l.link(stages[(n+len(stages)-1)%len(stages)].centre, s.centre)
		f := e.factor.mean
		expected += f*(base*k.base.mean+slope*k.slope.mean) + link.mean
		parameters = append(parameters, &e.factor, &k.base, &k.slope, link)
		gradient = append(gradient, base*k.base.mean+slope*k.slope.mean, f*base, f*slope, 1)
		e.seen = true
	}
	if observed > changeRatio*expected {
		// The variation of batches does not explain this much, so a link between data centres has probably degraded.
		for n, s := range stages {
			if from := stages[(n+len(stages)-1)%len(stages)].centre; from != s.centre {
				l.link(from, s.centre).variance += (observed - expected) * (observed - expected) / 4
			}
		}
	}
	innovationVariance := (observationNoise * observed) * (observationNoise * observed)
	for n, v := range parameters {
		v.variance = math.Min(v.variance+v.drift, v.maxVariance)
		innovationVariance += v.variance * gradient[n] * gradient[n]
	}
	for n, v := range parameters {
		gain := v.variance * gradient[n] / innovationVariance
		v.mean = math.Min(math.Max(v.mean+gain*(observed-expected), v.minMean), v.maxMean)
		v.variance *= 1 - gain*gradient[n]
	}
}

// Curve returns the learned curve of an instance, or that of its kind if the instance was not observed yet.
func (l *Learner) Curve(instance, kindName string) Curve {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kind(kindName)
	f := 1.0
	if e, ok := l.instances[instance]; ok && e.kindName == kindName {
		f = e.factor.mean
	}
	return NewCurve(f*k.initial.base*k.base.mean, f*k.initial.slope*k.slope.mean)
}

// LinkTime returns the time of a transfer between two data centres in microseconds.
func (l *Learner) LinkTime(from, to string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v, ok := l.links[[2]string{from, to}]; ok {
		return v.mean
	}
	return initialLinkTime(from, to)
}

// Keep forgets the instances for which known returns false, so that memory is bounded by the size of the fleet. The factors
// of instances that were not observed since the last call return towards 1: an instance that seems slow gets no requests
// that could show that it has become fast again.
func (l *Learner) Keep(known func(instance string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, e := range l.instances {
		if !known(name) {
			delete(l.instances, name)
			continue
		}
		if !e.seen {
			e.factor.mean += idleRecovery * (1 - e.factor.mean)
		}
		e.seen = false
	}
}

// Bottleneck returns the index of the stage that takes the largest share of the time of a token.
func (l *Learner) Bottleneck(stages []Stage) (index int) {
	longest := 0.0
	for n, s := range stages {
		if t := l.Curve(s.instance, s.kind).LayerTime(s.batch) * float64(s.layers); t > longest {
			index, longest = n, t
		}
	}
	return index
}

// kind returns the estimate of a kind, which it creates with a default curve if the bundle does not declare the kind.
func (l *Learner) kind(kindName string) *kind {
	k, ok := l.kinds[kindName]
	if !ok {
		k = newKind(NewCurve(1000, 100))
		l.kinds[kindName] = k
	}
	return k
}

// instanceEstimate returns the estimate of an instance, which starts anew if its kind changed.
func (l *Learner) instanceEstimate(instance, kindName string) *instanceEstimate {
	e, ok := l.instances[instance]
	if !ok || e.kindName != kindName {
		e = &instanceEstimate{kindName: kindName, factor: newFactor(instanceDrift, 0.1, 10)}
		l.instances[instance] = e
	}
	return e
}

func (l *Learner) link(from, to string) *parameter {
	key := [2]string{from, to}
	v, ok := l.links[key]
	if !ok {
		v = &parameter{mean: initialLinkTime(from, to), variance: linkVariance, drift: linkDrift, maxVariance: math.Inf(1), maxMean: 10e6}
		l.links[key] = v
	}
	return v
}

func initialLinkTime(from, to string) float64 {
	if from == to {
		return localLinkTime
	}
	return remoteLinkTime
}
