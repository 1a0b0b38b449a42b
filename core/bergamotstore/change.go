package bergamotstore

import "errors"

// ErrHistory is returned when the table service has dropped the changes that were asked for.
var ErrHistory = errors.New("the history was dropped")

// ErrBusy is in the chain of an error when the service has rejected a call because too many are made.
var ErrBusy = errors.New("too many calls")

// Change is a row as a feed of changes reports it.
type Change struct {
	row  Row
	gone bool
}

// NewChange returns a change; gone tells that the row was deleted.
func NewChange(row Row, gone bool) Change { return Change{row: row, gone: gone} }

// Row returns the row after the change.
func (c Change) Row() Row { return c.row }

// Gone tells whether the row was deleted.
func (c Change) Gone() bool { return c.gone }
