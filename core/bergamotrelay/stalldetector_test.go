package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamottest"
)

// fixedReporter returns the same report and error for every runner.
type fixedReporter struct {
	report bergamotcluster.Report
	err    error
}

func (r fixedReporter) Report(context.Context, string) (bergamotcluster.Report, error) {
	return r.report, r.err
}

var twoStages = bergamotroute.NewPlan(bergamotroute.NewStage("x", "x:1", 0, 4), bergamotroute.NewStage("y", "y:1", 4, 8))

type watchCase struct {
	idle              time.Duration // time without an event
	knownUnresponsive bool          // another request found y unresponsive
	stalled           map[string]string
	err               error
	usual             time.Duration // time to the first event of earlier streams, 0 for none
	successor         bool          // another path can take over
	fault             string        // address of the runner at fault, empty if the attempt continues
	reported          string        // address of the runner that is reported although the attempt continues
}

var _ = ginkgo.Describe("the stall detector before the first event", func() {
	// Guards against callers that wait for a dead runner until they give up while another path can take over, against cancelling
	// streams whose runners are only slow, and against ending answers of runners that pause when no other path can take over.
	bergamottest.Cases(map[string]watchCase{
		"keeps an attempt that has just started":                      {idle: 100 * time.Millisecond, knownUnresponsive: true, err: errSilent, successor: true},
		"moves when another request found a runner unresponsive":      {idle: 130 * time.Millisecond, knownUnresponsive: true, err: errSilent, successor: true, fault: "y:1"},
		"keeps an attempt at such a runner without another path":      {idle: 200 * time.Millisecond, knownUnresponsive: true, err: errSilent, reported: "y:1"},
		"keeps an attempt whose runner failed another and answers":    {idle: time.Second, knownUnresponsive: true},
		"keeps an attempt whose runner failed another and refuses":    {idle: time.Second, knownUnresponsive: true, err: errRefused},
		"keeps an attempt whose runner refuses reports":               {idle: 1900 * time.Millisecond, err: errRefused},
		"cancels at a runner that refuses when callers have given up": {idle: 2 * time.Second, err: errRefused, fault: "x:1"},
		"keeps a slow stream":                                           {idle: time.Second},
		"keeps a slow stream until callers give up":                     {idle: 1900 * time.Millisecond},
		"fails over when the first event is overdue":                    {idle: 340 * time.Millisecond, successor: true, fault: "x:1"},
		"keeps a stream whose first event is not overdue yet":           {idle: 320 * time.Millisecond, successor: true},
		"keeps a stream when all first events take that long":           {idle: 700 * time.Millisecond, usual: 600 * time.Millisecond, successor: true},
		"cancels when callers have given up":                            {idle: 2 * time.Second, fault: "x:1"},
		"keeps a stream when only another request is stalled":           {idle: time.Second, stalled: map[string]string{"other": "y:1"}},
		"moves because of the runner that the first one waits for":      {idle: 260 * time.Millisecond, stalled: map[string]string{"1": "y:1"}, successor: true, fault: "y:1"},
		"keeps a stream whose first runner waits, without another path": {idle: 1500 * time.Millisecond, stalled: map[string]string{"1": "y:1"}, reported: "y:1"},
		"moves because of the first runner when it does not answer":     {idle: 260 * time.Millisecond, err: errSilent, successor: true, fault: "x:1"},
		"keeps a stream at a silent runner without another path":        {idle: 1500 * time.Millisecond, err: errSilent, reported: "x:1"},
		"cancels at a silent runner when callers have given up":         {idle: 2 * time.Second, err: errSilent, fault: "x:1"},
	}, func(c watchCase) {
		clock := bergamotclock.NewVirtual(now)
		d := &StallDetector{
			Clock: clock, IsSuspected: func(name string) bool { return c.knownUnresponsive && name == "y" },
			Reporter: fixedReporter{bergamotcluster.NewReport(bergamotcluster.ReportSpec{StalledOn: c.stalled}), c.err},
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		for range 100 {
			d.firstEventStats.observe(c.usual)
		}
		reported := ""
		spec := watchSpec{
			request: "1", plan: twoStages, maxSilence: 2 * time.Second, maxFirst: 600 * time.Millisecond, cancel: cancel,
			onStall: func(address string, _ error) { reported = address },
		}
		if c.successor {
			spec.takeSuccessor = func(string, float64) bool { return true }
		}
		w := d.watch(spec)
		defer w.stop()
		clock.Advance(c.idle)
		w.check()
		var f *Failure
		gomega.Expect(errors.As(context.Cause(ctx), &f)).To(gomega.Equal(c.fault != ""))
		if c.fault != "" {
			gomega.Expect(f.FaultAddress()).To(gomega.Equal(c.fault))
			return
		}
		gomega.Expect(reported).To(gomega.Equal(c.reported))
	})
})

var _ = ginkgo.Describe("an attempt at a silent runner without another path", func() {
	// Guards against streams that stay at a dead runner once another path is there, and against marking a runner again and again
	// because of one attempt.
	ginkgo.It("moves when there is one, and reports the runner once", func() {
		clock, reports, hasPath := bergamotclock.NewVirtual(now), 0, false
		d := &StallDetector{Clock: clock, IsSuspected: func(string) bool { return false }, Reporter: fixedReporter{err: errSilent}}
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		w := d.watch(watchSpec{
			request: "1", plan: twoStages, maxSilence: 2 * time.Second, cancel: cancel,
			takeSuccessor: func(string, float64) bool { return hasPath }, onStall: func(string, error) { reports++ },
		})
		w.timer.Stop() // the spec calls check itself
		for range 3 {
			clock.Advance(300 * time.Millisecond)
			w.check()
			w.timer.Stop()
		}
		gomega.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
		hasPath = true
		w.check()
		gomega.Expect(context.Cause(ctx)).To(gomega.MatchError(errSilentFirst))
		gomega.Expect(reports).To(gomega.Equal(1))
	})
})

type pauseCase struct {
	pause             time.Duration
	usual             time.Duration // longest pause of earlier streams, 0 for none
	delivering        bool          // the caller has not yet taken the last events
	overBudget        bool          // the retry budget allows no further attempt
	goesOn            bool          // the next event arrives while the runners are asked
	knownUnresponsive bool          // another request found y unresponsive
	silent            string        // address of the runner that gives no report
	cancelled         bool
	fault             string // address of the runner that is reported, at fault if the attempt is cancelled
}

// errSilent is the error of a runner that does not answer.
var errSilent = errors.New("silent")

// errRefused is the error of a runner that resets the connection for a report because it has too many.
var errRefused = fmt.Errorf("%w: reset", bergamotcluster.ErrReportRefused)

// partialReporter returns reports for all runners except one. Its timer fires when all other runners have answered.
type partialReporter struct {
	*bergamotclock.Virtual
	detector *StallDetector
	silent   string
	timeout  chan time.Time
	onSilent func() // called when the silent runner is asked, nil for none
	once     sync.Once
}

func (p *partialReporter) After(time.Duration) <-chan time.Time { return p.timeout }

func (p *partialReporter) Report(_ context.Context, address string) (r bergamotcluster.Report, err error) {
	if address != p.silent {
		return r, nil
	}
	for _, s := range twoStages.Stages() {
		if s.Address() != p.silent {
			<-p.detector.reportQuery(s.Address()).done
		}
	}
	p.once.Do(func() {
		if p.onSilent != nil {
			p.onSilent()
		}
		close(p.timeout)
	})
	return r, errSilent
}

func newPartialReporter(silent string) (d *StallDetector, p *partialReporter) {
	p = &partialReporter{Virtual: bergamotclock.NewVirtual(now), silent: silent, timeout: make(chan time.Time)}
	d = &StallDetector{Clock: p, Reporter: p}
	p.detector = d
	return d, p
}

var _ = ginkgo.Describe("the stall detector after the first event", func() {
	// Guards against streams that become late because a dead runner is noticed only after the route's allowed pause,
	// against failovers away from slow runners, which use up the attempts of the route, and against cancelling streams
	// that have no retry left to resume elsewhere: their runner may only pause.
	bergamottest.Cases(map[string]pauseCase{
		"keeps a stream whose pause is usual":                             {pause: 100 * time.Millisecond, knownUnresponsive: true},
		"fails over before the pause exceeds the limit of the route":      {pause: 115 * time.Millisecond, silent: "y:1", cancelled: true, fault: "y:1"},
		"keeps the path when all runners answer":                          {pause: 115 * time.Millisecond},
		"fails over from a runner that is known to be unresponsive":       {pause: 115 * time.Millisecond, knownUnresponsive: true, silent: "y:1", cancelled: true, fault: "y:1"},
		"keeps the path when a runner failed another request and answers": {pause: 300 * time.Millisecond, knownUnresponsive: true},
		"waits longer when long pauses are usual":                         {pause: 150 * time.Millisecond, usual: 140 * time.Millisecond, silent: "y:1"},
		"fails over after a longer pause when long pauses are usual":      {pause: 200 * time.Millisecond, usual: 140 * time.Millisecond, silent: "x:1", cancelled: true, fault: "x:1"},
		"does not take a slow caller for a dead runner":                   {pause: time.Second, delivering: true, silent: "y:1"},
		"keeps the path without a budget while the first runner answers":  {pause: 300 * time.Millisecond, overBudget: true, silent: "y:1", fault: "y:1"},
		"keeps the path without a budget when the first runner is silent": {pause: 1500 * time.Millisecond, overBudget: true, silent: "x:1", fault: "x:1"},
		"keeps the path without a budget at a runner known to be silent":  {pause: 300 * time.Millisecond, overBudget: true, knownUnresponsive: true, silent: "y:1", fault: "y:1"},
		"keeps the path when the stream goes on meanwhile":                {pause: 300 * time.Millisecond, goesOn: true, silent: "x:1"},
		"keeps the path without a budget when that runner answers":        {pause: 300 * time.Millisecond, overBudget: true, knownUnresponsive: true},
	}, func(c pauseCase) {
		d, clock := newPartialReporter(c.silent)
		d.IsSuspected = func(name string) bool { return c.knownUnresponsive && name == "y" }
		for range 100 {
			d.pauseStats.observe(c.usual)
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		reported := ""
		w := d.watch(watchSpec{
			request: "1", plan: twoStages, maxPause: 200 * time.Millisecond, takeSuccessor: func(string, float64) bool { return !c.overBudget }, cancel: cancel,
			onStall: func(address string, _ error) { reported = address },
		})
		defer w.stop()
		if c.goesOn {
			clock.onSilent = w.eventsDelivered
		}
		w.eventsReceived()
		if !c.delivering {
			w.eventsDelivered()
		}
		clock.Advance(c.pause)
		w.check()
		var f *Failure
		gomega.Expect(errors.As(context.Cause(ctx), &f)).To(gomega.Equal(c.cancelled))
		if c.cancelled {
			gomega.Expect(f.FaultAddress()).To(gomega.Equal(c.fault))
		}
		gomega.Expect(reported).To(gomega.Equal(c.fault))
	})

	// Guards against probing all runners repeatedly when all of them become slow at once: pauses of runners that answer
	// must raise the stall timeout.
	ginkgo.It("raises the stall timeout when all runners of a path answer", func() {
		d, clock := newPartialReporter("")
		d.IsSuspected = func(string) bool { return false }
		before := d.pauseStats.stallTimeout(200 * time.Millisecond)
		for range 20 {
			w := d.watch(watchSpec{plan: twoStages, maxPause: 200 * time.Millisecond, takeSuccessor: func(string, float64) bool { return true }, cancel: func(error) {}})
			w.eventsReceived()
			w.eventsDelivered()
			clock.Advance(180 * time.Millisecond)
			w.check()
			w.stop()
		}
		gomega.Expect(before).To(gomega.BeNumerically("<", 180*time.Millisecond))
		gomega.Expect(d.pauseStats.stallTimeout(200 * time.Millisecond)).To(gomega.BeNumerically(">", 180*time.Millisecond))
	})
})
