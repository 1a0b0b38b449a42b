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

// idleController is a controller that is not a Scheduler and has no work.
type idleController struct{}

func (idleController) Name() string            { return "idle" }
func (idleController) Reconcile(*State) []Task { return nil }

// dueController is a Scheduler whose next work is always due at the same time from now.
type dueController struct {
	idleController
	wait time.Duration
}

func (d dueController) Next(s *State) time.Time { return s.Now().Add(d.wait) }

// fixedLister returns a list that never changes and records the tags of the reads.
type fixedLister struct{ reads []string }

func (f *fixedLister) List(_ context.Context, tag string) (Listing, error) {
	f.reads = append(f.reads, tag)
	if tag == "one" {
		return NewUnchangedListing(tag, 0), nil
	}
	var list []bergamotfleet.Spec
	for n := range 3100 {
		list = append(list, runnerSpec(n))
	}
	return NewListing("one", 60<<10, list), nil
}

var _ = ginkgo.Describe("the wait of the loop", func() {
	// Guards against a loop that wakes up when nothing is due, and one that spins when a controller is overdue.
	bergamottest.Cases(map[string]struct {
		controllers []Controller
		want        time.Duration
	}{
		"lasts a second without controllers":                 {nil, time.Second},
		"lasts until the first controller is due":            {[]Controller{dueController{wait: 700 * time.Millisecond}, dueController{wait: 30 * time.Millisecond}}, 30 * time.Millisecond},
		"lasts a period for a controller without a schedule": {[]Controller{dueController{wait: time.Hour}, idleController{}}, 50 * time.Millisecond},
		"is never shorter than the minimum":                  {[]Controller{dueController{wait: -time.Hour}}, minWait},
		"is at most a second, so that views stay recent":     {[]Controller{dueController{wait: time.Hour}}, time.Second},
	}, func(c struct {
		controllers []Controller
		want        time.Duration
	},
	) {
		l := &Loop{Period: 50 * time.Millisecond, Controllers: c.controllers}
		gomega.Expect(l.pause(stateAt(0, 1))).To(gomega.Equal(c.want))
	})

	// Guards against passes without a reason: each must run a task or be the one pass per second that renews the view.
	ginkgo.It("ends only when there is work", func(ctx context.Context) {
		source := newFakeProber()
		heads := newHeadReader(&fixedHead{})
		l := &Loop{Period: 50 * time.Millisecond, Controllers: []Controller{
			&InstanceList{Source: &fixedLister{}, Period: time.Second, OnError: func(error) {}}, newProbes(source, 1), heads,
		}}
		s := stateAt(0, 1)
		run := func(d time.Duration) (passes, work int) {
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
		run(20 * time.Minute)
		passes, work := run(10 * time.Minute)
		ginkgo.GinkgoWriter.Printf("%.1f passes/s for %.1f tasks/s\n", float64(passes)/600, float64(work)/600)
		gomega.Expect(passes).To(gomega.BeNumerically("<=", work+600))
	})
})

var _ = ginkgo.Describe("reads of the instance list", func() {
	// Guards against more than 3 KB/s for a list that changes constantly, and against a small list that is read less
	// than once per period.
	bergamottest.Cases(map[string]struct {
		size, maxReads, minReads int // bytes of the list; reads in 10 minutes
	}{
		"happen once a second for 40 instances":      {7 << 10, 600, 600},
		"are bounded for 3,100 instances":            {500 << 10, 5, 4},
		"are bounded for 3,100 instances in gzip":    {60 << 10, 32, 27},
		"happen once a second while nothing changes": {0, 600, 600},
	}, func(c struct{ size, maxReads, minReads int }) {
		list := &InstanceList{Period: time.Second, Random: func() float64 { return 0.5 }}
		s, reads := stateAt(0, 1), 0
		for end := s.now.Add(10 * time.Minute); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
			if len(list.Reconcile(s)) > 0 {
				reads++
				list.delayNextRead(s, c.size)
			}
		}
		gomega.Expect(reads).To(gomega.BeNumerically("<=", c.maxReads))
		gomega.Expect(reads).To(gomega.BeNumerically(">=", c.minReads))
	})

	// Guards against a read that reports the list as unchanged after a restart of the loop emptied the state.
	ginkgo.It("return the whole list after a restart of the loop", func(ctx context.Context) {
		source := &fixedLister{}
		c := &InstanceList{Source: source, Period: time.Second, OnError: func(error) {}}
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

// Guards against a pass or an event that allocates memory for each instance of the fleet: rebuilding the fleet took 5 MB
// per event.
func TestAllocationsOfThePass(t *testing.T) {
	s, c, names := probedState(3100)
	if n := testing.AllocsPerRun(100, func() { c.Reconcile(s); s.view() }); n > 1 {
		t.Errorf("a pass without events makes %g allocations, at most 1 is allowed", n)
	}
	name := names[0]
	if n := testing.AllocsPerRun(100, func() {
		c.applyResult(s, name, s.now, NewReport(1, 0, false, nil), nil)
		c.Reconcile(s)
		s.view()
	}); n > 20 {
		t.Errorf("an event makes %g allocations, at most 20 are allowed", n)
	}
}
