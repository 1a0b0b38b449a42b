package bergamotpeer_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmember"
	"bergamotspur/io/bergamotpeer"
)

// sampleMessage returns a message with all fields set.
func sampleMessage() bergamotmember.Message {
	var records []bergamotmember.Record
	for _, s := range []bergamotmember.RecordSpec{
		{Kind: bergamotmember.KindMember, Key: "entry-1", Version: 3, State: bergamotmember.Suspected},
		{Kind: bergamotmember.KindTarget, Key: "runner", Version: 1, State: bergamotmember.Dead, TTL: time.Second},
		{Kind: bergamotmember.KindCrash, Key: strings.Repeat("ab", 32), Version: 1, TTL: time.Hour, Data: []byte("x")},
		{
			Kind: bergamotmember.KindDemand, Key: "entry-1", Version: 9, TTL: time.Minute,
			Demand: []bergamotmember.Demand{bergamotmember.NewDemand(bergamotmember.WorkspaceID("kitchen"), 70)},
		},
	} {
		r, ok := bergamotmember.NewRecord(s)
		if !ok {
			panic("invalid sample")
		}
		records = append(records, r)
	}
	m, ok := bergamotmember.NewMessage(bergamotmember.MessageSpec{
		From: "entry-2", Incarnation: 4, Head: bergamotmember.NewHead(5, strings.Repeat("0f", 32)), Records: records, Accepted: 5,
		BucketHashes: make([]uint32, bergamotmember.MaxBuckets), ListedBuckets: 6,
		Summaries: []bergamotmember.RecordSummary{bergamotmember.NewRecordSummary(1, 2)}, Requested: []uint32{7},
	})
	if !ok {
		panic("invalid sample")
	}
	return m
}

var _ = ginkgo.Describe("Decode", func() {
	ginkgo.It("returns what was encoded", func() {
		m, err := bergamotpeer.Decode(bergamotpeer.Encode(sampleMessage()))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(m).To(gomega.Equal(sampleMessage()))
	})

	// Guards against a truncated or extended message that is accepted as a valid one.
	ginkgo.It("rejects truncated and extended messages", func() {
		data := bergamotpeer.Encode(sampleMessage())
		for n := range data {
			_, err := bergamotpeer.Decode(data[:n])
			gomega.Expect(err).To(gomega.HaveOccurred())
		}
		_, err := bergamotpeer.Decode(append(data, 0))
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})

// FuzzDecode guards against data that crashes the entry and against a decoded message that exceeds the limits, which
// does not survive another encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add(bergamotpeer.Encode(sampleMessage()))
	f.Add([]byte{1, 1, 'a', 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := bergamotpeer.Decode(data)
		if err != nil {
			return
		}
		out := bergamotpeer.Encode(m)
		again, err := bergamotpeer.Decode(out)
		if err != nil || !bytes.Equal(bergamotpeer.Encode(again), out) {
			t.Fatalf("decoded message does not survive encoding: %v", err)
		}
	})
}
