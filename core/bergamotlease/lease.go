package bergamotlease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotstore"
)

// Table is the part of the table service that a lease needs.
type Table interface {
	Read(ctx context.Context, key string) (bergamotstore.Row, error)
	// CompareAndSet returns the stored row on a conflict; after an error other than bergamotstore.ErrRejected
	// the write may have taken effect.
	CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (row bergamotstore.Row, ok bool, err error)
}

// TableClock bounds the steady clock of the table service.
type TableClock interface {
	// TableTime returns the times between which the clock of the table service is now; ok is false when it is not known.
	TableTime() (least, most time.Duration, ok bool)
}

// Clock tells the time with a monotonic reading.
type Clock interface{ Now() time.Time }

// Lease acquires and renews one lease. Its methods must not run at the same time.
type Lease struct {
	Table  Table
	Clock  Clock
	Key    string
	Holder string        // unique name of this entry
	Term   time.Duration // time without a renewal after which others may take the lease
	Margin time.Duration // how much earlier the holder gives up; it covers the drift between two clocks
	Stamp  func() string // returns a different value each time
	// Times lets an entry take over a lease whose term has ended by the clock of the table service, although it did not see
	// the last renewal, as after an outage; nil for none.
	Times TableClock

	grant   Grant
	seen    bergamotstore.Row
	seenAt  time.Time
	pending map[string]write
}

// write is one whose outcome is unknown.
type write struct {
	number int64
	sent   time.Time
}

// maxPending bounds the writes with an unknown outcome that are remembered.
const maxPending = 16

// Step renews the lease, or acquires it when it is free or has not been renewed for its term, and returns the grant
// of this entry, which is not valid when another one holds the lease. An error leaves the grant as it was.
func (l *Lease) Step(ctx context.Context) (g Grant, err error) {
	defer func() { err = oops.In("lease").Wrapf(err, "step %s", l.Key) }()
	if r, failed := decode(l.seen.Value()); failed == nil && l.grant.Valid(l.Clock.Now()) && l.pending == nil &&
		r.Holder == l.Holder && r.Number == l.grant.number {
		// The holder knows the row that it wrote last, and the write itself tells when another one has replaced it.
		return l.write(ctx, l.seen, r.Number)
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
	case l.grant.Valid(now) && r.Holder == l.Holder && r.Number == l.grant.number:
		return l.write(ctx, row, r.Number)
	case r.Holder == "" || now.Sub(l.seenAt) >= l.Term || l.ended(r):
		return l.write(ctx, row, r.Number+1)
	default:
		return l.grant, nil
	}
}

// ended tells whether the term of a record has ended by the clock of the table service.
func (l *Lease) ended(r record) bool {
	if l.Times == nil || r.Until == 0 {
		return false
	}
	least, _, ok := l.Times.TableTime()
	return ok && least >= time.Duration(r.Until)*time.Millisecond
}

// until returns the end of a term that begins now, in milliseconds of the clock of the table service, 0 when it is not known.
func (l *Lease) until() int64 {
	if l.Times == nil {
		return 0
	}
	_, most, ok := l.Times.TableTime()
	if !ok {
		return 0
	}
	return (most + l.Term).Milliseconds() + 1
}

// Release gives the lease back, so that another entry need not wait for its term.
func (l *Lease) Release(ctx context.Context) (err error) {
	defer func() { err = oops.In("lease").Wrapf(err, "release %s", l.Key) }()
	number := l.grant.number
	l.grant, l.pending = Grant{}, nil
	if number == 0 {
		return nil
	}
	row, err := l.Table.Read(ctx, l.Key)
	if err != nil {
		return err
	}
	r, err := decode(row.Value())
	if err != nil || r.Holder != l.Holder || r.Number != number {
		return err
	}
	value, err := json.Marshal(record{Number: number, Stamp: l.Stamp()})
	if err != nil {
		return err
	}
	_, _, err = l.Table.CompareAndSet(ctx, l.Key, row.Revision(), value)
	return err
}

// observe notes a row that was read. The term of another holder begins when this entry first sees its write.
func (l *Lease) observe(row bergamotstore.Row) (r record, err error) {
	if r, err = decode(row.Value()); err != nil {
		return r, err
	}
	if row.Revision() != l.seen.Revision() || l.seenAt.IsZero() {
		l.seen, l.seenAt = row, l.Clock.Now()
	}
	if w, ok := l.pending[r.Stamp]; ok {
		// A write whose reply was lost took effect; its term began when it was sent.
		l.hold(w.number, w.sent)
		l.pending = nil
	} else if l.grant.number != 0 && (r.Holder != l.Holder || r.Number != l.grant.number) {
		l.grant = Grant{}
	}
	return r, nil
}

// write stores the lease with a fencing number and reads it back when the reply is lost.
func (l *Lease) write(ctx context.Context, row bergamotstore.Row, number int64) (g Grant, err error) {
	stamp := l.Stamp()
	value, err := json.Marshal(record{Holder: l.Holder, Number: number, Stamp: stamp, Until: l.until()})
	if err != nil {
		return l.grant, err
	}
	w := write{number: number, sent: l.Clock.Now()}
	stored, ok, err := l.Table.CompareAndSet(ctx, l.Key, row.Revision(), value)
	switch {
	case err == nil && ok:
		l.hold(number, w.sent)
		l.pending = nil
		l.seen, l.seenAt = stored, l.Clock.Now()
		return l.grant, nil
	case err == nil:
		_, err = l.observe(stored)
		return l.grant, err
	case errors.Is(err, bergamotstore.ErrRejected):
		return l.grant, err
	}
	if l.pending == nil || len(l.pending) >= maxPending {
		l.pending = map[string]write{}
	}
	l.pending[stamp] = w
	back, failed := l.Table.Read(ctx, l.Key)
	if failed != nil {
		return l.grant, errors.Join(err, failed)
	}
	_, err = l.observe(back)
	return l.grant, err
}

// hold takes a grant whose term began when its write was sent, which is before the table stored it.
func (l *Lease) hold(number int64, sent time.Time) {
	g := Grant{number: number, since: l.grant.since, until: sent.Add(l.Term - l.Margin)}
	if number != l.grant.number {
		g.since = sent
	}
	if g.until.After(l.grant.until) || number != l.grant.number {
		l.grant = g
	}
}
