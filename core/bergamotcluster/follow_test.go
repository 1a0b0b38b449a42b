package bergamotcluster_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

type following struct {
	state *bergamotcluster.State
	feed  *table
	ctrl  *bergamotcluster.Follow
	awake time.Duration
}

func newFollowing(c bergamotcluster.Copy) *following {
	f := &following{state: newState(0), feed: &table{version: 1}}
	f.ctrl = &bergamotcluster.Follow{
		Table: "t", Source: f.feed, Copy: c, Wait: time.Second, Awake: func() time.Duration { return f.awake },
		Report: func(string, error, time.Duration) {},
	}
	return f
}

// pass moves the time and lets the controller read once if it is due.
func (f *following) pass(d time.Duration) {
	f.awake += d
	f.state.Wake(f.state.Now().Add(d))
	run(f.state, f.ctrl.Reconcile(f.state))
}

func newConfigs() *bergamotcluster.Configs {
	return &bergamotcluster.Configs{Key: "config", Decoder: decoder{}, Report: func(int64, error) {}}
}

var _ = ginkgo.Describe("following the configuration", func() {
	// Guards against an older configuration that returns, for example from a read that was answered late.
	ginkgo.It("never goes back to an older version", func() {
		f := newFollowing(newConfigs())
		f.feed.rows = []bergamotstore.Row{row("config", "\x07")}
		f.pass(0)
		f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("config", "\x05"), false)}
		f.pass(time.Second)
		gomega.Expect(f.state.Config().Version()).To(gomega.Equal(int64(7)))
	})

	// Guards against keys that count as valid although the entry was suspended or cut off since the last read.
	ginkgo.It("confirms from the beginning of a successful read only", func() {
		f := newFollowing(newConfigs())
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.pass(5 * time.Second)
		gomega.Expect(f.state.View().Confirmed()).To(gomega.Equal(5 * time.Second))
		f.feed.err = errDown
		f.pass(time.Second)
		gomega.Expect(f.state.View().Confirmed()).To(gomega.Equal(5 * time.Second))
	})

	// Guards against a copy that misses changes for good after the store has dropped its history.
	ginkgo.It("reads the whole table again when the history is gone", func() {
		f := newFollowing(newConfigs())
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.pass(0)
		f.feed.err = bergamotstore.ErrHistory
		f.pass(time.Second)
		f.feed.err, f.feed.rows = nil, []bergamotstore.Row{row("config", "\x02")}
		f.pass(0)
		gomega.Expect(f.feed.lists).To(gomega.Equal(2))
		gomega.Expect(f.state.Config().Version()).To(gomega.Equal(int64(2)))
	})

	// Guards against an end of an outage that is noticed late: the store answers, but the read waits for a change.
	ginkgo.It("does not wait for changes while reads fail", func() {
		f := newFollowing(newConfigs())
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.pass(0)
		f.feed.err = errDown
		f.pass(time.Second)
		f.pass(time.Second)
		gomega.Expect(f.feed.waits).To(gomega.Equal([]time.Duration{time.Second, 0}))
	})

	// Guards against entries that never get the whole table because all of them ask at once (sweep of 300 entries).
	ginkgo.It("gives a whole table more time after each list that does not come through", func() {
		f := newFollowing(newConfigs())
		f.feed.err = context.DeadlineExceeded
		for range 6 {
			f.pass(time.Second)
		}
		gomega.Expect(f.feed.times[0]).To(gomega.BeNumerically("~", 800*time.Millisecond, 100*time.Millisecond))
		gomega.Expect(f.feed.times[5]).To(gomega.BeNumerically("~", 6*time.Second, 100*time.Millisecond))
	})

	// Guards against entries that keep the store beyond its rate by asking again too soon.
	ginkgo.It("asks a store less often that gets too many calls", func() {
		f := newFollowing(newConfigs())
		f.feed.err = bergamotstore.ErrBusy
		for range 10000 {
			f.pass(time.Millisecond)
		}
		gomega.Expect(f.feed.lists).To(gomega.BeNumerically("<=", 11))
	})

	// Guards against a stream of calls to a store that is down; each is priced and counts against its rate.
	ginkgo.It("spaces reads that fail", func() {
		f := newFollowing(newConfigs())
		f.feed.err = errDown
		for range 1000 {
			f.pass(time.Millisecond)
		}
		gomega.Expect(f.feed.lists).To(gomega.BeNumerically("<=", 6))
	})
})

type steadyCase struct {
	reads [][2]time.Duration // when a read began, and the store's clock in its answer
	want  time.Duration      // what the last read confirms
}

var _ = ginkgo.Describe("the time that a read confirms", func() {
	const s = time.Second
	// Guards against keys that are refused seconds too early because a read that waited counts from its beginning, and
	// against a time that lies after the answer.
	bergamottest.Entries(map[string]steadyCase{
		"is its beginning without the store's clock":         {[][2]time.Duration{{9 * s, 0}}, 9 * s},
		"is its beginning for the first read":                {[][2]time.Duration{{9 * s, 100 * s}}, 9 * s},
		"is when the store answered after a wait":            {[][2]time.Duration{{9 * s, 100 * s}, {10 * s, 103 * s}}, 12 * s},
		"is never before its beginning":                      {[][2]time.Duration{{9 * s, 100 * s}, {12 * s, 101 * s}}, 12 * s},
		"is not fooled by an answer that came late":          {[][2]time.Duration{{9 * s, 102 * s}, {12 * s, 105 * s}}, 12 * s},
		"counts from the tightest read so far":               {[][2]time.Duration{{9 * s, 102 * s}, {13 * s, 104 * s}, {14 * s, 107 * s}}, 16 * s},
		"forgets a comparison that is more than windows old": {[][2]time.Duration{{9 * s, 100 * s}, {400 * s, 495 * s}, {800 * s, 895 * s}, {1200 * s, 1297 * s}}, 1202 * s},
	}, func(c steadyCase) {
		f := newFollowing(newConfigs())
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		for _, r := range c.reads {
			f.feed.at = r[1]
			f.pass(r[0] - f.awake)
		}
		gomega.Expect(f.state.View().Confirmed()).To(gomega.Equal(c.want))
	})
})

type rosterCase struct {
	outage  bool          // reads failed before the entry was removed
	leaving bool          // the runner had said that it leaves
	back    bool          // it registers again
	after   time.Duration // when the test looks
	want    bool          // it is known
}

var _ = ginkgo.Describe("a runner whose entry is missing", func() {
	// Guards against a fleet that is lost because its entries lapsed during an outage, and against runners that stay
	// known after they have left.
	bergamottest.Entries(map[string]rosterCase{
		"is gone at once in calm times":                 {want: false},
		"stays for a while after an outage":             {outage: true, after: time.Second, want: true},
		"is gone two seconds after an outage":           {outage: true, after: 2500 * time.Millisecond, want: false},
		"stays when it registers again after an outage": {outage: true, back: true, after: 5 * time.Second, want: true},
		"is gone after an outage when it was leaving":   {outage: true, leaving: true, want: false},
	}, func(c rosterCase) {
		roster := &bergamotcluster.Roster{Decoder: decoder{}, Report: func(bergamotfleet.Instance, string, error) {}}
		f := newFollowing(roster)
		value := "ready"
		if c.leaving {
			value = "leaving"
		}
		f.feed.rows = []bergamotstore.Row{row("x", value)}
		f.pass(0)
		if c.outage {
			f.feed.err = errDown
			f.pass(time.Second)
		}
		f.feed.err, f.feed.changes = nil, []bergamotstore.Change{bergamotstore.NewChange(row("x", ""), true)}
		f.pass(time.Second)
		f.feed.changes = nil
		if c.back {
			f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("x", value), false)}
			f.pass(time.Second)
			f.feed.changes = nil
		}
		f.state.Wake(f.state.Now().Add(c.after))
		run(f.state, roster.Reconcile(f.state))
		_, known := f.state.Runner("x")
		gomega.Expect(known).To(gomega.Equal(c.want))
	})

	// Guards against a stale or foreign entry that names a runner.
	ginkgo.It("is not known by an entry that cannot be read", func() {
		roster := &bergamotcluster.Roster{Decoder: decoder{}, Report: func(bergamotfleet.Instance, string, error) {}}
		f := newFollowing(roster)
		f.feed.rows = []bergamotstore.Row{row("x", "broken"), row("y", "ready")}
		f.pass(0)
		gomega.Expect(f.state.Fleet().Instances()).To(gomega.HaveLen(1))
	})
})
