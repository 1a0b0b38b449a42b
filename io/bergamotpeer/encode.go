package bergamotpeer

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"bergamotspur/core/bergamotmember"
)

// format is the first byte of an encoded message.
const format = 1

// MaxMessage is the most bytes of an encoded message: 1,000 of records, 260 of bucket hashes, 1,030 of summaries,
// 520 of requested hashes and 200 of other fields fit.
const MaxMessage = 4096

// A digest takes 32 bytes instead of 64 when it is hexadecimal.
const (
	digestText = 0
	digestHex  = 1
)

// Encode returns the binary form of a message.
func Encode(m bergamotmember.Message) []byte {
	s := m.Spec()
	b := append(make([]byte, 0, 1500), format)
	b = appendText(b, s.From)
	b = binary.AppendUvarint(b, s.Incarnation)
	b = binary.AppendUvarint(b, uint64(s.Head.Version()))
	b = appendDigest(b, s.Head.Digest())
	b = binary.AppendUvarint(b, uint64(len(s.Records)))
	for _, r := range s.Records {
		b = appendRecord(b, r)
	}
	b = binary.AppendUvarint(b, s.Accepted)
	b = appendNumbers(b, s.BucketHashes)
	b = binary.AppendUvarint(b, s.ListedBuckets)
	b = binary.AppendUvarint(b, uint64(len(s.Summaries)))
	for _, l := range s.Summaries {
		b = binary.LittleEndian.AppendUint32(b, l.KeyHash())
		b = binary.LittleEndian.AppendUint32(b, l.VersionHash())
	}
	return appendNumbers(b, s.Requested)
}

func appendRecord(b []byte, r bergamotmember.Record) []byte {
	b = append(b, byte(r.Kind()))
	b = appendDigest(b, r.Key())
	b = binary.AppendUvarint(b, r.Version())
	b = append(b, byte(r.State()))
	// Rounding up keeps a record with less than a millisecond left valid.
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

func appendDigest(b []byte, s string) []byte {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != 32 || hex.EncodeToString(raw) != s {
		return appendText(append(b, digestText), s)
	}
	return append(append(b, digestHex), raw...)
}

func appendNumbers(b []byte, list []uint32) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, v := range list {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	return b
}
