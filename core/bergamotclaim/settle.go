package bergamotclaim

import (
	"context"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotstore"
)

// Pager lists rows whose keys begin with prefix and come after a key, in order, at most limit.
type Pager interface {
	Page(ctx context.Context, prefix, after string, limit int) ([]bergamotstore.Row, error)
}

const pageSize = 500

// Entry is one call with its row.
type Entry struct {
	row    bergamotstore.Row
	record Record
}

// Workspace returns the workspace of the caller.
func (e Entry) Workspace() string {
	w, _, _ := SplitKey(e.row.Key())
	return w
}

// Key returns the idempotency key.
func (e Entry) Key() string {
	_, k, _ := SplitKey(e.row.Key())
	return k
}

// Record returns the content of the row.
func (e Entry) Record() Record { return e.record }

// Open calls f for each call that has no outcome: dispatched with an unknown outcome, or claimed and not concluded.
func Open(ctx context.Context, table Pager, f func(Entry)) (err error) {
	defer func() { err = oops.In("claim").Wrapf(err, "list claims") }()
	after := ""
	for {
		rows, err := table.Page(ctx, Prefix, after, pageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			after = row.Key()
			record, err := DecodeRecord(row.Value())
			if err != nil {
				return err
			}
			if record.State() == StateUnknown || record.State() == StateClaimed {
				f(Entry{row: row, record: record})
			}
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

// Settlement is what an operator found out about a call.
type Settlement struct {
	Workspace string
	Key       string
	Attempt   string // attempt that the operator looked into
	Operator  string
	Ran       bool
	Ended     bool // the process that claimed the call has ended
}

// Settle records what an operator found out. It fails when the row has another attempt or already an outcome, and when
// a claimed call is to be settled as not run while its process may still dispatch it.
func (c *Claims) Settle(ctx context.Context, s Settlement) (err error) {
	defer func() { err = oops.In("claim").Wrapf(err, "settle %s of workspace %s", s.Key, s.Workspace) }()
	row, err := c.read(ctx, RowKey(s.Workspace, s.Key))
	if err != nil {
		return err
	}
	if row.Revision() == 0 {
		return oops.Errorf("there is no such call")
	}
	old, err := DecodeRecord(row.Value())
	if err != nil {
		return err
	}
	to := StateFree
	if s.Ran {
		to = StateRan
	}
	switch {
	case old.Attempt() != s.Attempt:
		return oops.Errorf("the call now has attempt %s", old.Attempt())
	case old.State() == to && old.By() == s.Operator:
		return nil // an earlier settlement whose reply was lost
	case old.State() != StateUnknown && old.State() != StateClaimed:
		return oops.Errorf("the call is already in state %s", old.State())
	case old.State() == StateClaimed && !s.Ran && !s.Ended:
		return oops.Errorf("a claimed call can be settled as not run only when the process that claimed it has ended")
	}
	switch row, r := c.write(ctx, row.Key(), row.Revision(), old.with(to).settledBy(s.Operator)); r {
	case resultWritten:
		return nil
	case resultConflict:
		return oops.Errorf("the call was changed at the same time to revision %d", row.Revision())
	default:
		return oops.Errorf("the table service did not confirm the write; settle again to see whether it took effect")
	}
}
