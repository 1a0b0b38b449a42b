package bergamotprefix_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotprefix"
	"bergamotspur/core/bergamottest"
)

// readCounter counts the reads that an EventReader requests instead of running them.
type readCounter struct {
	bergamotprefix.EventReader
	runners int
	reads   map[string]int
}

func (c *readCounter) Reconcile(s *bergamotcontrol.State) []bergamotcontrol.Task {
	for n := len(s.InstanceNames()); n < c.runners; n++ {
		name := fmt.Sprintf("runner-%d", n)
		s.PutInstance(bergamotfleet.NewInstance(bergamotfleet.Spec{Name: name, Address: name, Role: bergamotfleet.RoleRunner}))
	}
	for _, task := range c.EventReader.Reconcile(s) {
		c.reads[task.Name()]++
	}
	return nil
}

var _ = ginkgo.Describe("reads of cache events", func() {
	// Guards against a number of reads that grows with the fleet, and against runners whose events are never read.
	bergamottest.Cases(map[string]struct{ runners, periods, minReads, maxReads int }{
		"read each of 40 runners once a period":              {40, 10, 9 * 40, 10*40 + 40},
		"are limited for 700 runners, with each runner read": {700, 31, 29 * 24, 31*24 + 24},
	}, func(c struct{ runners, periods, minReads, maxReads int }) {
		clock := bergamotclock.NewVirtual(time.Unix(100, 0))
		t := &readCounter{
			EventReader: bergamotprefix.EventReader{Index: bergamotprefix.NewIndex(16), Period: 2 * time.Second, Timeout: time.Second},
			runners:     c.runners, reads: map[string]int{},
		}
		l := &bergamotcontrol.Loop{Clock: clock, Period: time.Hour, Controllers: []bergamotcontrol.Controller{t}}
		l.Init()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		for range c.periods * 16 {
			clock.Advance(t.Period / 16)
			applied := make(chan struct{})
			l.Post(bergamotcontrol.EventFunc(func(*bergamotcontrol.State) { close(applied) }))
			<-applied
		}
		cancel()
		gomega.Eventually(done).Should(gomega.Receive())
		total := 0
		for _, n := range t.reads {
			total += n
		}
		gomega.Expect(len(t.reads)).To(gomega.Equal(c.runners))
		gomega.Expect(total).To(gomega.BeNumerically(">=", c.minReads))
		gomega.Expect(total).To(gomega.BeNumerically("<=", c.maxReads))
	})
})
