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
	Table  Table
	Clock  Clock
	Key    string
	Holder string // unique name of this entry
	// Address returns the address at which other entries reach this one, empty if they cannot; nil for none.
	Address    func() string
	Term       time.Duration // time without a renewal after which others may take the lease
	Margin     time.Duration // how long before the end of the term the holder stops using the lease; covers the drift between clocks
	NewWriteID func() string // returns a different value each time
	// RemoteClock lets an entry take over a lease whose term has ended by the clock of the table service although the entry
	// did not see the last renewal, as after an outage; nil disables this.
	RemoteClock TableClock
	// OnRestore is called when the row is first read in a later era of the table service; nil for none.
	OnRestore func(o RestoreOutcome)

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
	for range maxSteps {
		if g, err = l.step(ctx); !errors.Is(err, errRestored) {
			break
		}
	}
	return g, err
}

// step is one attempt of AcquireOrRenew. It fails with errRestored if the table service was restored since the row was read.
func (l *Lease) step(ctx context.Context) (g Grant, err error) {
	if r, decodeErr := decodeRecord(l.lastRow.Value()); decodeErr == nil && l.grant.Valid(l.Clock.Now()) && l.pending == nil &&
		l.isOwn(r) && !isLost(l.lastRow, r) {
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
	case l.grant.Valid(now) && (l.isOwn(r) || isLost(row, r)):
		return l.write(ctx, row, l.grant.fencingToken)
	case now.Sub(l.lastRowAt) >= l.Term || !isLost(row, r) && (r.Holder == "" || l.hasExpired(r)):
		return l.write(ctx, row, nextToken(row, r))
	default:
		return l.grant, nil
	}
}

// isOwn reports whether a record is of the grant of this entry.
func (l *Lease) isOwn(r record) bool {
	return r.Holder == l.Holder && r.FencingToken == l.grant.fencingToken
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
	if err == nil && isLost(l.lastRow, r) {
		return max(l.Term-l.Clock.Now().Sub(l.lastRowAt), 0)
	}
	if err != nil || r.Holder == "" || l.RemoteClock == nil || r.ExpiresMS == 0 {
		return 0
	}
	earliest, _, ok := l.RemoteClock.TableTime()
	if !ok {
		return 0
	}
	return max(time.Duration(r.ExpiresMS)*time.Millisecond-earliest, 0)
}

// HolderAddress returns the address at which the holder in the row that was read last can be reached, empty if it is not known.
func (l *Lease) HolderAddress() string {
	r, err := decodeRecord(l.lastRow.Value())
	if err != nil || r.Holder == "" || isLost(l.lastRow, r) {
		return ""
	}
	return r.Address
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
	held := l.grant
	l.grant, l.pending = Grant{}, nil
	if held.fencingToken == 0 {
		return nil
	}
	row, err := l.Table.Read(ctx, l.Key)
	if err != nil {
		return err
	}
	r, err := decodeRecord(row.Value())
	if err != nil {
		return err
	}
	released := record{FencingToken: held.fencingToken, WriteID: l.NewWriteID(), Era: r.Era}
	switch own := r.Holder == l.Holder && r.FencingToken == held.fencingToken; {
	case held.Valid(l.Clock.Now()) && (own || isLost(row, r)):
		released.Era = row.Era() // nobody else can hold the lease
	case !own:
		return nil
	}
	value, err := json.Marshal(released)
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
	restored, held := !l.lastRowAt.IsZero() && row.Era() != l.lastRow.Era(), l.grant.Valid(l.Clock.Now())
	if restored {
		l.pending = nil // what this entry wrote before is lost
	}
	if restored || row.Revision() != l.lastRow.Revision() || l.lastRowAt.IsZero() {
		l.lastRow, l.lastRowAt = row, l.Clock.Now()
	}
	if w, ok := l.pending[r.WriteID]; ok {
		// A write whose reply was lost took effect. Its term began when it was sent.
		l.updateGrant(w.fencingToken, w.sent)
		l.pending = nil
	} else if l.grant.fencingToken != 0 && !l.isOwn(r) && !isLost(row, r) {
		l.grant = Grant{}
	}
	if restored && l.OnRestore != nil {
		l.reportRestore(held, isLost(row, r))
	}
	return r, nil
}

// write stores the lease with a fencing token, and reads it back if the reply is lost.
func (l *Lease) write(ctx context.Context, row bergamotstore.Row, fencingToken int64) (g Grant, err error) {
	writeID := l.NewWriteID()
	r := record{Holder: l.Holder, FencingToken: fencingToken, WriteID: writeID, ExpiresMS: l.termEnd(), Era: row.Era()}
	if l.Address != nil {
		r.Address = l.Address()
	}
	value, err := json.Marshal(r)
	if err != nil {
		return l.grant, err
	}
	w := pendingWrite{fencingToken: fencingToken, sent: l.Clock.Now()}
	stored, ok, err := l.Table.CompareAndSet(ctx, l.Key, row.Revision(), value)
	switch {
	case err == nil && ok && stored.Era() == row.Era():
		l.updateGrant(fencingToken, w.sent)
		l.pending = nil
		l.lastRow, l.lastRowAt = stored, l.Clock.Now()
		return l.grant, nil
	case err == nil:
		// A conflict, or the revision of the row was given out again after a restore.
		return l.grant, l.observeAfter(row, stored)
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
	return l.grant, l.observeAfter(row, current)
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
