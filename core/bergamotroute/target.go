package bergamotroute

import (
	"math"
	"time"

	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamotfleet"
)

// trust is the age at which a load report has lost 63 % of its weight.
const trust = 2 * time.Second

// work is what the router knows about an instance beyond the view; it outlives views.
type work struct {
	own    int       // this entry's sequences in flight
	report time.Time // when the last report arrived
	before int       // this entry's sequences in flight at that time
}

// target is one usable runner of an index.
type target struct {
	name    string
	address string
	kind    string
	centre  string
	curve   bergamotcurve.Curve
	weight  float64 // from health, above 0
	others  float64 // expected sequences of other entries
	work    *work
}

// batch returns the expected number of sequences; it is never below the entry's own.
func (t *target) batch() float64 { return float64(t.work.own) + t.others }

// cost returns the time of one layer with one more sequence in microseconds. The share of the added time of the
// other sequences is counted by the weight of throughput. A target with a small weight looks as full as its
// weight is small.
func (t *target) cost(throughput float64) float64 {
	n := t.batch() / t.weight
	return t.curve.Step(n+1/t.weight) + throughput*t.curve.Slope()*n
}

// reported returns how many sequences of other entries the last report showed.
func (t *target) reported(l bergamotfleet.Load) float64 {
	if !l.At().Equal(t.work.report) {
		t.work.report, t.work.before = l.At(), t.work.own
	}
	return math.Max(float64(l.Running()-t.work.before), 0)
}

// fresh returns the weight of a report by its age.
func fresh(l bergamotfleet.Load, now time.Time) float64 {
	if l.At().IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(l.At())) / float64(trust))
}
