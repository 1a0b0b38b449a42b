package bergamotroute

import (
	"math"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamotfleet"
)

// reportTimeConstant is the age at which a load report has lost 63 % of its weight. Short answers take some hundreds of
// milliseconds, so older reports describe sequences that have ended.
const reportTimeConstant = 300 * time.Millisecond

// ownLoad is the load that this entry has put on an instance. It is kept when the index is rebuilt.
type ownLoad struct {
	weightedInFlight float64   // sequences in flight, each weighted with the share of its time that it spends on the instance
	inFlight         int       // sequences in flight
	share            float64   // moving average of these shares
	reportedAt       time.Time // time of the last load report
	inFlightAtReport int       // inFlight at that time
}

// target is one usable runner of an index.
type target struct {
	name         string
	address      string
	kind         string
	centre       string
	centreIndex  int // index of the data centre in index.centres
	curve        bergamotcurve.Curve
	weight       float64 // from health, above 0
	others       float64 // sequences of other entries at the target, from the last load report
	reportWeight float64 // weight of that report when the index was built
	ownLoad      *ownLoad
}

// initialShare returns the share to assume for an instance that was never used: the layers that it holds, divided by the
// layers of the model.
func initialShare(i bergamotfleet.Instance, b *bergamotbundle.Bundle) float64 {
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

// add counts one sequence that spends a share of its time on the target. Without the shares, fast targets would look
// full, since most of their sequences wait at the slow stages of their paths.
func (l *ownLoad) add(share float64) {
	l.weightedInFlight += share
	l.inFlight++
	l.share += shareSmoothing * (share - l.share)
}

// shareSmoothing is the weight of a new value in the moving average of shares.
const shareSmoothing = 0.05

// remove stops counting a sequence that add counted.
func (l *ownLoad) remove(share float64) {
	if l.inFlight--; l.inFlight <= 0 {
		l.weightedInFlight, l.inFlight = 0, 0
		return
	}
	l.weightedInFlight = math.Max(l.weightedInFlight-share, 0)
}

// batch returns the expected number of sequences at the target, which is at least the weighted number of this entry's own.
// As a report ages, its count gives way to the number that the other entries would have if they chose like this one.
// This keeps entries that see the same report from moving to the same targets and back.
func (t *target) batch(x *index) float64 {
	weight := t.reportWeight * x.decay
	return t.ownLoad.weightedInFlight + weight*t.others + (1-weight)*x.peerRatio*t.ownLoad.weightedInFlight
}

// cost returns the cost of running one layer for one more sequence in microseconds: the time of the layer, plus the time
// that this adds to the other sequences, multiplied by the weight of throughput. A target with a low health weight is
// treated as proportionally fuller.
func (t *target) cost(x *index) float64 {
	n := t.batch(x) / t.weight
	return t.curve.LayerTime(n+1/t.weight) + x.throughputWeight*t.curve.Slope()*n
}

// updateReport returns how many sequences of other entries are at the target according to its load report. It subtracts
// the sequences that this entry had in flight when that report was first seen.
func (t *target) updateReport(l bergamotfleet.Load) float64 {
	if !l.ReceivedAt().Equal(t.ownLoad.reportedAt) {
		t.ownLoad.reportedAt, t.ownLoad.inFlightAtReport = l.ReceivedAt(), t.ownLoad.inFlight
	}
	return math.Max(float64(l.Running()-t.ownLoad.inFlightAtReport), 0) * t.ownLoad.share
}

// reportWeight returns the weight of a report, which decays with its age.
func reportWeight(l bergamotfleet.Load, now time.Time) float64 {
	if l.ReceivedAt().IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(l.ReceivedAt())) / float64(reportTimeConstant))
}
