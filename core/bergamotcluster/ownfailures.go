package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamotsuspect"
)

const (
	// maxOwnFailures bounds the failures that an entry writes again after a restore. The table seldom has more rows of all entries.
	maxOwnFailures = maxStoredFailures
	// maxRewriteDelay is the longest time to the first write after a restore.
	maxRewriteDelay = time.Second
)

// ownFailures remembers the rows of failures that this entry was the last one to write or remove. After a restore of the store
// from an older copy, it alone writes or removes them again, so that the calls do not grow with the entries.
type ownFailures struct {
	byID map[string]ownFailure
}

// ownFailure is a failure whose row this entry wrote, or removed if it has no contents.
type ownFailure struct {
	failure bergamotsuspect.Failure
	at      time.Time // of the failure, or of the removal
}

// written remembers rows that were written or removed, until they expire.
func (o *ownFailures) written(put []bergamotsuspect.Failure, remove []string, now time.Time, maxAge time.Duration) {
	if o.byID == nil {
		o.byID = map[string]ownFailure{}
	}
	for id, f := range o.byID {
		if now.Sub(f.at) >= maxAge {
			delete(o.byID, id)
		}
	}
	for _, f := range put {
		o.add(f, now.Add(-f.Age()))
	}
	for _, id := range remove {
		o.add(bergamotsuspect.NewCleared(id), now)
	}
}

func (o *ownFailures) add(f bergamotsuspect.Failure, at time.Time) {
	if _, known := o.byID[f.ID()]; known || len(o.byID) < maxOwnFailures {
		o.byID[f.ID()] = ownFailure{f, at}
	}
}

// removed records that a row was removed. If this entry had written it last, another one has removed it.
func (o *ownFailures) removed(id string) {
	if len(o.byID[id].failure.Contents()) > 0 {
		delete(o.byID, id)
	}
}

// changed records the row of a failure. If it has fewer contents than this entry had written, another one has written it since.
func (o *ownFailures) changed(f bergamotsuspect.Failure) {
	if own, ok := o.byID[f.ID()]; ok && f.IsNarrowerThan(own.failure) {
		delete(o.byID, f.ID())
	}
}

// replaceRestored learns the failures in the copy of a restored table. Failures that are missing from it are lost, not removed:
// they expire in the ledger, and the entry that wrote them last writes them again.
func (c *Suspects) replaceRestored(s *State, rows []bergamotstore.Row) {
	lost := map[string]ownFailure{}
	for id, own := range c.own.byID {
		if len(own.failure.Contents()) > 0 && s.Now().Sub(own.at) < c.MaxAge {
			lost[id] = own
		}
	}
	clear(c.stored)
	for _, r := range rows {
		c.applyRow(s, r)
		delete(lost, r.Key())
	}
	c.storedCount.Store(int64(len(c.stored)))
	c.restored = false
	for _, own := range lost {
		c.rewrite(s, own)
	}
}

// ownRow reports whether the row of a failure is an older one in a restored table, in place of which this entry writes its own
// again.
func (c *Suspects) ownRow(s *State, f bergamotsuspect.Failure) bool {
	c.own.changed(f)
	own, ok := c.own.byID[f.ID()]
	if !c.restored || !ok || !own.failure.IsNarrowerThan(f) {
		return false
	}
	c.rewrite(s, own)
	return true
}

// rewrite writes or removes the row of an own failure again.
func (c *Suspects) rewrite(s *State, own ownFailure) {
	if c.Random != nil && !c.nextWrite.After(s.Now()) {
		c.nextWrite = s.Now().Add(time.Duration(c.Random() * float64(maxRewriteDelay)))
	}
	f := own.failure
	if len(f.Contents()) > 0 {
		f = f.WithAge(s.Now().Sub(own.at))
	}
	c.shareAgain(f)
	if c.OnRewrite != nil {
		c.OnRewrite(f)
	}
}
