package bergamotcluster

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotstore"
)

const (
	retryLeast = 100 * time.Millisecond // first wait after a failed read
	retryMost  = 400 * time.Millisecond // longest wait: a store that is back must be noticed within half a second
	// retryBusy is the longest wait after a call beyond the store's rate. With retryMost 300 entries that restart
	// together would make 1,500 calls a second and keep the store beyond its rate.
	retryBusy = 1600 * time.Millisecond
	// pauseMost is the longest time between two reads with changes. A runner that begins to leave must get no work 2 s
	// later, and paths should leave it out much sooner.
	pauseMost = 600 * time.Millisecond
	// leavePause is the time to the next read after a runner began to leave: the one that replaces it registers some 15 ms
	// later and must be known before others are ordered to take the layers (leaveTime).
	leavePause = 40 * time.Millisecond
	// outageLeast is the time without a successful read after which leases have run out.
	outageLeast = 2 * time.Second
	// replyTime is added to the wait that is asked for; a reply that is later counts as lost with its connection.
	// The store answers in 5 ms, and in 0.3 s when it is slow.
	replyTime = 800 * time.Millisecond
	// listMost is the longest time for a whole table. When all entries of a large site start together, their lists
	// share the store's rate and link; the time doubles from replyTime on with each list that does not come through.
	listMost = 6 * time.Second
)

// Feed reads a table and its changes.
type Feed interface {
	// List returns all rows and the version up to which they hold all changes; at is the time of the store's storeClock
	// clock when it answered, 0 when it is not known.
	List(ctx context.Context, table string) (rows []bergamotstore.Row, version int64, at time.Duration, err error)
	// Changes returns the changes after a version as soon as there is one, or none when the wait has passed. It
	// fails with bergamotstore.ErrHistory when they are no longer known.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (
		changes []bergamotstore.Change, version int64, at time.Duration, err error)
}

// Copy is the part of the state that follows a table.
type Copy interface {
	// Replace takes the whole table.
	Replace(s *State, rows []bergamotstore.Row)
	// Change takes one change.
	Change(s *State, c bergamotstore.Change)
	// Resume tells, before the rows of a successful read are taken, for how long reads have failed.
	Resume(s *State, down time.Duration)
	// Confirm records that the copy was complete at a time of the clock that counts suspended time.
	Confirm(s *State, at time.Duration)
}

// Follow is the controller that keeps a copy of a table.
type Follow struct {
	Table  string
	Source Feed
	Copy   Copy
	Wait   time.Duration        // longest time that one read waits for a change
	Pause  time.Duration        // time after a read with changes, so that one read takes several of them; doubles up to pauseMost
	Awake  func() time.Duration // clock that counts suspended time
	Random func() float64       // from 0 (included) to 1 (excluded), nil for no spread of retries
	Report func(table string, err error, down time.Duration)

	clock   storeClock
	listed  bool
	version int64
	running bool
	due     time.Time
	retry   time.Duration
	pause   time.Duration // after the last read, 0 when it had no changes
	failing time.Time

	listTime time.Duration // for the next whole table, 0 for the least
}

// Name returns the name of the table.
func (c *Follow) Name() string { return "follow " + c.Table }

// Next returns when the next read is due.
func (c *Follow) Next(s *State) time.Time {
	if c.running {
		return s.Now().Add(time.Minute)
	}
	return c.due
}

// Reconcile reads the table, or its changes once a whole copy is known.
func (c *Follow) Reconcile(s *State) []Task {
	if c.running || s.Now().Before(c.due) {
		return nil
	}
	c.running = true
	if c.listed {
		return []Task{NewTask(c.Name(), c.changes)}
	}
	return []Task{NewTask(c.Name(), c.list)}
}

func (c *Follow) list(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, max(c.listTime, replyTime))
	defer cancel()
	began := c.Awake()
	rows, version, at, err := c.Source.List(ctx, c.Table)
	return EventFunc(func(s *State) {
		if c.done(s, err) {
			c.listTime = min(2*max(c.listTime, replyTime), listMost)
			return
		}
		c.listTime = 0
		c.listed, c.version = true, version
		c.resume(s)
		c.Copy.Replace(s, rows)
		c.Copy.Confirm(s, c.clock.answered(began, at))
	})
}

func (c *Follow) changes(ctx context.Context) Event {
	wait := c.Wait
	if !c.failing.IsZero() {
		// A read that waits would notice the end of an outage late.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+replyTime)
	defer cancel()
	began := c.Awake()
	changes, version, at, err := c.Source.Changes(ctx, c.Table, c.version, wait)
	return EventFunc(func(s *State) {
		if c.done(s, err) {
			return
		}
		c.version = max(c.version, version)
		c.resume(s)
		for _, change := range changes {
			c.Copy.Change(s, change)
		}
		c.pause = c.paused(len(changes) > 0)
		c.due = s.Now().Add(c.pause)
		if s.left.Equal(s.Now()) {
			c.due = s.Now().Add(min(leavePause, c.pause))
		}
		c.Copy.Confirm(s, c.clock.answered(began, at))
	})
}

// paused returns the time until the next read. While one change follows the other, as when a fleet starts, reads become
// rare, since each of them is priced.
func (c *Follow) paused(changed bool) time.Duration {
	if !changed {
		return 0
	}
	return min(max(2*c.pause, c.Pause), max(c.Pause, pauseMost))
}

// done records the end of a read and tells whether it failed.
func (c *Follow) done(s *State, err error) bool {
	c.running = false
	if err == nil {
		c.due, c.retry = s.Now(), 0
		return false
	}
	if errors.Is(err, bergamotstore.ErrHistory) {
		c.listed, c.due = false, s.Now()
		c.Report(c.Table, err, 0)
		return true
	}
	if c.failing.IsZero() {
		c.failing = s.Now()
		c.Report(c.Table, err, 0)
	}
	most := retryMost
	if errors.Is(err, bergamotstore.ErrBusy) {
		most = retryBusy
	}
	c.retry = min(max(2*c.retry, retryLeast), most)
	c.due = s.Now().Add(c.spread(c.retry))
	return true
}

// spread returns a random time from half of d to d, so that entries that failed together do not return together.
func (c *Follow) spread(d time.Duration) time.Duration {
	if c.Random == nil {
		return d
	}
	return d/2 + time.Duration(c.Random()*float64(d/2))
}

func (c *Follow) resume(s *State) {
	if c.failing.IsZero() {
		return
	}
	down := s.Now().Sub(c.failing)
	c.failing = time.Time{}
	if down >= outageLeast {
		s.resumed = s.Now()
	}
	c.Report(c.Table, nil, down)
	c.Copy.Resume(s, down)
}
