package bergamotlease

import (
	"errors"

	"bergamotspur/core/bergamotstore"
)

// RestoreOutcome is what a restore of the table service from an older copy means for an entry.
type RestoreOutcome string

// Outcomes of a restore.
const (
	RestoreKept  RestoreOutcome = "kept"  // the entry holds the lease and writes it again
	RestoreWaits RestoreOutcome = "waits" // the entry waits for a term, since the row that named the holder may be lost
	RestoreEnded RestoreOutcome = "ended" // the entry held the lease, and another one has acquired it since the restore
)

// errRestored is returned when an answer comes from another era of the table service than the row on which the call was based.
var errRestored = errors.New("the table service was restored from a copy")

// maxSteps is the number of attempts in one call of AcquireOrRenew, the second one after a restore.
const maxSteps = 2

// tokensPerEra is the number of fencing tokens of an era. Those of the eras before are lower, whatever the copy has lost.
const tokensPerEra = 1 << 32

// isLost reports whether the record in a row tells nothing about who holds the lease: it is of another era than the row, that is,
// of the copy that was restored, or of a delayed request for a row of an earlier era. The lost row may have named another
// holder, whose grant ends within a term after the restore. In the first era no row can be lost.
func isLost(row bergamotstore.Row, r record) bool { return row.Era() > 1 && r.Era != row.Era() }

// nextToken returns the fencing token of an acquisition. The first one of an era is higher than all of the eras before, and
// within it tokens follow the revisions of the row: a delayed request for a lost row may have replaced a record with a higher
// one.
func nextToken(row bergamotstore.Row, r record) int64 {
	if row.Era() <= 1 {
		return r.FencingToken + 1
	}
	return max(r.FencingToken, (row.Era()-1)*tokensPerEra+row.Revision()) + 1
}

// observeAfter updates the state from a row that was read after a write to the row before. It fails with errRestored if the
// two are of different eras.
func (l *Lease) observeAfter(before, row bergamotstore.Row) error {
	if _, err := l.observe(row); err != nil {
		return err
	}
	if row.Era() != before.Era() {
		return errRestored
	}
	return nil
}

// reportRestore passes on what a restore means for this entry, which held the lease or not before it read the row.
func (l *Lease) reportRestore(held, lost bool) {
	switch {
	case held && l.grant.Valid(l.Clock.Now()):
		l.OnRestore(RestoreKept)
	case held:
		l.OnRestore(RestoreEnded)
	case lost:
		l.OnRestore(RestoreWaits)
	}
}
