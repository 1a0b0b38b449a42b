package bergamotsuspect

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies what a target runs for a request, independently of workspace, request id, seed and
// length, so that a resend is recognised. The digest is cryptographic: a caller must not be able to make
// a request that collides with another caller's.
type Digest = [sha256.Size]byte

// NewDigest returns the digest of a prompt for an adapter of a model version.
func NewDigest(model, version, adapter, prompt string) (d Digest) {
	h := sha256.New()
	for _, field := range []string{model, version, adapter, prompt} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		// A hash never returns an error.
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(field))
	}
	h.Sum(d[:0])
	return d
}
