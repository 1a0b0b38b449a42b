package bergamotsuspect

// Record holds the failures that are attributed to one content, in the form in which entries exchange them. Times are
// ages, since the clocks of two machines may differ.
type Record struct {
	digest   Digest
	failures []Failure
}

// NewRecord returns a record of the failures of a content.
func NewRecord(d Digest, failures ...Failure) Record { return Record{digest: d, failures: failures} }

// Digest returns the digest of the content.
func (r Record) Digest() Digest { return r.digest }

// Failures returns the failures of the content; the caller must not change the slice.
func (r Record) Failures() []Failure { return r.failures }
