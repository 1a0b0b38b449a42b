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

// lagging lists one instance as live and answers probes as told.
type lagging struct {
	mu    sync.Mutex
	fails bool
	leave bool
	asked int
}

func (l *lagging) set(fails, leave bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fails, l.leave = fails, leave
}

func (l *lagging) probes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked
}

func (l *lagging) List(context.Context, string) (bergamotcontrol.Listing, error) {
	list := []bergamotfleet.Spec{{Name: "a", Address: "10.0.0.1:1", Role: bergamotfleet.RoleRunner}}
	return bergamotcontrol.NewListing("", 0, list), nil
}

func (l *lagging) Probe(context.Context, string) (bergamotcontrol.Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if l.fails {
		return bergamotcontrol.Report{}, errors.New("no answer")
	}
	return bergamotcontrol.NewReport(0, 0, l.leave, nil), nil
}

type returnCase struct {
	observe func(o *bergamotcontrol.Observer)
	fails   bool
	leave   bool
	back    bool
}

var _ = ginkgo.Describe("Observer", func() {
	// Guards against new work for an instance that this entry has seen refuse it while the list still calls
	// it live, and against an instance that is shut out for good although it is back.
	bergamottest.Entries(map[string]returnCase{
		"stops work after a refused connection until a report": {func(o *bergamotcontrol.Observer) { o.Refused("a") }, false, false, true},
		"stops work after a refused connection for good":       {func(o *bergamotcontrol.Observer) { o.Refused("a") }, true, false, false},
		"stops work at a leaving instance until it restarts":   {func(o *bergamotcontrol.Observer) { o.Leaving("a") }, false, false, true},
		"stops work at a leaving instance that keeps leaving":  {func(o *bergamotcontrol.Observer) { o.Leaving("a") }, false, true, false},
	}, func(c returnCase) {
		clock := bergamotclock.NewVirtual(time.Unix(100, 0))
		source := &lagging{}
		loop := &bergamotcontrol.Loop{Clock: clock, Period: time.Second, Controllers: []bergamotcontrol.Controller{
			&bergamotcontrol.Instances{Source: source, Period: time.Second, Report: func(error) {}},
			&bergamotcontrol.Probes{Source: source, Period: time.Minute, Timeout: time.Minute, Misses: 3},
		}}
		loop.Init()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		defer func() {
			cancel()
			<-done
		}()
		usable := func() bool {
			i, ok := loop.View().Fleet().Instance("a")
			return ok && i.Usable()
		}
		gomega.Eventually(usable).Should(gomega.BeTrue())
		gomega.Eventually(source.probes).Should(gomega.Equal(1))
		source.set(c.fails, c.leave)
		c.observe(&bergamotcontrol.Observer{Loop: loop})
		gomega.Eventually(usable).Should(gomega.BeFalse())
		// The list is read again and still calls the instance live, which brings it back in no case.
		clock.Advance(2 * time.Second)
		gomega.Consistently(usable).Should(gomega.BeFalse())
		gomega.Eventually(func() int {
			// The loop may not wait for the clock yet when it is advanced.
			clock.Advance(time.Minute)
			return source.probes()
		}).Should(gomega.BeNumerically(">=", 2))
		if c.back {
			gomega.Eventually(usable).Should(gomega.BeTrue())
			return
		}
		gomega.Consistently(usable).Should(gomega.BeFalse())
	})
})
