package bergamotrollout

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// Matches tells whether data can be the object with that name, so that a peer that lies is passed over for the next.
func Matches(name string, data []byte) bool { return validObject(name, data) }

// Share returns the object with that name for another entry whose object store is down, or
// bergamotstore.ErrNotFound unless it is the text of b, the bundle in force (nil for none). The other entry
// verifies the digest; the approvals are in the head row that it read from the table.
func Share(b *bergamotbundle.Bundle, name string) ([]byte, error) {
	if b == nil || name != ObjectName(b.Digest()) {
		return nil, bergamotstore.ErrNotFound
	}
	return pack(b.Text())
}
