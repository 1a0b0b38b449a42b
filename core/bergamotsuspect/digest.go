package bergamotsuspect

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies the content of a request: the model, its version, the adapter and the prompt. Workspace, request
// id, seed and length are left out, so that a request that is sent again has the same digest. The hash is
// cryptographic, so that no caller can craft a request that collides with another caller's.
type Digest = [sha256.Size]byte

// NewDigest returns the digest of a prompt for a model version and an adapter, which is empty for none.
func NewDigest(model, version, adapter, prompt string) (d Digest) {
	h := sha256.New()
	for _, field := range []string{model, version, adapter, prompt} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		// Write of a hash.Hash never returns an error.
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(field))
	}
	h.Sum(d[:0])
	return d
}
