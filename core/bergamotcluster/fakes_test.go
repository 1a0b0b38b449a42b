package bergamotcluster_test

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlayout"
	"bergamotspur/core/bergamotstore"
)

var errDown = errors.New("the store is down")

var start = time.Unix(1000, 0)

// newState returns a state at a time after the start.
func newState(at time.Duration) *bergamotcluster.State {
	s := bergamotcluster.NewState()
	s.Wake(start.Add(at))
	return s
}

// run carries out tasks one after the other and applies their events.
func run(s *bergamotcluster.State, tasks []bergamotcluster.Task) {
	for _, t := range tasks {
		if e := t.Run(context.Background()); e != nil {
			e.Apply(s)
		}
	}
}

// table is a feed whose next answers a test sets.
type table struct {
	rows    []bergamotstore.Row
	changes []bergamotstore.Change
	version int64
	err     error
	lists   int
	waits   []time.Duration
	at      time.Duration   // of the store's clock
	times   []time.Duration // that whole tables had
}

func (f *table) List(ctx context.Context, _ string) ([]bergamotstore.Row, int64, time.Duration, error) {
	f.lists++
	if end, ok := ctx.Deadline(); ok {
		f.times = append(f.times, time.Until(end))
	}
	return f.rows, f.version, f.at, f.err
}

func (f *table) Changes(_ context.Context, _ string, _ int64, wait time.Duration) ([]bergamotstore.Change, int64, time.Duration, error) {
	f.waits = append(f.waits, wait)
	return f.changes, f.version, f.at, f.err
}

// decoder reads a version from the first byte of a row, and a runner whose state is the value.
type decoder struct{}

func (decoder) Config(value []byte) (*bergamotconfig.Config, error) {
	if len(value) == 0 {
		return nil, errors.New("empty")
	}
	return bergamotconfig.New(bergamotconfig.Spec{Version: int64(value[0])}), nil
}

func (decoder) Runner(key string, value []byte) (bergamotfleet.Spec, error) {
	if string(value) == "broken" {
		return bergamotfleet.Spec{}, errors.New("broken")
	}
	return bergamotfleet.Spec{Name: key, Address: key, Role: "llm", Kind: "l4", Centre: "a", Born: 1, Leaving: string(value) == "leaving"}, nil
}

func row(key, value string) bergamotstore.Row { return bergamotstore.NewRow(key, 1, []byte(value)) }

// targets are runners that report what they were ordered to hold.
type targets struct {
	held   map[string]bergamotlayout.Span
	born   map[string]int64
	err    error
	orders []string
}

func (f *targets) Place(_ context.Context, address string, s bergamotlayout.Span, _ bool) error {
	f.orders = append(f.orders, address)
	if f.err == nil {
		f.held[address] = s
	}
	return f.err
}

func (f *targets) Report(_ context.Context, address string) (bergamotcluster.Report, error) {
	if f.err != nil {
		return bergamotcluster.Report{}, f.err
	}
	spec := bergamotcluster.ReportSpec{Born: max(f.born[address], 1)}
	if s := f.held[address]; s.Len() > 0 {
		spec.Holdings = []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", s.From(), s.To())}
	}
	return bergamotcluster.NewReport(spec), nil
}
