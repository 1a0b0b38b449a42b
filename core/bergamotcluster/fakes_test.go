package bergamotcluster_test

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlayout"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
)

var errStoreDown = errors.New("the store is down")

var start = time.Unix(1000, 0)

// newState returns an empty state whose time is sinceStart after start.
func newState(sinceStart time.Duration) *bergamotcluster.State {
	s := bergamotcluster.NewState()
	s.SetTime(start.Add(sinceStart))
	return s
}

// runTasks runs tasks one after the other and applies their events.
func runTasks(s *bergamotcluster.State, tasks []bergamotcluster.Task) {
	for _, t := range tasks {
		if e := t.Run(context.Background()); e != nil {
			e.Apply(s)
		}
	}
}

// fakeFeed is a feed that returns what the test sets and records its calls.
type fakeFeed struct {
	rows      []bergamotstore.Row
	changes   []bergamotstore.Change
	whole     bool // Changes returns the whole table
	position  bergamotstore.Position
	err       error
	listCalls int
	waits     []time.Duration
	after     bergamotstore.Position // of the last call of Changes
	asOf      time.Duration          // when the answers were current
	relayed   bool                   // the answers come from another entry
	timeouts  []time.Duration        // timeouts of the calls of List
}

func (f *fakeFeed) List(ctx context.Context, _ string) (bergamotmirror.Reading, error) {
	f.listCalls++
	if end, ok := ctx.Deadline(); ok {
		f.timeouts = append(f.timeouts, time.Until(end))
	}
	var changes []bergamotstore.Change
	for _, r := range f.rows {
		changes = append(changes, bergamotstore.NewChange(r, false))
	}
	return bergamotmirror.NewReading(bergamotmirror.NewUpdate(changes, true, f.position, 0), f.asOf, f.relayed), f.err
}

func (f *fakeFeed) Changes(_ context.Context, _ string, after bergamotstore.Position, wait time.Duration) (bergamotmirror.Reading, error) {
	f.after = after
	f.waits = append(f.waits, wait)
	return bergamotmirror.NewReading(bergamotmirror.NewUpdate(f.changes, f.whole, f.position, 0), f.asOf, f.relayed), f.err
}

// fakeDecoder decodes the first byte of a row as the version of a configuration, and the whole row as the state of a
// runner.
type fakeDecoder struct{}

func (fakeDecoder) Config(value []byte) (*bergamotconfig.Config, error) {
	if len(value) == 0 {
		return nil, errors.New("empty")
	}
	return bergamotconfig.New(bergamotconfig.Spec{Version: int64(value[0])}), nil
}

func (fakeDecoder) Runner(key string, value []byte) (bergamotfleet.Spec, error) {
	if string(value) == "broken" {
		return bergamotfleet.Spec{}, errors.New("broken")
	}
	return bergamotfleet.Spec{Name: key, Address: key, Role: "llm", Kind: "l4", DataCentre: "a", StartTime: 1, Leaving: string(value) == "leaving"}, nil
}

func row(key, value string) bergamotstore.Row { return bergamotstore.NewRow(key, 1, []byte(value)) }

// fakeRunners are runners that report the layers that they were ordered to hold, by address.
type fakeRunners struct {
	held       map[string]bergamotlayout.Span
	startTimes map[string]int64
	err        error
	orders     []string
}

func (f *fakeRunners) Place(_ context.Context, address string, o bergamotcluster.Order) error {
	f.orders = append(f.orders, address)
	if f.err == nil {
		f.held[address] = o.Span()
	}
	return f.err
}

func (f *fakeRunners) Report(_ context.Context, address string) (bergamotcluster.Report, error) {
	if f.err != nil {
		return bergamotcluster.Report{}, f.err
	}
	spec := bergamotcluster.ReportSpec{StartTime: max(f.startTimes[address], 1)}
	if s := f.held[address]; s.Len() > 0 {
		spec.Holdings = []bergamotfleet.Holding{bergamotfleet.NewHolding("m", "1", s.From(), s.To())}
	}
	return bergamotcluster.NewReport(spec), nil
}
