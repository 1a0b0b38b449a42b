package bergamotrelay

import (
	"context"
	"errors"
	"sync"
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

var twoStages = bergamotroute.NewPlan(bergamotroute.NewStage("x", "x:1", 0, 4), bergamotroute.NewStage("y", "y:1", 4, 8))

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
		"lets an attempt go on that has just begun":  {gap: 100 * time.Millisecond, avoided: true, err: errors.New("silent")},
		"leaves a runner that others found silent":   {gap: 130 * time.Millisecond, avoided: true, fault: "y:1"},
		"lets a slow stream go on":                   {gap: time.Second},
		"lets a stream go on when another one waits": {gap: time.Second, stalled: map[string]string{"other": "y:1"}},
		"blames the runner that the first waits for": {gap: 260 * time.Millisecond, stalled: map[string]string{"1": "y:1"}, fault: "y:1"},
		"blames the first when it does not answer":   {gap: 260 * time.Millisecond, err: errors.New("silent"), fault: "x:1"},
	}, func(c watchCase) {
		clock := bergamotclock.NewVirtual(now)
		w := &Watch{
			Clock: clock, Avoided: func(name string) bool { return c.avoided && name == "y" },
			Reporter: told{bergamotcluster.NewReport(bergamotcluster.ReportSpec{StalledOn: c.stalled}), c.err},
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		v := w.begin(watchSpec{request: "1", plan: twoStages, cancel: cancel})
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

type pauseCase struct {
	pause   time.Duration
	usual   time.Duration // longest pauses of the streams before, 0 for none
	sending bool          // the caller has not taken the last events
	refused bool          // there is no budget for one more attempt
	known   bool          // another request found y silent
	silent  string        // address of a runner that gives no report
	moved   bool
	fault   string
}

// partly gives no report of one runner. The time for the answers has passed when all others have answered.
type partly struct {
	*bergamotclock.Virtual
	watch  *Watch
	silent string
	late   chan time.Time
	once   sync.Once
}

func (p *partly) After(time.Duration) <-chan time.Time { return p.late }

func (p *partly) Report(_ context.Context, address string) (r bergamotcluster.Report, err error) {
	if address != p.silent {
		return r, nil
	}
	for _, s := range twoStages.Stages() {
		if s.Address() != p.silent {
			<-p.watch.question(s.Address()).done
		}
	}
	p.once.Do(func() { close(p.late) })
	return r, errors.New("silent")
}

func newPartly(silent string) (w *Watch, p *partly) {
	p = &partly{Virtual: bergamotclock.NewVirtual(now), silent: silent, late: make(chan time.Time)}
	w = &Watch{Clock: p, Reporter: p}
	p.watch = w
	return w, p
}

var _ = ginkgo.Describe("the watch over a stream with events", func() {
	// Guards against streams that become late because a dead runner is noticed only after the pause that the route
	// allows, against moves away from slow runners, which use up the attempts of the route, and against streams that are
	// cut off without a right to go on elsewhere.
	bergamottest.Entries(map[string]pauseCase{
		"waits for a usual pause":                        {pause: 100 * time.Millisecond, known: true},
		"moves while the answer can still be on time":    {pause: 115 * time.Millisecond, silent: "y:1", moved: true, fault: "y:1"},
		"stays when all runners answer":                  {pause: 115 * time.Millisecond},
		"names the runner that is known to be silent":    {pause: 115 * time.Millisecond, known: true, moved: true, fault: "y:1"},
		"waits longer where long pauses are usual":       {pause: 150 * time.Millisecond, usual: 140 * time.Millisecond, silent: "y:1"},
		"moves where long pauses are usual":              {pause: 200 * time.Millisecond, usual: 140 * time.Millisecond, silent: "x:1", moved: true, fault: "x:1"},
		"does not take a slow caller for a dead runner":  {pause: time.Second, sending: true, silent: "y:1"},
		"stays without a budget while the first answers": {pause: 300 * time.Millisecond, refused: true, silent: "y:1"},
		"ends without a budget when the first is silent": {pause: 300 * time.Millisecond, refused: true, silent: "x:1", moved: true, fault: "x:1"},
		"ends without a budget when a runner is known":   {pause: 300 * time.Millisecond, refused: true, known: true, moved: true, fault: "y:1"},
	}, func(c pauseCase) {
		w, clock := newPartly(c.silent)
		w.Avoided = func(name string) bool { return c.known && name == "y" }
		for range 100 {
			w.pauses.learn(c.usual)
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		v := w.begin(watchSpec{
			request: "1", plan: twoStages, allowed: 200 * time.Millisecond, leave: func() bool { return !c.refused }, cancel: cancel,
		})
		defer v.end()
		v.receive()
		if !c.sending {
			v.sent()
		}
		clock.Advance(c.pause)
		v.look()
		var f *Failure
		gomega.Expect(errors.As(context.Cause(ctx), &f)).To(gomega.Equal(c.moved))
		if c.moved {
			gomega.Expect(f.Fault()).To(gomega.Equal(c.fault))
		}
	})

	// Guards against probes of all runners again and again when all of them turn slow at once: pauses of runners that
	// answer must raise the limit.
	ginkgo.It("gives streams more time when all runners of a path answer", func() {
		w, clock := newPartly("")
		w.Avoided = func(string) bool { return false }
		before := w.pauses.limit(200 * time.Millisecond)
		for range 20 {
			v := w.begin(watchSpec{plan: twoStages, allowed: 200 * time.Millisecond, leave: func() bool { return true }, cancel: func(error) {}})
			v.receive()
			v.sent()
			clock.Advance(180 * time.Millisecond)
			v.look()
			v.end()
		}
		gomega.Expect(before).To(gomega.BeNumerically("<", 180*time.Millisecond))
		gomega.Expect(w.pauses.limit(200 * time.Millisecond)).To(gomega.BeNumerically(">", 180*time.Millisecond))
	})
})
