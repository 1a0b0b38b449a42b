package bergamotcontrol

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamottest"
)

// headAnswer is a source that always gives the same answer.
type headAnswer struct {
	bundle *bergamotbundle.Bundle
	err    error
	wait   bool // no answer before the context ends
}

func (a *headAnswer) Head(ctx context.Context, _ *bergamotbundle.Bundle) (*bergamotbundle.Bundle, error) {
	if a.wait {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return a.bundle, a.err
}

func newHeads(source HeadSource) *Heads {
	return &Heads{
		Source: source, Period: 2 * time.Second, Timeout: time.Millisecond,
		Random: func() float64 { return 0.5 }, Report: func(error) {},
	}
}

// stateAt returns a state with version in force, none for 0, at a time after start.
func stateAt(after time.Duration, version int64) *State {
	s := NewState()
	s.now = time.Unix(1000, 0).Add(after)
	if version > 0 {
		s.bundle = bergamottest.BundleOf(version)
	}
	return s
}

type readCase struct {
	version   int64 // in force before
	source    headAnswer
	newest    int64 // that the source returns, 0 for none
	want      int64
	confirmed bool
}

var _ = ginkgo.Describe("the controller of the head", func() {
	// Guards against an entry that goes back, or that counts as up to date without having read the head.
	bergamottest.Entries(map[string]readCase{
		"puts the first bundle in force":         {newest: 1, want: 1, confirmed: true},
		"puts a newer bundle in force":           {version: 1, newest: 3, want: 3, confirmed: true},
		"ignores an older bundle":                {version: 3, newest: 2, want: 3, confirmed: true},
		"confirms a bundle that is current":      {version: 3, want: 3, confirmed: true},
		"confirms nothing before the first roll": {},
		"confirms nothing when the read fails":   {version: 3, source: headAnswer{err: errors.New("down")}, want: 3},
		"ends a read that gets no answer":        {version: 3, source: headAnswer{wait: true}, want: 3},
	}, func(c readCase) {
		if c.newest > 0 {
			c.source.bundle = bergamottest.BundleOf(c.newest)
		}
		s := stateAt(0, c.version)
		tasks := newHeads(&c.source).Reconcile(s)
		gomega.Expect(tasks).To(gomega.HaveLen(1))
		tasks[0].Run(context.Background()).Apply(s)
		version := int64(0)
		if s.Bundle() != nil {
			version = s.Bundle().Version()
		}
		gomega.Expect(version).To(gomega.Equal(c.want))
		gomega.Expect(s.view().Confirmed().IsZero()).To(gomega.Equal(!c.confirmed))
	})

	// Guards against a read that was paused, over a restart of the loop, and ends after a later one: it must not
	// bring its version back.
	ginkgo.It("ignores the result of a read that was paused", func(ctx context.Context) {
		source := &headAnswer{bundle: bergamottest.BundleOf(2)}
		c, s := newHeads(source), stateAt(0, 1)
		paused := c.Reconcile(s)[0].Run(ctx)
		source.bundle = bergamottest.BundleOf(3)
		s = stateAt(3*time.Second, 1)
		c.Reconcile(s)[0].Run(ctx).Apply(s)
		at := s.confirmed
		paused.Apply(s)
		gomega.Expect(s.Bundle().Version()).To(gomega.Equal(int64(3)))
		gomega.Expect(s.confirmed).To(gomega.Equal(at))
	})

	// Guards against hints that are trusted, lost during a read, or that flood the table.
	ginkgo.It("reads at once on a hint, but not more often than the gap allows", func(ctx context.Context) {
		c, s := newHeads(&headAnswer{}), stateAt(0, 2)
		c.Timeout = time.Second
		event := c.Reconcile(s)[0].Run(ctx)
		HeadHint(3).Apply(s)
		s.now = s.now.Add(600 * time.Millisecond)
		gomega.Expect(c.Reconcile(s)).To(gomega.BeEmpty(), "a read is in flight")
		event.Apply(s)
		gomega.Expect(c.Reconcile(s)).To(gomega.HaveLen(1))
		s.now = s.now.Add(400 * time.Millisecond)
		c.busy, s.hinted = false, true
		gomega.Expect(c.Reconcile(s)).To(gomega.BeEmpty(), "the gap has not passed")
		s.now = s.now.Add(100 * time.Millisecond)
		gomega.Expect(c.Reconcile(s)).To(gomega.HaveLen(1))
		gomega.Expect(s.Bundle().Version()).To(gomega.Equal(int64(2)))
	})

	// Guards against reads for versions that the entry already has.
	ginkgo.It("reads nothing on a hint of an old version", func(ctx context.Context) {
		c, s := newHeads(&headAnswer{}), stateAt(0, 2)
		c.Reconcile(s)[0].Run(ctx).Apply(s)
		HeadHint(2).Apply(s)
		s.now = s.now.Add(time.Second)
		gomega.Expect(c.Reconcile(s)).To(gomega.BeEmpty())
	})

	// Guards against a controller that waits for ever for a read whose result was lost with a restart of the loop.
	ginkgo.It("reads again after the result of a read was lost", func() {
		c, s := newHeads(&headAnswer{}), stateAt(0, 2)
		gomega.Expect(c.Reconcile(s)).To(gomega.HaveLen(1))
		gomega.Expect(c.Reconcile(stateAt(3*time.Second, 2))).To(gomega.HaveLen(1))
	})

	// Guards against more than the table's 2,000 reads/s by 840 entries, also when each gets a hint at every
	// moment, and against a read that comes later than 2.5 s after the last.
	ginkgo.It("stays within the table's rate at 840 entries", func(ctx context.Context) {
		quiet, storm := spread(ctx, false), spread(ctx, true)
		ginkgo.GinkgoWriter.Printf("reads in the busiest second: %d without hints, %d with a hint storm\n", quiet.busiest, storm.busiest)
		gomega.Expect(quiet.busiest).To(gomega.BeNumerically("<", 840))
		gomega.Expect(storm.busiest).To(gomega.BeNumerically("<", 2000))
		gomega.Expect(quiet.gap).To(gomega.BeNumerically("<=", 2550*time.Millisecond))
	})
})

type load struct {
	busiest int           // reads in the busiest second after the first 10
	gap     time.Duration // longest time between two reads of an entry
}

// spread runs the controllers of 840 entries, started together, over a minute of virtual time.
func spread(ctx context.Context, storm bool) (l load) {
	const entries, step = 840, 50 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var heads [entries]*Heads
	var last [entries]time.Duration
	perSecond := map[int]int{}
	for n := range heads {
		heads[n] = newHeads(&headAnswer{})
		heads[n].Random = random.Float64
	}
	for at := time.Duration(0); at < time.Minute; at += step {
		for n, c := range heads {
			s := NewState()
			s.now, s.hinted = time.Unix(1000, 0).Add(at), storm
			for _, task := range c.Reconcile(s) {
				task.Run(ctx).Apply(s)
				perSecond[int(at/time.Second)]++
				l.gap = max(l.gap, at-last[n])
				last[n] = at
			}
		}
	}
	for second, count := range perSecond {
		if second >= 10 {
			l.busiest = max(l.busiest, count)
		}
	}
	return l
}
