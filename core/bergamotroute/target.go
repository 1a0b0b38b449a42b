package bergamotroute

import (
	"math"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamotfleet"
)

// trust is the age at which a load report has lost 63 % of its weight. Short answers take some hundreds of
// milliseconds, after which a report describes work that has ended.
const trust = 300 * time.Millisecond

// work is what the router knows about an instance beyond the view; it outlives views.
type work struct {
	own    float64   // this entry's sequences in flight, each by the share of its time that it spends here
	count  int       // this entry's sequences in flight
	share  float64   // mean of these shares
	report time.Time // when the last report arrived
	before int       // count at that time
}

// target is one usable runner of an index.
type target struct {
	name    string
	address string
	kind    string
	centre  string
	place   int // index of the data centre
	curve   bergamotcurve.Curve
	weight  float64 // from health, above 0
	others  float64 // sequences of other entries at the target by the last report
	fresh   float64 // weight of the report when the index was built
	work    *work
}

// startShare returns the share of a sequence's time on an instance that was never used: that of its layers.
func startShare(i bergamotfleet.Instance, b *bergamotbundle.Bundle) float64 {
	for _, h := range i.Holdings() {
		if b == nil {
			break
		}
		if m, ok := b.Model(h.Model()); ok && h.To() > h.From() {
			return math.Min(float64(h.To()-h.From())/float64(m.Layers()), 1)
		}
	}
	return 1
}

// add counts one sequence, of which a share of the time is spent on the target. A count without the share takes fast
// targets for full, since most of their sequences wait at the slow stages of their paths.
func (w *work) add(share float64) {
	w.own += share
	w.count++
	w.share += shareGain * (share - w.share)
}

const shareGain = 0.05

// remove takes back what add counted.
func (w *work) remove(share float64) {
	if w.count--; w.count <= 0 {
		w.own, w.count = 0, 0
		return
	}
	w.own = math.Max(w.own-share, 0)
}

// batch returns the expected number of sequences that are at the target; it is never below the entry's own. An old
// report is discounted towards what the other entries have if they choose like this one, which keeps entries that see
// the same report from moving to the same targets and back.
func (t *target) batch(x *index) float64 {
	w := t.fresh * x.decay
	return t.work.own + w*t.others + (1-w)*x.peers*t.work.own
}

// cost returns the time of one layer with one more sequence in microseconds. The share of the added time of the
// other sequences is counted by the weight of throughput. A target with a small weight looks as full as its
// weight is small.
func (t *target) cost(x *index) float64 {
	n := t.batch(x) / t.weight
	return t.curve.Step(n+1/t.weight) + x.throughput*t.curve.Slope()*n
}

// reported returns how many sequences of other entries are at the target by the last report.
func (t *target) reported(l bergamotfleet.Load) float64 {
	if !l.ReceivedAt().Equal(t.work.report) {
		t.work.report, t.work.before = l.ReceivedAt(), t.work.count
	}
	return math.Max(float64(l.Running()-t.work.before), 0) * t.work.share
}

// fresh returns the weight of a report by its age.
func fresh(l bergamotfleet.Load, now time.Time) float64 {
	if l.ReceivedAt().IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(l.ReceivedAt())) / float64(trust))
}
