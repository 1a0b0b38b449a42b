package bergamotcluster

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
)

const (
	minRetryDelay = 100 * time.Millisecond // delay after the first failed read
	maxRetryDelay = 400 * time.Millisecond // the end of an outage must be noticed within half a second
	// maxRateLimitedDelay replaces maxRetryDelay while the store rejects reads because of its rate limit. With
	// maxRetryDelay, 300 entries that restart together would make 1,500 calls a second and keep the store above it.
	maxRateLimitedDelay = 1600 * time.Millisecond
	// maxPause limits the pause after a read that returned changes. A runner must receive no work 2 s after it starts
	// leaving, and paths should avoid it much sooner.
	maxPause = 600 * time.Millisecond
	// leavingPause is the time to the next read after a runner started leaving. Its replacement registers about 15 ms
	// later and must be known before other runners are ordered to take the layers (leavePlanDelay).
	leavingPause = 40 * time.Millisecond
	// minOutage is the shortest time without a successful read that counts as an outage; by then leases have expired.
	minOutage = 2 * time.Second
	// ReplyTimeout is the time for a reply of the store in addition to the requested wait; after it the reply and its
	// connection count as lost. The store answers within 5 ms, or 0.3 s when it is slow.
	ReplyTimeout = 800 * time.Millisecond
	// maxListTimeout limits the timeout for reading a whole table. When all entries of a large site start together,
	// their reads share the store's rate limit and network link, so the timeout starts at ReplyTimeout and doubles
	// with each failed read.
	maxListTimeout = 6 * time.Second
)

// Feed reads a table, whole or only its changes.
type Feed interface {
	// List returns all rows of a table.
	List(ctx context.Context, table string) (bergamotmirror.Reading, error)
	// Changes returns the changes after a position as soon as there is one, or none when the wait, or a shorter time, has
	// passed. If these changes are no longer known, it returns the whole table or fails with bergamotstore.ErrHistoryDropped.
	Changes(ctx context.Context, table string, after bergamotstore.Position, wait time.Duration) (bergamotmirror.Reading, error)
}

// TableHandler applies the rows and changes of a table to the control state.
type TableHandler interface {
	// EraChanged is called before Replace if the table service was restored from an older copy since the rows that the state
	// matches were read: writes of the era from may be missing from the rows, which are of the era to. Versions and revisions
	// of both cannot be compared.
	EraChanged(s *State, from, to int64)
	// Replace applies the whole table; rows that are missing from it have been deleted.
	Replace(s *State, rows []bergamotstore.Row)
	// ApplyChange applies one change of a row.
	ApplyChange(s *State, c bergamotstore.Change)
	// ReadsResumed is called for the first successful read after failed ones, before its rows are applied; down is how
	// long reads failed.
	ReadsResumed(s *State, down time.Duration)
	// ConfirmCurrent records that the state matched the table at a time of the clock that counts suspended time.
	ConfirmCurrent(s *State, at time.Duration)
}

// TableWatcher is the controller that reads a table, then its changes, and passes both to a handler.
type TableWatcher struct {
	Table    string
	Source   Feed
	Handler  TableHandler
	MaxWait  time.Duration  // how long one read waits for a change
	MinPause time.Duration  // pause after a read with changes, so that the next one returns several; doubles up to maxPause
	Random   func() float64 // returns a number from 0 (included) to 1 (excluded), nil for retries without jitter
	// OnStatusChange is called with the error when reads begin to fail or the change history was dropped, and without
	// one when reads succeed again after failing for the time down.
	OnStatusChange func(table string, err error, down time.Duration)
	// OnEraChange is called when the table is of a later era than before, with the last position of the era before and the
	// first one of the new era; nil for none.
	OnEraChange func(table string, last, first bergamotstore.Position)

	synced       bool                   // whether the whole table has been read
	position     bergamotstore.Position // of the table at the last successful read
	reading      bool
	nextRead     time.Time
	lastRead     time.Time     // start of the last read
	retryDelay   time.Duration // after the last read, 0 when it succeeded
	pause        time.Duration // after the last read, 0 when it had no changes
	failingSince time.Time     // zero while reads succeed

	listTimeout time.Duration // for the next read of the whole table, 0 for ReplyTimeout
}

// Name returns "follow" and the name of the table.
func (c *TableWatcher) Name() string { return "follow " + c.Table }

// Next returns when the next read is due.
func (c *TableWatcher) Next(s *State) time.Time {
	switch {
	case c.reading:
		return s.Now().Add(time.Minute)
	case c.hasResumed(s):
		return s.Now()
	default:
		return c.nextRead
	}
}

// hasResumed reports whether the last read failed, and a read of another table has succeeded since it was started. The next
// one then need not wait, unless the store rejects reads because of its rate limit.
func (c *TableWatcher) hasResumed(s *State) bool {
	return !c.failingSince.IsZero() && c.retryDelay <= maxRetryDelay && s.lastResumed.After(c.lastRead)
}

// Reconcile reads the whole table first, and its changes after that.
func (c *TableWatcher) Reconcile(s *State) []Task {
	if c.reading || s.Now().Before(c.nextRead) && !c.hasResumed(s) {
		return nil
	}
	c.reading, c.lastRead = true, s.Now()
	if c.synced {
		return []Task{NewTask(c.Name(), c.readChanges)}
	}
	return []Task{NewTask(c.Name(), c.readTable)}
}

// readTable is a task that reads the whole table.
func (c *TableWatcher) readTable(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, max(c.listTimeout, ReplyTimeout))
	defer cancel()
	reading, err := c.Source.List(ctx, c.Table)
	return EventFunc(func(s *State) {
		if c.finishRead(s, err) {
			c.listTimeout = min(2*max(c.listTimeout, ReplyTimeout), maxListTimeout)
			return
		}
		c.listTimeout = 0
		c.endOutage(s)
		c.replace(s, reading)
	})
}

// replace passes the whole table to the handler.
func (c *TableWatcher) replace(s *State, reading bergamotmirror.Reading) {
	last, first := c.position, reading.Position()
	c.synced, c.position = true, first
	if !first.SameEra(last) {
		if c.OnEraChange != nil {
			c.OnEraChange(c.Table, last, first)
		}
		c.Handler.EraChanged(s, last.Era(), first.Era())
	}
	c.Handler.Replace(s, reading.Rows())
	c.Handler.ConfirmCurrent(s, reading.AsOf())
}

// readChanges is a task that reads the changes since the last read.
func (c *TableWatcher) readChanges(ctx context.Context) Event {
	wait := c.MaxWait
	if !c.failingSince.IsZero() {
		// A read that waits for changes would not notice the end of an outage until it returns.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+ReplyTimeout)
	defer cancel()
	reading, err := c.Source.Changes(ctx, c.Table, c.position, wait)
	return EventFunc(func(s *State) {
		if c.finishRead(s, err) {
			return
		}
		c.endOutage(s)
		if reading.Whole() {
			c.pause = 0
			c.replace(s, reading)
			return
		}
		c.position = reading.Position()
		for _, change := range reading.Changes() {
			c.Handler.ApplyChange(s, change)
		}
		// A reading that another entry passed on costs no call to the store, and that entry has paused already.
		c.pause = c.nextPause(len(reading.Changes()) > 0 && !reading.Relayed())
		c.nextRead = s.Now().Add(c.pause)
		if s.lastLeaving.Equal(s.Now()) {
			c.nextRead = s.Now().Add(min(leavingPause, c.pause))
		}
		c.Handler.ConfirmCurrent(s, reading.AsOf())
	})
}

// nextPause returns the time until the next read. During a long series of changes, such as the start of a fleet, it
// grows, since each read is billed.
func (c *TableWatcher) nextPause(changed bool) time.Duration {
	if !changed {
		return 0
	}
	return min(max(2*c.pause, c.MinPause), max(c.MinPause, maxPause))
}

// finishRead schedules the next read and reports whether this one failed.
func (c *TableWatcher) finishRead(s *State, err error) bool {
	c.reading = false
	if err == nil {
		c.nextRead, c.retryDelay = s.Now(), 0
		return false
	}
	if errors.Is(err, bergamotstore.ErrHistoryDropped) {
		c.synced, c.nextRead = false, s.Now()
		c.OnStatusChange(c.Table, err, 0)
		return true
	}
	if c.failingSince.IsZero() {
		c.failingSince = s.Now()
		c.OnStatusChange(c.Table, err, 0)
	}
	maxDelay := maxRetryDelay
	if errors.Is(err, bergamotstore.ErrRateLimited) {
		maxDelay = maxRateLimitedDelay
	}
	c.retryDelay = min(max(2*c.retryDelay, minRetryDelay), maxDelay)
	c.nextRead = s.Now().Add(c.jitter(c.retryDelay))
	return true
}

// jitter returns a random time between d/2 and d, so that entries whose reads failed together do not retry together.
func (c *TableWatcher) jitter(d time.Duration) time.Duration {
	if c.Random == nil {
		return d
	}
	return d/2 + time.Duration(c.Random()*float64(d/2))
}

// endOutage reports that reads succeed again, if they failed before.
func (c *TableWatcher) endOutage(s *State) {
	if c.failingSince.IsZero() {
		return
	}
	down := s.Now().Sub(c.failingSince)
	c.failingSince, s.lastResumed = time.Time{}, s.Now()
	if down >= minOutage {
		s.outageEnd = s.Now()
	}
	c.OnStatusChange(c.Table, nil, down)
	c.Handler.ReadsResumed(s, down)
}
