package bergamotstore

// Row is one row of the table service.
type Row struct {
	key      string
	revision int64
	value    []byte
}

// NewRow returns a row; revision 0 stands for a row that does not exist.
func NewRow(key string, revision int64, value []byte) Row {
	return Row{key: key, revision: revision, value: value}
}

// Key returns the name of the row.
func (r Row) Key() string { return r.key }

// Revision returns the number of the last write, 0 when the row does not exist.
func (r Row) Revision() int64 { return r.revision }

// Value returns the content.
func (r Row) Value() []byte { return r.value }
