package bergamotpeer

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"bergamotspur/core/bergamotmember"
)

// formatVersion is the first byte of an encoded message.
const formatVersion = 1

// MaxMessageBytes limits an encoded message. It leaves space for 1,000 bytes of records, 260 of bucket hashes, 1,030 of
// summaries, 520 of requested hashes and 200 of other fields.
const MaxMessageBytes = 4096

// Tags of a string that may be a digest: a hexadecimal digest of 64 characters is encoded in 32 bytes.
const (
	digestText = 0
	digestHex  = 1
)

// Encode returns the binary form of a message.
func Encode(m bergamotmember.Message) []byte {
	s := m.Spec()
	b := append(make([]byte, 0, 1500), formatVersion)
	b = appendText(b, s.From)
	b = binary.AppendUvarint(b, s.Incarnation)
	b = binary.AppendUvarint(b, uint64(s.Head.Version()))
	b = appendDigestOrText(b, s.Head.Digest())
	b = binary.AppendUvarint(b, uint64(len(s.Records)))
	for _, r := range s.Records {
		b = appendRecord(b, r)
	}
	b = binary.AppendUvarint(b, s.Accepted)
	b = appendFixed32s(b, s.BucketHashes)
	b = binary.AppendUvarint(b, s.ListedBuckets)
	b = binary.AppendUvarint(b, uint64(len(s.Summaries)))
	for _, summary := range s.Summaries {
		b = binary.LittleEndian.AppendUint32(b, summary.KeyHash())
		b = binary.LittleEndian.AppendUint32(b, summary.VersionHash())
	}
	return appendFixed32s(b, s.Requested)
}

func appendRecord(b []byte, r bergamotmember.Record) []byte {
	b = append(b, byte(r.Kind()))
	b = appendDigestOrText(b, r.Key())
	b = binary.AppendUvarint(b, r.Version())
	b = append(b, byte(r.State()))
	// TTLs are rounded up, since a TTL below one millisecond would become 0 and make the record invalid.
	b = binary.AppendUvarint(b, uint64((r.TTL()+time.Millisecond-1)/time.Millisecond))
	b = binary.AppendUvarint(b, uint64(len(r.Data())))
	b = append(b, r.Data()...)
	b = binary.AppendUvarint(b, uint64(len(r.Demand())))
	for _, d := range r.Demand() {
		w := d.Workspace()
		b = append(b, byte(w>>32), byte(w>>24), byte(w>>16), byte(w>>8), byte(w))
		b = binary.AppendUvarint(b, uint64(d.Rate()))
	}
	return b
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendDigestOrText appends a string, which takes 32 bytes and a tag if it is a SHA-256 digest in hexadecimal.
func appendDigestOrText(b []byte, s string) []byte {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != 32 || hex.EncodeToString(raw) != s {
		return appendText(append(b, digestText), s)
	}
	return append(append(b, digestHex), raw...)
}

// appendFixed32s appends the length of a list and its numbers in 4 bytes each.
func appendFixed32s(b []byte, list []uint32) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, v := range list {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	return b
}
