package bergamotcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamottest"
)

// idle is a controller without a schedule.
type idle struct{}

func (idle) Name() string            { return "idle" }
func (idle) Reconcile(*State) []Task { return nil }

// due is a controller that always has work at the same distance from now.
type due struct {
	idle
	in time.Duration
}

func (d due) Next(s *State) time.Time { return s.Now().Add(d.in) }

// fixedList is a list whose content does not change.
type fixedList struct{ reads []string }

func (f *fixedList) List(_ context.Context, tag string) (Listing, error) {
	f.reads = append(f.reads, tag)
	if tag == "one" {
		return NewUnchanged(tag, 0), nil
	}
	var list []bergamotfleet.Spec
	for n := range 3100 {
		list = append(list, runnerSpec(n))
	}
	return NewListing("one", 60<<10, list), nil
}

var _ = ginkgo.Describe("the wait of the loop", func() {
	// Guards against a loop that polls when nothing is due, and one that spins when a controller is late.
	bergamottest.Entries(map[string]struct {
		controllers []Controller
		want        time.Duration
	}{
		"lasts a second without controllers":                 {nil, time.Second},
		"lasts until the first controller is due":            {[]Controller{due{in: 700 * time.Millisecond}, due{in: 30 * time.Millisecond}}, 30 * time.Millisecond},
		"lasts a period for a controller without a schedule": {[]Controller{due{in: time.Hour}, idle{}}, 50 * time.Millisecond},
		"is never shorter than the minimum":                  {[]Controller{due{in: -time.Hour}}, minWait},
		"is at most a second, so that views do not grow old": {[]Controller{due{in: time.Hour}}, time.Second},
	}, func(c struct {
		controllers []Controller
		want        time.Duration
	},
	) {
		l := &Loop{Period: 50 * time.Millisecond, Controllers: c.controllers}
		gomega.Expect(l.pause(stateAt(0, 1))).To(gomega.Equal(c.want))
	})

	// Guards against passes for which nothing has happened: each must have a probe, a read or the second of the
	// view as its reason.
	ginkgo.It("wakes the loop only for work", func(ctx context.Context) {
		source := newProber()
		heads := newHeads(&headAnswer{})
		l := &Loop{Period: 50 * time.Millisecond, Controllers: []Controller{
			&Instances{Source: &fixedList{}, Period: time.Second, Report: func(error) {}}, newProbes(source, 1), heads,
		}}
		s := stateAt(0, 1)
		drive := func(d time.Duration) (passes, work int) {
			for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(l.pause(s)) {
				passes++
				for _, c := range l.Controllers {
					for _, t := range c.Reconcile(s) {
						work++
						t.Run(ctx).Apply(s)
					}
				}
				s.view()
			}
			return passes, work
		}
		drive(20 * time.Minute)
		passes, work := drive(10 * time.Minute)
		ginkgo.GinkgoWriter.Printf("%.1f passes/s for %.1f tasks/s\n", float64(passes)/600, float64(work)/600)
		gomega.Expect(passes).To(gomega.BeNumerically("<=", work+600))
	})
})

var _ = ginkgo.Describe("the reads of the list", func() {
	// Guards against more than 3 KB/s for a list that changes all the time, and against a small one that is read
	// more seldom than once in the period.
	bergamottest.Entries(map[string]struct {
		size, most, least int // bytes of a list; reads in 10 minutes
	}{
		"are one a second for 40 instances":       {7 << 10, 600, 600},
		"are bounded for 3,100 instances":         {500 << 10, 5, 4},
		"are bounded for 3,100 instances in gzip": {60 << 10, 32, 27},
		"are one a second while nothing changes":  {0, 600, 600},
	}, func(c struct{ size, most, least int }) {
		list := &Instances{Period: time.Second, Random: func() float64 { return 0.5 }}
		s, reads := stateAt(0, 1), 0
		for end := s.now.Add(10 * time.Minute); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
			if len(list.Reconcile(s)) > 0 {
				reads++
				list.delay(s, c.size)
			}
		}
		gomega.Expect(reads).To(gomega.BeNumerically("<=", c.most))
		gomega.Expect(reads).To(gomega.BeNumerically(">=", c.least))
	})

	// Guards against a loop that was restarted with an empty state, and is told that nothing has changed.
	ginkgo.It("are whole again after a restart of the loop", func(ctx context.Context) {
		source := &fixedList{}
		c := &Instances{Source: source, Period: time.Second, Report: func(error) {}}
		s := stateAt(0, 1)
		c.Reconcile(s)[0].Run(ctx).Apply(s)
		s.now = s.now.Add(time.Hour)
		late := c.Reconcile(s)[0].Run(ctx)
		s = stateAt(2*time.Hour, 1)
		tasks := c.Reconcile(s)
		late.Apply(s)
		gomega.Expect(s.instances).To(gomega.BeEmpty())
		tasks[0].Run(ctx).Apply(s)
		gomega.Expect(source.reads).To(gomega.Equal([]string{"", "one", ""}))
		gomega.Expect(len(s.instances)).To(gomega.Equal(3100))
	})
})

// Guards against a pass or an event that allocates for each instance of the fleet: building the fleet anew took
// 5 MB for each event.
func TestAllocationsOfThePass(t *testing.T) {
	s, c, names := settled(3100)
	if n := testing.AllocsPerRun(100, func() { c.Reconcile(s); s.view() }); n > 1 {
		t.Errorf("a pass without events makes %g allocations, at most 1 is allowed", n)
	}
	name := names[0]
	if n := testing.AllocsPerRun(100, func() {
		c.apply(s, name, s.now, NewReport(1, 0, false, nil), nil)
		c.Reconcile(s)
		s.view()
	}); n > 20 {
		t.Errorf("an event makes %g allocations, at most 20 are allowed", n)
	}
}
