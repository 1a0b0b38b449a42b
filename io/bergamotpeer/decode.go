package bergamotpeer

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotmember"
)

// Decode returns the message in data. It returns an error for anything that Encode does not produce, and allocates
// no more than the length of data allows.
func Decode(data []byte) (m bergamotmember.Message, err error) {
	d := &decoder{data: data}
	if len(data) > MaxMessage || d.byte() != format {
		return m, oops.In("peer").Errorf("unknown format or more than %d bytes", MaxMessage)
	}
	s := bergamotmember.MessageSpec{From: d.text(), Incarnation: d.number(math.MaxUint64)}
	version := int64(d.number(math.MaxInt64))
	s.Head = bergamotmember.NewHead(version, d.digest())
	records := d.count(bergamotmember.MaxRecords)
	for n := 0; n < records && !d.bad; n++ {
		s.Records = append(s.Records, d.record())
	}
	s.Accepted = d.number(math.MaxUint64)
	s.BucketHashes = d.numbers(bergamotmember.MaxBuckets)
	s.ListedBuckets = d.number(math.MaxUint64)
	lines := d.count(bergamotmember.MaxSummaries)
	for n := 0; n < lines && !d.bad; n++ {
		s.Summaries = append(s.Summaries, bergamotmember.NewRecordSummary(d.fixed(), d.fixed()))
	}
	s.Requested = d.numbers(bergamotmember.MaxSummaries)
	m, ok := bergamotmember.NewMessage(s)
	if d.bad || len(d.data) > 0 || !ok {
		return bergamotmember.Message{}, oops.In("peer").Errorf("invalid message of %d bytes", len(data))
	}
	return m, nil
}

// decoder reads fields from the front of data; bad is set at the first field that does not fit.
type decoder struct {
	data []byte
	bad  bool
}

func (d *decoder) take(n int) []byte {
	if d.bad || n > len(d.data) {
		d.bad = true
		return nil
	}
	out := d.data[:n:n]
	d.data = d.data[n:]
	return out
}

func (d *decoder) byte() byte {
	b := d.take(1)
	if d.bad {
		return 0
	}
	return b[0]
}

func (d *decoder) fixed() uint32 {
	b := d.take(4)
	if d.bad {
		return 0
	}
	return binary.LittleEndian.Uint32(b)
}

func (d *decoder) number(most uint64) uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 || v > most {
		d.bad = true
		return 0
	}
	d.take(n)
	return v
}

func (d *decoder) count(most int) int { return int(d.number(uint64(most))) }

func (d *decoder) text() string { return string(d.take(d.count(MaxMessage))) }

func (d *decoder) digest() string {
	switch d.byte() {
	case digestText:
		return d.text()
	case digestHex:
		return hex.EncodeToString(d.take(32))
	default:
		d.bad = true
		return ""
	}
}

func (d *decoder) numbers(most int) (out []uint32) {
	for n := d.count(most); n > 0 && !d.bad; n-- {
		out = append(out, d.fixed())
	}
	return out
}

func (d *decoder) record() bergamotmember.Record {
	s := bergamotmember.RecordSpec{Kind: bergamotmember.Kind(d.byte()), Key: d.digest(), Version: d.number(math.MaxUint64)}
	s.State = bergamotmember.State(d.byte())
	s.TTL = time.Duration(d.number(uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
	s.Data = append(s.Data, d.take(d.count(MaxMessage))...)
	demand := d.count(bergamotmember.MaxWorkspaces)
	for n := 0; n < demand && !d.bad; n++ {
		w := d.take(5)
		if d.bad {
			break
		}
		id := uint64(w[0])<<32 | uint64(binary.BigEndian.Uint32(w[1:]))
		s.Demand = append(s.Demand, bergamotmember.NewDemand(id, uint32(d.number(math.MaxUint32))))
	}
	r, ok := bergamotmember.NewRecord(s)
	d.bad = d.bad || !ok
	return r
}
