package bergamothealth

import (
	"math"
	"slices"
	"sync"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// Tracker follows the outcomes of attempts on instances.
type Tracker struct {
	Warm   time.Duration // time over which a new instance gets more and more work
	Least  float64       // weight of an instance that has just joined, above 0
	Errors float64       // recent failures from which an instance is ejected
	Base   time.Duration // time of the first ejection; each further one takes twice as long
	Most   time.Duration // longest ejection
	Floor  float64       // share of the targets of each layer that is never ejected

	mu      sync.Mutex
	records map[string]*record
}

// NewTracker returns a tracker with the defaults.
func NewTracker() *Tracker {
	return &Tracker{
		Warm: 10 * time.Second, Least: 0.1, Errors: 2.5, Base: 2 * time.Second, Most: time.Minute, Floor: 0.6,
		records: map[string]*record{},
	}
}

// window is the time in which a failure loses 63 % of its weight.
const window = 10 * time.Second

// record is the recent failures of one instance.
type record struct {
	failures float64
	at       time.Time
	until    time.Time // end of the ejection
	ejected  int       // ejections in a row
}

func (r *record) recent(now time.Time) float64 {
	return r.failures * math.Exp(-float64(now.Sub(r.at))/float64(window))
}

// Failed records a failed attempt.
func (t *Tracker) Failed(instance string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[instance]
	if !ok {
		r = &record{}
		t.records[instance] = r
	}
	r.failures, r.at = r.recent(now)+1, now
	if r.failures >= t.Errors && !now.Before(r.until) {
		r.until = now.Add(min(t.Base<<min(r.ejected, 16), t.Most))
		r.ejected++
		r.failures = 0
	}
}

// Succeeded records a finished attempt; it clears the count of ejections but not those in force.
func (t *Tracker) Succeeded(instance string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[instance]; ok && !now.Before(r.until) {
		r.failures, r.at, r.ejected = r.recent(now)/2, now, 0
	}
}

// Weights returns for each instance how much work it may get relative to a warm one, 0 for none. The ejections with
// the least recent failures are ignored when a layer would keep less than the floor.
func (t *Tracker) Weights(now time.Time, instances []bergamotfleet.Instance) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	weights := make([]float64, len(instances))
	var out []int
	for n, i := range instances {
		weights[n] = t.warmth(now.Sub(i.Joined()))
		if r, ok := t.records[i.Name()]; ok && now.Before(r.until) && i.Usable() {
			out = append(out, n)
		}
	}
	if len(out) > 0 {
		t.eject(instances, out, weights)
	}
	t.forget(now)
	return weights
}

// warmth grows in proportion to the age of an instance.
func (t *Tracker) warmth(age time.Duration) float64 {
	if age >= t.Warm {
		return 1
	}
	return max(t.Least, float64(age)/float64(t.Warm))
}

func (t *Tracker) eject(instances []bergamotfleet.Instance, out []int, weights []float64) {
	slices.SortStableFunc(out, func(a, b int) int {
		return t.records[instances[b].Name()].ejected - t.records[instances[a].Name()].ejected
	})
	all, left := map[layer]int{}, map[layer]int{}
	for _, i := range instances {
		if i.Usable() {
			each(i, func(l layer) { all[l]++; left[l]++ })
		}
	}
	for _, n := range out {
		allowed := true
		each(instances[n], func(l layer) {
			allowed = allowed && left[l]-1 >= max(1, int(math.Ceil(t.Floor*float64(all[l]))))
		})
		if allowed {
			weights[n] = 0
			each(instances[n], func(l layer) { left[l]-- })
		}
	}
}

// forget drops records that no longer matter, so that memory is bounded by the recent failures.
func (t *Tracker) forget(now time.Time) {
	for name, r := range t.records {
		if now.Sub(r.at) > 10*window && now.Sub(r.until) > t.Most {
			delete(t.records, name)
		}
	}
}

// layer is one layer of a model version.
type layer struct {
	model, version string
	index          int
}

func each(i bergamotfleet.Instance, f func(l layer)) {
	for _, h := range i.Holdings() {
		for n := h.From(); n < h.To(); n++ {
			f(layer{h.Model(), h.Version(), n})
		}
	}
}
