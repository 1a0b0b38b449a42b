package bergamotcontrol_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamottest"
)

// fakeRunner is a runner that the list always shows as live; its replies to probes can be set.
type fakeRunner struct {
	mu         sync.Mutex
	failProbes bool
	leaving    bool
	probeCount int
}

func (l *fakeRunner) set(failProbes, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failProbes, l.leaving = failProbes, leaving
}

func (l *fakeRunner) probes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.probeCount
}

func (l *fakeRunner) List(context.Context, string) (bergamotcontrol.Listing, error) {
	list := []bergamotfleet.Spec{{Name: "a", Address: "10.0.0.1:1", Role: bergamotfleet.RoleRunner}}
	return bergamotcontrol.NewListing("", 0, list), nil
}

func (l *fakeRunner) Probe(context.Context, string) (bergamotcontrol.Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probeCount++
	if l.failProbes {
		return bergamotcontrol.Report{}, errors.New("no answer")
	}
	return bergamotcontrol.NewReport(0, 0, l.leaving, nil), nil
}

type observationCase struct {
	observe    func(o *bergamotcontrol.Observer)
	failProbes bool // the later probes fail
	leaving    bool // the later reports say that the runner is leaving
	recovers   bool // traffic may use the runner again after the probes
}

var _ = ginkgo.Describe("Observer", func() {
	// Guards against new work for an instance that refused a connection or is leaving while the list still shows it as
	// live, and against an instance that stays excluded after it has recovered.
	bergamottest.Cases(map[string]observationCase{
		"stops work after a refused connection until a probe succeeds": {func(o *bergamotcontrol.Observer) { o.Refused("a") }, false, false, true},
		"stops work after a refused connection while probes fail":      {func(o *bergamotcontrol.Observer) { o.Refused("a") }, true, false, false},
		"stops work at a leaving instance until it restarts":           {func(o *bergamotcontrol.Observer) { o.Leaving("a") }, false, false, true},
		"stops work at a leaving instance that is still leaving":       {func(o *bergamotcontrol.Observer) { o.Leaving("a") }, false, true, false},
	}, func(c observationCase) {
		clock := bergamotclock.NewVirtual(time.Unix(100, 0))
		source := &fakeRunner{}
		loop := &bergamotcontrol.Loop{Clock: clock, Period: time.Second, Controllers: []bergamotcontrol.Controller{
			&bergamotcontrol.InstanceList{Source: source, Period: time.Second, OnError: func(error) {}},
			&bergamotcontrol.Probes{Source: source, Period: time.Minute, Timeout: time.Minute, FailureThreshold: 3},
		}}
		loop.Init()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		defer func() {
			cancel()
			<-done
		}()
		isUsable := func() bool {
			i, ok := loop.View().Fleet().Instance("a")
			return ok && i.Usable()
		}
		gomega.Eventually(isUsable).Should(gomega.BeTrue())
		gomega.Eventually(source.probes).Should(gomega.Equal(1))
		source.set(c.failProbes, c.leaving)
		c.observe(&bergamotcontrol.Observer{Loop: loop})
		gomega.Eventually(isUsable).Should(gomega.BeFalse())
		// The next read of the list still shows the instance as live, which must not end the exclusion.
		clock.Advance(2 * time.Second)
		gomega.Consistently(isUsable).Should(gomega.BeFalse())
		gomega.Eventually(func() int {
			// The loop may not be waiting for the clock yet when it is advanced.
			clock.Advance(time.Minute)
			return source.probes()
		}).Should(gomega.BeNumerically(">=", 2))
		if c.recovers {
			gomega.Eventually(isUsable).Should(gomega.BeTrue())
			return
		}
		gomega.Consistently(isUsable).Should(gomega.BeFalse())
	})
})
