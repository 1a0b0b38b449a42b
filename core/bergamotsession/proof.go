package bergamotsession

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Proof is sent with a token and shows which layers ran for it, in which order and in which attempt.
type Proof struct {
	session  string
	attempt  int
	position int
	receipts []Receipt
	digest   uint64
}

// NewProof returns a proof with the values that a target reported.
func NewProof(session string, attempt, position int, receipts []Receipt, digest uint64) Proof {
	return Proof{session: session, attempt: attempt, position: position, receipts: receipts, digest: digest}
}

// Session returns the session that the token belongs to.
func (p Proof) Session() string { return p.session }

// Attempt returns the attempt that the token belongs to.
func (p Proof) Attempt() int { return p.attempt }

// Position returns the index of the token in the answer.
func (p Proof) Position() int { return p.position }

// Receipts returns one receipt for each stage, in the order in which the stages ran.
func (p Proof) Receipts() []Receipt { return p.receipts }

// Digest returns the chained hash of all other fields and the token.
func (p Proof) Digest() uint64 { return p.digest }

// FirstDigest returns the initial digest of the hash chain for one position of an attempt.
func FirstDigest(session string, attempt, position int) uint64 {
	return hashValues(xxhash.Sum64String(session), uint64(attempt), uint64(position))
}

// NextDigest returns the digest after the receipt of a stage is added to the hash chain.
func NextDigest(digest uint64, r Receipt) uint64 {
	return hashValues(digest, uint64(r.from), uint64(r.to), uint64(r.steps))
}

// LastDigest returns the final digest, after the identifier of the token is added to the hash chain.
func LastDigest(digest uint64, token int) uint64 { return hashValues(digest, uint64(token)) }

func hashValues(values ...uint64) uint64 {
	var buf [32]byte
	b := buf[:0]
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}
