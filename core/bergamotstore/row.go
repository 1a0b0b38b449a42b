package bergamotstore

// Row is one row of the table service.
type Row struct {
	key      string
	revision int64
	value    []byte
	era      int64
}

// NewRow returns a row with the number of its last write as revision; 0 means that the row does not exist.
func NewRow(key string, revision int64, value []byte) Row {
	return Row{key: key, revision: revision, value: value}
}

// In returns the row as it was read in an era of the table service.
func (r Row) In(era int64) Row {
	r.era = era
	return r
}

// Key returns the key of the row.
func (r Row) Key() string { return r.key }

// Revision returns the number of the last write to the row, 0 when the row does not exist.
func (r Row) Revision() int64 { return r.revision }

// Value returns the content of the row.
func (r Row) Value() []byte { return r.value }

// Era returns the era of the table service in which the row was read, 0 if it is not known. The revisions of two eras cannot
// be compared.
func (r Row) Era() int64 { return r.era }
