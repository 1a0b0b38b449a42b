package bergamotcluster

import (
	"context"
	"errors"

	"bergamotspur/core/bergamotfleet"
)

// fullMemoryShare is the share of a runner's memory above which a rejection is attributed to lack of memory. It is well
// below 1 since reports lag by about 200 ms and the largest requests take a few percent.
const fullMemoryShare = 0.6

// ErrReportRefused is wrapped by the error of a report that a runner did not give although it can be reached: it reset the
// connection, for instance because it has as many as it allows, or sent another answer.
var ErrReportRefused = errors.New("the runner gives no report")

// ErrNotListening is wrapped by the error of a report for which nothing listens at the address of the runner: its process has ended,
// while one that pauses or is cut off gives no answer at all.
var ErrNotListening = errors.New("nothing listens at the address of the runner")

// ReportSpec holds the fields of a report.
type ReportSpec struct {
	StartTime   int64 // start of the process in Unix milliseconds
	Holdings    []bergamotfleet.Holding
	Busy        bool              // the runner is carrying out an order
	OrderCount  int64             // orders that the process has accepted
	UsedMemory  float64           // memory that requests occupy, in tokens times layers
	TotalMemory float64           // memory available for requests, in tokens times layers
	StalledOn   map[string]string // request ID to the address of the runner that it waits for in vain
}

// Report is the status that a runner returns about itself.
type Report struct{ spec ReportSpec }

// NewReport returns a report with the fields of s.
func NewReport(s ReportSpec) Report { return Report{spec: s} }

// StartTime returns the start of the process in Unix milliseconds.
func (r Report) StartTime() int64 { return r.spec.StartTime }

// Holdings returns the layers that the runner holds; the caller must not change the slice.
func (r Report) Holdings() []bergamotfleet.Holding { return r.spec.Holdings }

// Busy reports whether the runner is carrying out an order.
func (r Report) Busy() bool { return r.spec.Busy }

// OrderCount returns how many orders the process has accepted, as of some hundred milliseconds ago.
func (r Report) OrderCount() int64 { return r.spec.OrderCount }

// UsedMemory returns the memory that requests occupy, in tokens times layers.
func (r Report) UsedMemory() float64 { return r.spec.UsedMemory }

// TotalMemory returns the memory available for requests, in token-layers.
func (r Report) TotalMemory() float64 { return r.spec.TotalMemory }

// Full reports whether requests occupy so much memory that the runner may reject more.
func (r Report) Full() bool { return r.spec.UsedMemory >= fullMemoryShare*r.spec.TotalMemory }

// StalledOn returns the address of the unresponsive runner that a request waits for, if there is one.
func (r Report) StalledOn(request string) (address string, ok bool) {
	address, ok = r.spec.StalledOn[request]
	return address, ok
}

// Reporter requests reports from runners.
type Reporter interface {
	Report(ctx context.Context, address string) (Report, error)
}

// Orderer orders runners to load layers.
type Orderer interface {
	// Place sends an order to the runner at address. After an error other than ErrOrderRefused, ErrOrderFenced and
	// bergamotstore.ErrRejected the runner may still carry out the order, even later.
	Place(ctx context.Context, address string, o Order) error
}
