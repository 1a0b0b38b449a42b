package bergamotclaim

import (
	"context"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotstore"
)

// Pager returns up to limit rows whose keys start with prefix and follow after, in key order.
type Pager interface {
	Page(ctx context.Context, prefix, after string, limit int) ([]bergamotstore.Row, error)
}

const pageSize = 500

// OpenCall is a call that has no outcome, with its row.
type OpenCall struct {
	row    bergamotstore.Row
	record Record
}

// Workspace returns the workspace that made the call.
func (e OpenCall) Workspace() string {
	w, _, _ := SplitKey(e.row.Key())
	return w
}

// Key returns the idempotency key.
func (e OpenCall) Key() string {
	_, k, _ := SplitKey(e.row.Key())
	return k
}

// Record returns the record in the row.
func (e OpenCall) Record() Record { return e.record }

// WalkOpenCalls calls f for each call that has no outcome, in state claimed or unknown. It returns an error when the
// table cannot be read or a row cannot be decoded.
func WalkOpenCalls(ctx context.Context, table Pager, f func(OpenCall)) (err error) {
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
				f(OpenCall{row: row, record: record})
			}
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

// Settlement is the outcome of a call as determined by an operator.
type Settlement struct {
	Workspace string
	Key       string
	Attempt   string // attempt that the operator investigated
	Operator  string
	Ran       bool
	Ended     bool // the process that claimed the call has ended
}

// Settle records the outcome that an operator determined. It returns an error when the row has another attempt or
// already an outcome, when the call is still claimed, settled as not run and its process may yet dispatch it, or when
// the table does not confirm the write.
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
	newState := StateFree
	if s.Ran {
		newState = StateRan
	}
	switch {
	case old.Attempt() != s.Attempt:
		return oops.Errorf("the call now has attempt %s", old.Attempt())
	case old.State() == newState && old.SettledBy() == s.Operator:
		return nil // an earlier settlement whose reply was lost
	case old.State() != StateUnknown && old.State() != StateClaimed:
		return oops.Errorf("the call is already in state %s", old.State())
	case old.State() == StateClaimed && !s.Ran && !s.Ended:
		return oops.Errorf("a claimed call can be settled as not run only when the process that claimed it has ended")
	}
	switch row, r := c.write(ctx, row.Key(), row.Revision(), old.withState(newState).withOperator(s.Operator)); r {
	case resultWritten:
		return nil
	case resultConflict:
		return oops.Errorf("the call was changed at the same time to revision %d", row.Revision())
	default:
		return oops.Errorf("the table service did not confirm the write; settle again to see whether it took effect")
	}
}
