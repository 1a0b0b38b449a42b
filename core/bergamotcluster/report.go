package bergamotcluster

import (
	"context"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlayout"
)

// fullShare is the part of a runner's memory above which a rejection is taken to be for want of memory. Reports lag by
// some 200 ms, and the largest requests take a few percent.
const fullShare = 0.6

// ReportSpec holds the fields from which NewReport builds a report.
type ReportSpec struct {
	Born     int64 // start of the process in Unix milliseconds
	Holdings []bergamotfleet.Holding
	Busy     bool              // an order is in progress
	Used     float64           // memory that requests hold, in tokens times layers
	Total    float64           // memory for requests, in tokens times layers
	Stalled  map[string]string // address of the silent runner by request
}

// Report is what a runner says about itself.
type Report struct{ spec ReportSpec }

// NewReport returns a report with the fields of s.
func NewReport(s ReportSpec) Report { return Report{spec: s} }

// Born returns the start of the process in Unix milliseconds.
func (r Report) Born() int64 { return r.spec.Born }

// Holdings returns the layers that the runner holds; the caller must not change the slice.
func (r Report) Holdings() []bergamotfleet.Holding { return r.spec.Holdings }

// Busy tells whether an order is in progress.
func (r Report) Busy() bool { return r.spec.Busy }

// Used returns the memory that requests hold, in tokens times layers.
func (r Report) Used() float64 { return r.spec.Used }

// Full tells whether requests hold so much of the memory that the runner may reject more.
func (r Report) Full() bool { return r.spec.Used >= fullShare*r.spec.Total }

// Stalled returns the address of the runner on which a request waits in vain, if it does.
func (r Report) Stalled(request string) (address string, ok bool) {
	address, ok = r.spec.Stalled[request]
	return address, ok
}

// Reporter asks a runner for its report.
type Reporter interface {
	Report(ctx context.Context, address string) (Report, error)
}

// Orderer tells a runner which layers to hold. After an error other than bergamotstore.ErrRejected the runner may
// carry out the order, also later.
type Orderer interface {
	// Place orders a range; with cut set the runner cuts off requests for which no memory is left or whose layers it gives
	// up, instead of waiting for their end.
	Place(ctx context.Context, address string, s bergamotlayout.Span, cut bool) error
}
