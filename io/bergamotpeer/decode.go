package bergamotpeer

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotmember"
)

// Decode returns the message in data, or an error if data is not a valid encoding. Its allocations are bounded by the
// length of data.
func Decode(data []byte) (m bergamotmember.Message, err error) {
	d := &decoder{data: data}
	if len(data) > MaxMessageBytes || d.byte() != formatVersion {
		return m, oops.In("peer").Errorf("unknown format or more than %d bytes", MaxMessageBytes)
	}
	s := bergamotmember.MessageSpec{From: d.text(), Incarnation: d.uvarint(math.MaxUint64)}
	version := int64(d.uvarint(math.MaxInt64))
	s.Head = bergamotmember.NewHead(version, d.digestOrText())
	recordCount := d.length(bergamotmember.MaxRecords)
	for n := 0; n < recordCount && !d.invalid; n++ {
		s.Records = append(s.Records, d.record())
	}
	s.Accepted = d.uvarint(math.MaxUint64)
	s.BucketHashes = d.fixed32s(bergamotmember.MaxBuckets)
	s.ListedBuckets = d.uvarint(math.MaxUint64)
	summaryCount := d.length(bergamotmember.MaxSummaries)
	for n := 0; n < summaryCount && !d.invalid; n++ {
		s.Summaries = append(s.Summaries, bergamotmember.NewRecordSummary(d.fixed32(), d.fixed32()))
	}
	s.Requested = d.fixed32s(bergamotmember.MaxSummaries)
	m, ok := bergamotmember.NewMessage(s)
	if d.invalid || len(d.data) > 0 || !ok {
		return bergamotmember.Message{}, oops.In("peer").Errorf("invalid message of %d bytes", len(data))
	}
	return m, nil
}

// decoder reads fields from the front of data; invalid is set at the first field that cannot be read.
type decoder struct {
	data    []byte
	invalid bool
}

// next returns the next n bytes, or nil if there are fewer.
func (d *decoder) next(n int) []byte {
	if d.invalid || n > len(d.data) {
		d.invalid = true
		return nil
	}
	out := d.data[:n:n]
	d.data = d.data[n:]
	return out
}

func (d *decoder) byte() byte {
	b := d.next(1)
	if d.invalid {
		return 0
	}
	return b[0]
}

func (d *decoder) fixed32() uint32 {
	b := d.next(4)
	if d.invalid {
		return 0
	}
	return binary.LittleEndian.Uint32(b)
}

func (d *decoder) uvarint(maxValue uint64) uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 || v > maxValue {
		d.invalid = true
		return 0
	}
	d.next(n)
	return v
}

// length reads the length of a list or a string.
func (d *decoder) length(maxLength int) int { return int(d.uvarint(uint64(maxLength))) }

func (d *decoder) text() string { return string(d.next(d.length(MaxMessageBytes))) }

// digestOrText reads what appendDigestOrText writes.
func (d *decoder) digestOrText() string {
	switch d.byte() {
	case digestText:
		return d.text()
	case digestHex:
		return hex.EncodeToString(d.next(32))
	default:
		d.invalid = true
		return ""
	}
}

func (d *decoder) fixed32s(maxLength int) (out []uint32) {
	for n := d.length(maxLength); n > 0 && !d.invalid; n-- {
		out = append(out, d.fixed32())
	}
	return out
}

func (d *decoder) record() bergamotmember.Record {
	s := bergamotmember.RecordSpec{Kind: bergamotmember.Kind(d.byte()), Key: d.digestOrText(), Version: d.uvarint(math.MaxUint64)}
	s.State = bergamotmember.State(d.byte())
	s.TTL = time.Duration(d.uvarint(uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
	s.Data = append(s.Data, d.next(d.length(MaxMessageBytes))...)
	demandCount := d.length(bergamotmember.MaxWorkspaces)
	for n := 0; n < demandCount && !d.invalid; n++ {
		w := d.next(5)
		if d.invalid {
			break
		}
		id := uint64(w[0])<<32 | uint64(binary.BigEndian.Uint32(w[1:]))
		s.Demand = append(s.Demand, bergamotmember.NewDemand(id, uint32(d.uvarint(math.MaxUint32))))
	}
	r, ok := bergamotmember.NewRecord(s)
	d.invalid = d.invalid || !ok
	return r
}
