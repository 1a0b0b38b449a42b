package bergamotsuspect

// Record is the strikes against one content, as entries exchange them. Times are ages, since the clocks
// of two machines need not agree.
type Record struct {
	digest  Digest
	strikes []Strike
}

// NewRecord returns a record.
func NewRecord(d Digest, strikes ...Strike) Record { return Record{digest: d, strikes: strikes} }

// Digest returns the content.
func (r Record) Digest() Digest { return r.digest }

// Strikes returns the failures; the caller must not change the slice.
func (r Record) Strikes() []Strike { return r.strikes }
