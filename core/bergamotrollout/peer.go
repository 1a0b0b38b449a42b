package bergamotrollout

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotstore"
)

// IsValidObject reports whether data can be the object with that name, so that the next peer is asked if one sends a
// wrong or damaged text.
func IsValidObject(name string, data []byte) bool { return matchesDigest(name, data) }

// ObjectForPeer returns the object with that name for another entry that cannot read the object store. Only the text
// of b is available, the bundle in force (nil for none); other names return bergamotstore.ErrNotFound. The other entry
// verifies the digest, and has the approvals from the row of the head in the table.
func ObjectForPeer(b *bergamotbundle.Bundle, name string) ([]byte, error) {
	if b == nil || name != ObjectName(b.Digest()) {
		return nil, bergamotstore.ErrNotFound
	}
	return pack(b.Text())
}
