package bergamothealth

import (
	"math"
	"slices"
	"sync"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// Tracker tracks the failures of instances and weights the instances by them and by their age.
type Tracker struct {
	SlowStartWindow   time.Duration // time in which the weight of a new instance grows to 1
	MinWeight         float64       // weight of an instance that has just joined, above 0
	EjectionThreshold float64       // decayed count of failures from which an instance is ejected
	BaseEjectionTime  time.Duration // duration of the first ejection; each further one lasts twice as long
	MaxEjectionTime   time.Duration // maximum duration of an ejection
	MinAvailableShare float64       // share of the usable instances of each layer that is never ejected

	mu      sync.Mutex
	records map[string]*record
}

// NewTracker returns a tracker with the default settings.
func NewTracker() *Tracker {
	return &Tracker{
		SlowStartWindow: 10 * time.Second, MinWeight: 0.1,
		EjectionThreshold: 2.5, BaseEjectionTime: 2 * time.Second, MaxEjectionTime: time.Minute, MinAvailableShare: 0.6,
		records: map[string]*record{},
	}
}

// failureDecay is the time constant of the exponential decay of failures: the time in which one loses 63 % of its weight.
const failureDecay = 10 * time.Second

// record holds the recent failures and the ejections of one instance.
type record struct {
	failures     float64
	updated      time.Time
	ejectedUntil time.Time
	ejections    int // ejections since the last success
}

// recentFailures returns the decayed count of failures.
func (r *record) recentFailures(now time.Time) float64 {
	return r.failures * math.Exp(-float64(now.Sub(r.updated))/float64(failureDecay))
}

// Failed records a failed attempt on an instance and ejects it when it has failed too often.
func (t *Tracker) Failed(instance string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[instance]
	if !ok {
		r = &record{}
		t.records[instance] = r
	}
	r.failures, r.updated = r.recentFailures(now)+1, now
	if r.failures >= t.EjectionThreshold && !now.Before(r.ejectedUntil) {
		r.ejectedUntil = now.Add(min(t.BaseEjectionTime<<min(r.ejections, 16), t.MaxEjectionTime))
		r.ejections++
		r.failures = 0
	}
}

// Succeeded records a successful attempt on an instance: it halves the failures and resets the count of ejections.
// It does not end an ejection in force.
func (t *Tracker) Succeeded(instance string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[instance]; ok && !now.Before(r.ejectedUntil) {
		r.failures, r.updated, r.ejections = r.recentFailures(now)/2, now, 0
	}
}

// Weights returns the share of work of each instance relative to one that is past its slow start, 0 if it is ejected.
// An ejection is ignored if it would leave a layer with less than MinAvailableShare of its usable instances; the
// instances with the most ejections in a row are ejected first.
func (t *Tracker) Weights(now time.Time, instances []bergamotfleet.Instance) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	weights := make([]float64, len(instances))
	var ejected []int
	for n, i := range instances {
		weights[n] = t.slowStartWeight(now.Sub(i.Joined()))
		if r, ok := t.records[i.Name()]; ok && now.Before(r.ejectedUntil) && i.Usable() {
			ejected = append(ejected, n)
		}
	}
	if len(ejected) > 0 {
		t.applyEjections(instances, ejected, weights)
	}
	t.removeStaleRecords(now)
	return weights
}

// slowStartWeight returns the weight of an instance of this age, which grows linearly until SlowStartWindow.
func (t *Tracker) slowStartWeight(age time.Duration) float64 {
	if age >= t.SlowStartWindow {
		return 1
	}
	return max(t.MinWeight, float64(age)/float64(t.SlowStartWindow))
}

// applyEjections sets the weights of the ejected instances to 0, as far as MinAvailableShare allows.
func (t *Tracker) applyEjections(instances []bergamotfleet.Instance, ejected []int, weights []float64) {
	slices.SortStableFunc(ejected, func(a, b int) int {
		return t.records[instances[b].Name()].ejections - t.records[instances[a].Name()].ejections
	})
	total, remaining := map[layer]int{}, map[layer]int{}
	for _, i := range instances {
		if i.Usable() {
			forEachLayer(i, func(l layer) { total[l]++; remaining[l]++ })
		}
	}
	for _, n := range ejected {
		allowed := true
		forEachLayer(instances[n], func(l layer) {
			allowed = allowed && remaining[l]-1 >= max(1, int(math.Ceil(t.MinAvailableShare*float64(total[l]))))
		})
		if allowed {
			weights[n] = 0
			forEachLayer(instances[n], func(l layer) { remaining[l]-- })
		}
	}
}

// removeStaleRecords removes records without recent failures or ejections to limit the memory.
func (t *Tracker) removeStaleRecords(now time.Time) {
	for name, r := range t.records {
		if now.Sub(r.updated) > 10*failureDecay && now.Sub(r.ejectedUntil) > t.MaxEjectionTime {
			delete(t.records, name)
		}
	}
}

// layer is one layer of a model version.
type layer struct {
	model, version string
	index          int
}

func forEachLayer(i bergamotfleet.Instance, f func(l layer)) {
	for _, h := range i.Holdings() {
		for n := h.From(); n < h.To(); n++ {
			f(layer{h.Model(), h.Version(), n})
		}
	}
}
