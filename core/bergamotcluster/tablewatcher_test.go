package bergamotcluster_test

import (
	"cmp"
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

// watcherFixture is a table watcher with a fake feed and a state.
type watcherFixture struct {
	state    *bergamotcluster.State
	feed     *fakeFeed
	watcher  *bergamotcluster.TableWatcher
	bootTime time.Duration
}

func newWatcher(h bergamotcluster.TableHandler) *watcherFixture {
	f := &watcherFixture{state: newState(0), feed: &fakeFeed{position: bergamotstore.NewPosition(1, 1)}}
	f.watcher = &bergamotcluster.TableWatcher{
		Table: "t", Source: f.feed, Handler: h, MaxWait: time.Second,
		OnStatusChange: func(string, error, time.Duration) {},
	}
	return f
}

// advance moves the clocks forward and runs a read if one is due.
func (f *watcherFixture) advance(d time.Duration) {
	f.bootTime += d
	f.feed.asOf = f.bootTime
	f.state.SetTime(f.state.Now().Add(d))
	runTasks(f.state, f.watcher.Reconcile(f.state))
}

func newConfigHandler() *bergamotcluster.ConfigHandler {
	return &bergamotcluster.ConfigHandler{Key: "config", Decoder: fakeDecoder{}, OnConfig: func(int64, error) {}}
}

var _ = ginkgo.Describe("watching the configuration", func() {
	// Guards against an older configuration taking effect again, for example after a delayed answer.
	ginkgo.It("never goes back to an older version", func() {
		f := newWatcher(newConfigHandler())
		f.feed.rows = []bergamotstore.Row{row("config", "\x07")}
		f.advance(0)
		f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("config", "\x05"), false)}
		f.advance(time.Second)
		gomega.Expect(f.state.Config().Version()).To(gomega.Equal(int64(7)))
	})

	// Guards against keys that are still accepted although the entry was suspended or cut off since the last read.
	ginkgo.It("is confirmed only from the start of a successful read", func() {
		f := newWatcher(newConfigHandler())
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.advance(5 * time.Second)
		gomega.Expect(f.state.View().ConfirmedAt()).To(gomega.Equal(5 * time.Second))
		f.feed.err = errStoreDown
		f.advance(time.Second)
		gomega.Expect(f.state.View().ConfirmedAt()).To(gomega.Equal(5 * time.Second))
	})

	// Guards against changes that are never seen because the store dropped its change history.
	ginkgo.It("reads the whole table again when the change history was dropped", func() {
		f := newWatcher(newConfigHandler())
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.advance(0)
		f.feed.err = bergamotstore.ErrHistoryDropped
		f.advance(time.Second)
		f.feed.err, f.feed.rows = nil, []bergamotstore.Row{row("config", "\x02")}
		f.advance(0)
		gomega.Expect(f.feed.listCalls).To(gomega.Equal(2))
		gomega.Expect(f.state.Config().Version()).To(gomega.Equal(int64(2)))
	})

	// Guards against noticing the end of an outage late because the store holds the read until there is a change.
	ginkgo.It("does not wait for changes while reads fail", func() {
		f := newWatcher(newConfigHandler())
		f.feed.rows = []bergamotstore.Row{row("config", "\x01")}
		f.advance(0)
		f.feed.err = errStoreDown
		f.advance(time.Second)
		f.advance(time.Second)
		gomega.Expect(f.feed.waits).To(gomega.Equal([]time.Duration{time.Second, 0}))
	})

	// Guards against entries that never receive the whole table because all of them read it at once, as 300 entries did.
	ginkgo.It("increases the timeout for the whole table after each failed read", func() {
		f := newWatcher(newConfigHandler())
		f.feed.err = context.DeadlineExceeded
		for range 6 {
			f.advance(time.Second)
		}
		gomega.Expect(f.feed.timeouts[0]).To(gomega.BeNumerically("~", 800*time.Millisecond, 100*time.Millisecond))
		gomega.Expect(f.feed.timeouts[5]).To(gomega.BeNumerically("~", 6*time.Second, 100*time.Millisecond))
	})

	// Guards against entries that keep the store above its rate limit by retrying too soon.
	ginkgo.It("retries less often when the store is above its rate limit", func() {
		f := newWatcher(newConfigHandler())
		f.feed.err = bergamotstore.ErrRateLimited
		for range 10000 {
			f.advance(time.Millisecond)
		}
		gomega.Expect(f.feed.listCalls).To(gomega.BeNumerically("<=", 11))
	})

	// Guards against a flood of calls while the store is down; each call is billed and counts towards the rate limit.
	ginkgo.It("waits between retries of failed reads", func() {
		f := newWatcher(newConfigHandler())
		f.feed.err = errStoreDown
		for range 1000 {
			f.advance(time.Millisecond)
		}
		gomega.Expect(f.feed.listCalls).To(gomega.BeNumerically("<=", 6))
	})
})

type rosterCase struct {
	outage      bool          // reads failed before the row was deleted
	down        time.Duration // for how long, 0 for a second
	leaving     bool          // the runner was leaving
	reregisters bool          // the runner registers again
	after       time.Duration // time from then until the check
	want        bool          // whether the runner is still known
}

var _ = ginkgo.Describe("a runner whose row is missing", func() {
	// Guards against losing all runners because their rows expired during an outage, and against keeping runners that have
	// left, also when a read failed because its connection went silent: such a runner was used for 2 s more.
	bergamottest.Cases(map[string]rosterCase{
		"is removed at once without an outage":           {want: false},
		"stays for a grace period after an outage":       {outage: true, after: time.Second, want: true},
		"is removed at once after a read that failed":    {outage: true, down: 100 * time.Millisecond, want: false},
		"is removed two seconds after an outage":         {outage: true, after: 2500 * time.Millisecond, want: false},
		"stays when it registers again after an outage":  {outage: true, reregisters: true, after: 5 * time.Second, want: true},
		"is removed after an outage when it was leaving": {outage: true, leaving: true, want: false},
	}, func(c rosterCase) {
		roster := &bergamotcluster.Roster{Decoder: fakeDecoder{}, OnRunnerChange: func(bergamotfleet.Instance, string, error) {}}
		f := newWatcher(roster)
		value := "ready"
		if c.leaving {
			value = "leaving"
		}
		f.feed.rows = []bergamotstore.Row{row("x", value)}
		f.advance(0)
		if c.outage {
			f.feed.err = errStoreDown
			f.advance(time.Second)
		}
		f.feed.err, f.feed.changes = nil, []bergamotstore.Change{bergamotstore.NewChange(row("x", ""), true)}
		f.advance(cmp.Or(c.down, time.Second))
		f.feed.changes = nil
		if c.reregisters {
			f.feed.changes = []bergamotstore.Change{bergamotstore.NewChange(row("x", value), false)}
			f.advance(time.Second)
			f.feed.changes = nil
		}
		f.state.SetTime(f.state.Now().Add(c.after))
		runTasks(f.state, roster.Reconcile(f.state))
		_, known := f.state.Runner("x")
		gomega.Expect(known).To(gomega.Equal(c.want))
	})

	// Guards against adding a runner from an invalid row.
	ginkgo.It("is not added from a row that cannot be decoded", func() {
		roster := &bergamotcluster.Roster{Decoder: fakeDecoder{}, OnRunnerChange: func(bergamotfleet.Instance, string, error) {}}
		f := newWatcher(roster)
		f.feed.rows = []bergamotstore.Row{row("x", "broken"), row("y", "ready")}
		f.advance(0)
		gomega.Expect(f.state.Fleet().Instances()).To(gomega.HaveLen(1))
	})
})

type resumedCase struct {
	err     error // of the reads of this table
	resumes bool  // reads of the other table succeed again
	due     bool  // the next read of this table is due at once
}

var _ = ginkgo.Describe("a table whose read failed", func() {
	// Guards against a configuration that comes up to a second after the end of an outage although the entry has noticed it
	// with another table, and against reads that keep the store above its rate limit.
	bergamottest.Cases(map[string]resumedCase{
		"is read at once when another table is read again": {err: errStoreDown, resumes: true, due: true},
		"waits while no other table is read":               {err: errStoreDown},
		"waits while the store limits the rate":            {err: bergamotstore.ErrRateLimited, resumes: true},
	}, func(c resumedCase) {
		f, other := newWatcher(newConfigHandler()), newWatcher(newConfigHandler())
		other.state = f.state
		f.feed.err, other.feed.err = c.err, errStoreDown
		for range 6 { // until the longest delays
			f.advance(2 * time.Second)
			other.advance(0)
		}
		f.advance(2 * time.Second)
		if c.resumes {
			other.feed.err = nil
		}
		other.advance(200 * time.Millisecond)
		gomega.Expect(f.watcher.Next(f.state).After(f.state.Now())).To(gomega.Equal(!c.due))
		before := f.feed.listCalls
		f.advance(0)
		gomega.Expect(f.feed.listCalls > before).To(gomega.Equal(c.due))
	})
})
