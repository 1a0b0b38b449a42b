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

// fixedHead is a source that always returns the same result.
type fixedHead struct {
	bundle *bergamotbundle.Bundle
	err    error
	blocks bool // blocks until ctx is done
}

func (a *fixedHead) Head(ctx context.Context, _ *bergamotbundle.Bundle) (*bergamotbundle.Bundle, error) {
	if a.blocks {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return a.bundle, a.err
}

// newHeadReader returns a controller with a period of 2 s.
func newHeadReader(source HeadSource) *HeadReader {
	return &HeadReader{
		Source: source, Period: 2 * time.Second, Timeout: time.Millisecond,
		Random: func() float64 { return 0.5 }, OnError: func(error) {},
	}
}

// stateAt returns a state at the given time after the start of the test, with a bundle of the version in force, none for
// 0.
func stateAt(after time.Duration, version int64) *State {
	s := NewState()
	s.now = time.Unix(1000, 0).Add(after)
	if version > 0 {
		s.bundle = bergamottest.EmptyBundle(version)
	}
	return s
}

type readCase struct {
	version   int64 // in force before the read
	source    fixedHead
	newest    int64 // version that the source returns, 0 for none
	want      int64 // in force after the read
	confirmed bool
}

var _ = ginkgo.Describe("HeadReader", func() {
	// Guards against an entry that puts an older bundle in force or counts as up to date without having read the head.
	bergamottest.Cases(map[string]readCase{
		"puts the first bundle in force":                     {newest: 1, want: 1, confirmed: true},
		"puts a newer bundle in force":                       {version: 1, newest: 3, want: 3, confirmed: true},
		"ignores an older bundle":                            {version: 3, newest: 2, want: 3, confirmed: true},
		"confirms a bundle that is current":                  {version: 3, want: 3, confirmed: true},
		"confirms nothing before the first rollout":          {},
		"confirms nothing when the read fails":               {version: 3, source: fixedHead{err: errors.New("down")}, want: 3},
		"cancels a read without an answer after the timeout": {version: 3, source: fixedHead{blocks: true}, want: 3},
	}, func(c readCase) {
		if c.newest > 0 {
			c.source.bundle = bergamottest.EmptyBundle(c.newest)
		}
		s := stateAt(0, c.version)
		tasks := newHeadReader(&c.source).Reconcile(s)
		gomega.Expect(tasks).To(gomega.HaveLen(1))
		tasks[0].Run(context.Background()).Apply(s)
		version := int64(0)
		if s.Bundle() != nil {
			version = s.Bundle().Version()
		}
		gomega.Expect(version).To(gomega.Equal(c.want))
		gomega.Expect(s.view().ConfirmedAt().IsZero()).To(gomega.Equal(!c.confirmed))
	})

	// Guards against a late read: one that began before a restart of the loop and ends after a later read must not put
	// its older version in force.
	ginkgo.It("ignores the result of a read that ends after a later one", func(ctx context.Context) {
		source := &fixedHead{bundle: bergamottest.EmptyBundle(2)}
		c, s := newHeadReader(source), stateAt(0, 1)
		late := c.Reconcile(s)[0].Run(ctx)
		source.bundle = bergamottest.EmptyBundle(3)
		s = stateAt(3*time.Second, 1)
		c.Reconcile(s)[0].Run(ctx).Apply(s)
		confirmedAt := s.confirmedAt
		late.Apply(s)
		gomega.Expect(s.Bundle().Version()).To(gomega.Equal(int64(3)))
		gomega.Expect(s.confirmedAt).To(gomega.Equal(confirmedAt))
	})

	// Guards against hints that put a version in force without a read, are lost during a read, or overload the table.
	ginkgo.It("reads at once on a hint, but not before the minimum gap has passed", func(ctx context.Context) {
		c, s := newHeadReader(&fixedHead{}), stateAt(0, 2)
		c.Timeout = time.Second
		event := c.Reconcile(s)[0].Run(ctx)
		HeadHint(3).Apply(s)
		s.now = s.now.Add(600 * time.Millisecond)
		gomega.Expect(c.Reconcile(s)).To(gomega.BeEmpty(), "a read is in flight")
		event.Apply(s)
		gomega.Expect(c.Reconcile(s)).To(gomega.HaveLen(1))
		s.now = s.now.Add(400 * time.Millisecond)
		c.reading, s.headHinted = false, true
		gomega.Expect(c.Reconcile(s)).To(gomega.BeEmpty(), "the minimum gap has not passed")
		s.now = s.now.Add(100 * time.Millisecond)
		gomega.Expect(c.Reconcile(s)).To(gomega.HaveLen(1))
		gomega.Expect(s.Bundle().Version()).To(gomega.Equal(int64(2)))
	})

	// Guards against reads for a version that is already in force.
	ginkgo.It("ignores a hint of the version in force", func(ctx context.Context) {
		c, s := newHeadReader(&fixedHead{}), stateAt(0, 2)
		c.Reconcile(s)[0].Run(ctx).Apply(s)
		HeadHint(2).Apply(s)
		s.now = s.now.Add(time.Second)
		gomega.Expect(c.Reconcile(s)).To(gomega.BeEmpty())
	})

	// Guards against a controller that waits forever for a read whose result was lost when the loop restarted.
	ginkgo.It("reads again after a restart of the loop lost a result", func() {
		c, s := newHeadReader(&fixedHead{}), stateAt(0, 2)
		gomega.Expect(c.Reconcile(s)).To(gomega.HaveLen(1))
		gomega.Expect(c.Reconcile(stateAt(3*time.Second, 2))).To(gomega.HaveLen(1))
	})

	// Guards against more reads by 840 entries than the 2,000/s that the table allows, even if each always has a hint,
	// and against more than 2.5 s between two reads of an entry.
	ginkgo.It("stays within the rate limit of the table at 840 entries", func(ctx context.Context) {
		quiet, storm := simulateReads(ctx, false), simulateReads(ctx, true)
		ginkgo.GinkgoWriter.Printf("reads in the busiest second: %d without hints, %d with a hint storm\n", quiet.maxPerSecond, storm.maxPerSecond)
		gomega.Expect(quiet.maxPerSecond).To(gomega.BeNumerically("<", 840))
		gomega.Expect(storm.maxPerSecond).To(gomega.BeNumerically("<", 2000))
		gomega.Expect(quiet.maxGap).To(gomega.BeNumerically("<=", 2550*time.Millisecond))
	})
})

// readLoad is the result of simulateReads.
type readLoad struct {
	maxPerSecond int           // reads in the busiest second after the first 10
	maxGap       time.Duration // maximum time between two reads of an entry
}

// simulateReads simulates 840 entries that start together for a minute of virtual time; in a storm every pass has a hint.
func simulateReads(ctx context.Context, storm bool) (l readLoad) {
	const entries, step = 840, 50 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var heads [entries]*HeadReader
	var last [entries]time.Duration
	perSecond := map[int]int{}
	for n := range heads {
		heads[n] = newHeadReader(&fixedHead{})
		heads[n].Random = random.Float64
	}
	for at := time.Duration(0); at < time.Minute; at += step {
		for n, c := range heads {
			s := NewState()
			s.now, s.headHinted = time.Unix(1000, 0).Add(at), storm
			for _, task := range c.Reconcile(s) {
				task.Run(ctx).Apply(s)
				perSecond[int(at/time.Second)]++
				l.maxGap = max(l.maxGap, at-last[n])
				last[n] = at
			}
		}
	}
	for second, count := range perSecond {
		if second >= 10 {
			l.maxPerSecond = max(l.maxPerSecond, count)
		}
	}
	return l
}
