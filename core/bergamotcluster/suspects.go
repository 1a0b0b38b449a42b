package bergamotcluster

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamotsuspect"
)

const (
	// maxFailuresPerWrite is the number of failures that one write adds or removes.
	maxFailuresPerWrite = 50
	// maxPendingFailures bounds the failures that wait for the store. More of them add nothing: two confirm a content.
	maxPendingFailures = 256
	// maxPendingUnstarted bounds those of requests that may only have waited at an instance. When many instances fail
	// together, each entry has hundreds of them, and all entries read what each of them writes.
	maxPendingUnstarted = 16
	// maxStoredFailures is the number of rows from which only failures of requests that ran alone are added. A row has about
	// 150 bytes, and a ledger that has to evict contents is slow.
	maxStoredFailures = 1024
	// failureRetryDelay is the time to the next write after a failed one; the longest is maxFailureRetryDelay.
	failureRetryDelay    = 200 * time.Millisecond
	maxFailureRetryDelay = 5 * time.Second
)

var errTooManyFailures = errors.New("too many failures are stored or wait for the store")

// SuspectLedger holds the failures that entries share.
type SuspectLedger interface {
	Merge(failures []bergamotsuspect.Failure)
	Forget(id string)
}

// FailureTable stores the failures that entries share.
type FailureTable interface {
	// PutFailures writes the rows of failures, and removes those with the given IDs.
	PutFailures(ctx context.Context, put []bergamotsuspect.Failure, remove []string) error
}

// FailureDecoder decodes the row of a failure.
type FailureDecoder interface {
	Failure(key string, value []byte) (bergamotsuspect.Failure, error)
}

// Suspects is the controller that writes the failures which this entry attributes to requests to the store, and the table
// handler that learns those of the other entries. An entry that restarts learns them all.
type Suspects struct {
	Ledger  SuspectLedger
	Table   FailureTable
	Decoder FailureDecoder
	MaxAge  time.Duration // age at which a failure expires and its row is removed
	// OnFailure is called for each failure that is learned from the store, and with an error for each row that cannot be
	// decoded, each failed write, and each failure that is not shared. It may be called by any goroutine.
	OnFailure func(f bergamotsuspect.Failure, err error)
	// OnRewrite is called for each failure that this entry writes or removes again since a restore lost that; nil for none.
	OnRewrite func(f bergamotsuspect.Failure)
	// Random returns a number from 0 (included) to 1 (excluded), nil for 0. It delays what entries write after a restore, so that
	// they do not all write at once.
	Random func() float64

	mu      sync.Mutex
	pending map[string]bergamotsuspect.Failure // to be written, by ID; without contents to be removed

	stored      map[string]time.Time // when the rows expire, by key
	storedCount atomic.Int64         // rows in stored, without those that were expired at the last pass
	writing     bool
	nextWrite   time.Time
	retryDelay  time.Duration // after the last write, 0 when it succeeded
	own         ownFailures
	era         int64 // of the rows, 0 before the first restore
	restored    bool  // the next whole table is the first one after a restore
}

// Share adds a failure to those to be written. It may be called by any goroutine and does not wake the control loop.
func (c *Suspects) Share(f bergamotsuspect.Failure) {
	if !c.addPending(f) {
		c.OnFailure(f, errTooManyFailures)
	}
}

// addPending adds a failure to those to be written and reports whether there was room.
func (c *Suspects) addPending(f bergamotsuspect.Failure) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = map[string]bergamotsuspect.Failure{}
	}
	if _, known := c.pending[f.ID()]; !known && !c.hasRoom(f) {
		return false
	}
	c.pending[f.ID()] = f
	return true
}

// hasRoom reports whether a failure may be added to those to be written. The caller holds the lock.
func (c *Suspects) hasRoom(f bergamotsuspect.Failure) bool {
	if len(c.pending) >= maxPendingFailures {
		return false
	}
	if f.RanAlone() || len(f.Contents()) == 0 {
		return true
	}
	return c.storedCount.Load() < maxStoredFailures && (!f.IsUnstarted() || c.pendingUnstarted() < maxPendingUnstarted)
}

// pendingUnstarted returns how many of the failures to be written are of requests that may only have waited.
func (c *Suspects) pendingUnstarted() (n int) {
	for _, f := range c.pending {
		if f.IsUnstarted() && !f.RanAlone() {
			n++
		}
	}
	return n
}

// Name returns "suspects".
func (c *Suspects) Name() string { return "suspects" }

// Next returns when the next write is due.
func (c *Suspects) Next(s *State) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || len(c.pending) == 0 {
		return s.Now().Add(time.Minute)
	}
	return c.nextWrite
}

// Reconcile writes the pending failures, and removes expired rows with them, so that the table stays small without calls
// of its own.
func (c *Suspects) Reconcile(s *State) []Task {
	if len(c.stored) >= maxStoredFailures {
		c.storedCount.Store(c.countStored(s.Now()))
	}
	put, remove := c.due(s.Now())
	if len(put)+len(remove) == 0 {
		return nil
	}
	c.writing = true
	era, expired := c.era, c.expired(s.Now(), maxFailuresPerWrite-len(remove))
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, ReplyTimeout)
		defer cancel()
		err := c.Table.PutFailures(ctx, put, append(slices.Clone(remove), expired...))
		return EventFunc(func(s *State) { c.finish(s, put, remove, era, err) })
	})}
}

// due takes the failures to write now.
func (c *Suspects) due(now time.Time) (put []bergamotsuspect.Failure, remove []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || now.Before(c.nextWrite) {
		return nil, nil
	}
	for id, f := range c.pending {
		if len(put)+len(remove) == maxFailuresPerWrite {
			break
		}
		if len(f.Contents()) > 0 {
			put = append(put, f)
		} else {
			remove = append(remove, id)
		}
		delete(c.pending, id)
	}
	return put, remove
}

// countStored returns how many rows have not expired. Expired ones stay until the next write.
func (c *Suspects) countStored(now time.Time) (n int64) {
	for _, t := range c.stored {
		if now.Before(t) {
			n++
		}
	}
	return n
}

// expired returns the keys of up to n rows that have expired.
func (c *Suspects) expired(now time.Time, n int) (keys []string) {
	for key, t := range c.stored {
		if len(keys) < n && !now.Before(t) {
			keys = append(keys, key)
		}
	}
	return keys
}

// finish schedules the next write, and the same one again after an error or if the store may have been restored since.
func (c *Suspects) finish(s *State, put []bergamotsuspect.Failure, remove []string, era int64, err error) {
	c.writing = false
	if err == nil && era == c.era {
		c.retryDelay = 0
		c.own.written(put, remove, s.Now(), c.MaxAge)
		return
	}
	c.retryDelay = min(max(2*c.retryDelay, failureRetryDelay), maxFailureRetryDelay)
	c.nextWrite = s.Now().Add(c.retryDelay)
	for _, f := range put {
		c.shareAgain(f)
	}
	for _, id := range remove {
		c.shareAgain(bergamotsuspect.NewCleared(id))
	}
	if err != nil {
		c.OnFailure(bergamotsuspect.Failure{}, err)
	}
}

// shareAgain adds a failure whose write failed or was lost, unless it has changed meanwhile.
func (c *Suspects) shareAgain(f bergamotsuspect.Failure) {
	c.mu.Lock()
	_, changed := c.pending[f.ID()]
	c.mu.Unlock()
	if !changed {
		c.Share(f)
	}
}

// EraChanged prepares for a table that lacks writes of the entries.
func (c *Suspects) EraChanged(s *State, _, to int64) {
	s.enterEra(to)
	c.era, c.restored = to, true
}

// Replace learns all failures; those that are missing from the rows were removed, or lost in a restore.
func (c *Suspects) Replace(s *State, rows []bergamotstore.Row) {
	if c.restored {
		c.replaceRestored(s, rows)
		return
	}
	missing := maps.Clone(c.stored)
	for _, r := range rows {
		delete(missing, r.Key())
		c.applyRow(s, r)
	}
	for key := range missing {
		c.forget(key)
	}
}

// ApplyChange learns or forgets one failure.
func (c *Suspects) ApplyChange(s *State, change bergamotstore.Change) {
	if change.Deleted() {
		c.own.removed(change.Row().Key())
		c.forget(change.Row().Key())
		return
	}
	c.applyRow(s, change.Row())
}

// ReadsResumed does nothing: failures expire by their age.
func (c *Suspects) ReadsResumed(*State, time.Duration) {}

// ConfirmCurrent does nothing: nothing depends on how old the list of failures is.
func (c *Suspects) ConfirmCurrent(*State, time.Duration) {}

func (c *Suspects) forget(key string) {
	delete(c.stored, key)
	c.storedCount.Store(int64(len(c.stored)))
	c.Ledger.Forget(key)
}

func (c *Suspects) applyRow(s *State, r bergamotstore.Row) {
	if c.stored == nil {
		c.stored = map[string]time.Time{}
	}
	f, err := c.Decoder.Failure(r.Key(), r.Value())
	c.stored[r.Key()] = s.Now().Add(c.MaxAge - f.Age())
	c.storedCount.Store(int64(len(c.stored)))
	if err == nil && !c.ownRow(s, f) {
		c.Ledger.Merge([]bergamotsuspect.Failure{f})
	}
	c.OnFailure(f, err)
}
