package bergamotrelay

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamottest"
)

// told gives a fixed report.
type told struct {
	report bergamotcluster.Report
	err    error
}

func (t told) Report(context.Context, string) (bergamotcluster.Report, error) { return t.report, t.err }

type watchCase struct {
	gap     time.Duration
	avoided bool
	stalled map[string]string
	err     error
	fault   string // address that is blamed, empty when the attempt goes on
}

var _ = ginkgo.Describe("the watch over a stream", func() {
	// Guards against callers that wait for a dead runner until they give up, and against streams that are ended
	// although their runners are only slow.
	bergamottest.Entries(map[string]watchCase{
		"lets a stream go on that has events":        {gap: 100 * time.Millisecond, avoided: true, err: errors.New("silent")},
		"leaves a runner that others found silent":   {gap: 130 * time.Millisecond, avoided: true, fault: "y:1"},
		"lets a slow stream go on":                   {gap: time.Second},
		"lets a stream go on when another one waits": {gap: time.Second, stalled: map[string]string{"other": "y:1"}},
		"blames the runner that the first waits for": {gap: 260 * time.Millisecond, stalled: map[string]string{"1": "y:1"}, fault: "y:1"},
		"blames the first when it does not answer":   {gap: 260 * time.Millisecond, err: errors.New("silent"), fault: "x:1"},
	}, func(c watchCase) {
		clock := bergamotclock.NewVirtual(now)
		w := &Watch{
			Clock: clock, Avoided: func(name string) bool { return c.avoided && name == "y" },
			Reporter: told{bergamotcluster.NewReport(bergamotcluster.ReportSpec{Stalled: c.stalled}), c.err},
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		v := w.begin("1", bergamotroute.NewPlan(bergamotroute.NewStage("x", "x:1", 0, 4), bergamotroute.NewStage("y", "y:1", 4, 8)), cancel)
		defer v.end()
		clock.Advance(c.gap)
		v.look()
		var f *Failure
		gomega.Expect(errors.As(context.Cause(ctx), &f)).To(gomega.Equal(c.fault != ""))
		if c.fault != "" {
			gomega.Expect(f.Fault()).To(gomega.Equal(c.fault))
		}
	})
})
