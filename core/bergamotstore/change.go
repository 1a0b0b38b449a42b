package bergamotstore

import "errors"

// ErrHistoryDropped is returned when the table service no longer has the requested changes.
var ErrHistoryDropped = errors.New("the history was dropped")

// ErrRateLimited is wrapped by the error of a call that the table service rejected because of its rate limit.
var ErrRateLimited = errors.New("too many calls")

// Change is a write or deletion of a row, as the change feed of a table returns it.
type Change struct {
	row     Row
	deleted bool
}

// NewChange returns a change of a row, which was deleted or written.
func NewChange(row Row, deleted bool) Change { return Change{row: row, deleted: deleted} }

// Row returns the row after the change.
func (c Change) Row() Row { return c.row }

// Deleted reports whether the row was deleted.
func (c Change) Deleted() bool { return c.deleted }
