package bergamotmirror

import (
	"cmp"

	"bergamotspur/core/bergamotstore"
)

// RowOrder reports whether the writer of a row numbered a over b. The numbers are part of the values, so that they outlive a
// restore of the store, unlike revisions.
type RowOrder func(a, b bergamotstore.Row) bool

// retain returns the changes of a whole table in which the rows that a restore of the store took back have the content that
// the copy has. Until the writer writes such a row again, an entry that reads the copy would otherwise go back to a content
// that the writer has replaced, such as a configuration with a key that was withdrawn. The row keeps the revision of the
// restored one: while the revision stays the same, the writer has not written again. The caller holds the lock.
func (m *Mirror) retain(u Update) []bergamotstore.Change {
	if m.newer == nil || !m.known {
		return u.changes
	}
	laterEra := !u.position.SameEra(m.position)
	out := make([]bergamotstore.Change, len(u.changes))
	for i, c := range u.changes {
		out[i] = c
		row := c.Row()
		own, ok := m.rows[row.Key()]
		if ok && !c.Deleted() && (laterEra || own.Revision() == row.Revision()) && m.newer(own, row) {
			// The era tells this entry that the store lacks the content.
			retained := bergamotstore.NewRow(row.Key(), row.Revision(), own.Value()).In(cmp.Or(own.Era(), m.position.Era()))
			out[i] = bergamotstore.NewChange(retained, false)
		}
	}
	return out
}
