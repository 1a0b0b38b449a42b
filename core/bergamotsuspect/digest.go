package bergamotsuspect

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies the content of a request, or a part of it. The request id, seed and length are left out, so that a
// request that is sent again has the same digest. The hash is cryptographic, so that no caller can craft a request that
// collides with another caller's.
type Digest = [sha256.Size]byte

// maxContents is the maximum number of contents of a request to which a failure is attributed.
const maxContents = 32

// NewDigest returns the digest of the fields that identify a content, such as the model, its version, the adapter and the
// prompt.
func NewDigest(fields ...string) (d Digest) {
	h := sha256.New()
	for _, field := range fields {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		// Write of a hash.Hash never returns an error.
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(field))
	}
	h.Sum(d[:0])
	return d
}
