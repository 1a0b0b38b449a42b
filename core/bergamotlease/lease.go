package bergamotlease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotstore"
)

// Table reads and writes rows of the table service.
type Table interface {
	Read(ctx context.Context, key string) (bergamotstore.Row, error)
	// CompareAndSet returns the stored row on a conflict; after an error other than bergamotstore.ErrRejected
	// the write may have taken effect.
	CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (row bergamotstore.Row, ok bool, err error)
}

// TableClock estimates the monotonic clock of the table service.
type TableClock interface {
	// TableTime returns bounds of the current time of the table service; ok is false if it is unknown.
	TableTime() (earliest, latest time.Duration, ok bool)
}

// Clock returns the time with a monotonic reading.
type Clock interface{ Now() time.Time }

// Lease acquires and renews one lease. Its methods must not be called concurrently.
type Lease struct {
	Table      Table
	Clock      Clock
	Key        string
	Holder     string        // unique name of this entry
	Term       time.Duration // time without a renewal after which others may take the lease
	Margin     time.Duration // how long before the end of the term the holder stops using the lease; covers the drift between clocks
	NewWriteID func() string // returns a different value each time
	// RemoteClock lets an entry take over a lease whose term has ended by the clock of the table service although the entry
	// did not see the last renewal, as after an outage; nil disables this.
	RemoteClock TableClock

	grant     Grant
	lastRow   bergamotstore.Row
	lastRowAt time.Time               // when this entry first saw lastRow
	pending   map[string]pendingWrite // by write ID
}

// pendingWrite is a write whose outcome is unknown.
type pendingWrite struct {
	fencingToken int64
	sent         time.Time
}

// maxPending bounds the pending writes that are remembered.
const maxPending = 16

// AcquireOrRenew renews the lease, or acquires it if it is free or has not been renewed for its term, and returns the
// grant of this entry, which is not valid while another entry holds the lease. An error leaves the grant unchanged.
func (l *Lease) AcquireOrRenew(ctx context.Context) (g Grant, err error) {
	defer func() { err = oops.In("lease").Wrapf(err, "acquire or renew %s", l.Key) }()
	if r, decodeErr := decodeRecord(l.lastRow.Value()); decodeErr == nil && l.grant.Valid(l.Clock.Now()) && l.pending == nil &&
		r.Holder == l.Holder && r.FencingToken == l.grant.fencingToken {
		// The holder need not read the row that it wrote last: the write fails if another entry has replaced it.
		return l.write(ctx, l.lastRow, r.FencingToken)
	}
	row, err := l.Table.Read(ctx, l.Key)
	if err != nil {
		return l.grant, err
	}
	r, err := l.observe(row)
	if err != nil {
		return l.grant, err
	}
	now := l.Clock.Now()
	switch {
	case l.grant.Valid(now) && r.Holder == l.Holder && r.FencingToken == l.grant.fencingToken:
		return l.write(ctx, row, r.FencingToken)
	case r.Holder == "" || now.Sub(l.lastRowAt) >= l.Term || l.hasExpired(r):
		return l.write(ctx, row, r.FencingToken+1)
	default:
		return l.grant, nil
	}
}

// hasExpired reports whether the term of a record has ended by the clock of the table service.
func (l *Lease) hasExpired(r record) bool {
	if l.RemoteClock == nil || r.ExpiresMS == 0 {
		return false
	}
	earliest, _, ok := l.RemoteClock.TableTime()
	return ok && earliest >= time.Duration(r.ExpiresMS)*time.Millisecond
}

// FreeIn returns how long the term in the row that was read last goes on; it is 0 if the lease is free or that is unknown.
func (l *Lease) FreeIn() time.Duration {
	r, err := decodeRecord(l.lastRow.Value())
	if err != nil || r.Holder == "" || l.RemoteClock == nil || r.ExpiresMS == 0 {
		return 0
	}
	earliest, _, ok := l.RemoteClock.TableTime()
	if !ok {
		return 0
	}
	return max(time.Duration(r.ExpiresMS)*time.Millisecond-earliest, 0)
}

// termEnd returns the latest end of a term that starts now, in milliseconds of the clock of the table service, or 0 if that
// is unknown.
func (l *Lease) termEnd() int64 {
	if l.RemoteClock == nil {
		return 0
	}
	_, latest, ok := l.RemoteClock.TableTime()
	if !ok {
		return 0
	}
	return (latest + l.Term).Milliseconds() + 1
}

// Release gives up the lease, so that another entry can acquire it without waiting for the end of the term.
func (l *Lease) Release(ctx context.Context) (err error) {
	defer func() { err = oops.In("lease").Wrapf(err, "release %s", l.Key) }()
	fencingToken := l.grant.fencingToken
	l.grant, l.pending = Grant{}, nil
	if fencingToken == 0 {
		return nil
	}
	row, err := l.Table.Read(ctx, l.Key)
	if err != nil {
		return err
	}
	r, err := decodeRecord(row.Value())
	if err != nil || r.Holder != l.Holder || r.FencingToken != fencingToken {
		return err
	}
	value, err := json.Marshal(record{FencingToken: fencingToken, WriteID: l.NewWriteID()})
	if err != nil {
		return err
	}
	_, _, err = l.Table.CompareAndSet(ctx, l.Key, row.Revision(), value)
	return err
}

// observe updates the state from a row that was read. The term of another holder is counted from when this entry first
// sees its write.
func (l *Lease) observe(row bergamotstore.Row) (r record, err error) {
	if r, err = decodeRecord(row.Value()); err != nil {
		return r, err
	}
	if row.Revision() != l.lastRow.Revision() || l.lastRowAt.IsZero() {
		l.lastRow, l.lastRowAt = row, l.Clock.Now()
	}
	if w, ok := l.pending[r.WriteID]; ok {
		// A write whose reply was lost took effect. Its term began when it was sent.
		l.updateGrant(w.fencingToken, w.sent)
		l.pending = nil
	} else if l.grant.fencingToken != 0 && (r.Holder != l.Holder || r.FencingToken != l.grant.fencingToken) {
		l.grant = Grant{}
	}
	return r, nil
}

// write stores the lease with a fencing token, and reads it back if the reply is lost.
func (l *Lease) write(ctx context.Context, row bergamotstore.Row, fencingToken int64) (g Grant, err error) {
	writeID := l.NewWriteID()
	value, err := json.Marshal(record{Holder: l.Holder, FencingToken: fencingToken, WriteID: writeID, ExpiresMS: l.termEnd()})
	if err != nil {
		return l.grant, err
	}
	w := pendingWrite{fencingToken: fencingToken, sent: l.Clock.Now()}
	stored, ok, err := l.Table.CompareAndSet(ctx, l.Key, row.Revision(), value)
	switch {
	case err == nil && ok:
		l.updateGrant(fencingToken, w.sent)
		l.pending = nil
		l.lastRow, l.lastRowAt = stored, l.Clock.Now()
		return l.grant, nil
	case err == nil:
		_, err = l.observe(stored)
		return l.grant, err
	case errors.Is(err, bergamotstore.ErrRejected):
		return l.grant, err
	}
	if l.pending == nil || len(l.pending) >= maxPending {
		l.pending = map[string]pendingWrite{}
	}
	l.pending[writeID] = w
	current, readErr := l.Table.Read(ctx, l.Key)
	if readErr != nil {
		return l.grant, errors.Join(err, readErr)
	}
	_, err = l.observe(current)
	return l.grant, err
}

// updateGrant sets the grant of a successful write. Its term is counted from when the write was sent, which is before the
// table stored it.
func (l *Lease) updateGrant(fencingToken int64, sent time.Time) {
	g := Grant{fencingToken: fencingToken, acquiredAt: l.grant.acquiredAt, expiresAt: sent.Add(l.Term - l.Margin)}
	if fencingToken != l.grant.fencingToken {
		g.acquiredAt = sent
	}
	if g.expiresAt.After(l.grant.expiresAt) || fencingToken != l.grant.fencingToken {
		l.grant = g
	}
}
