package bergamotmember

// Limits of a message. One that exceeds an exported limit is rejected.
const (
	MaxRecords   = 64
	MaxBuckets   = 64
	MaxSummaries = 128
	// maxRecordBytes is the space for records in a message: 10 messages per second of 1,000 bytes, with base64 and 230
	// bytes each of envelope, TLS and TCP, use 15.6 KB/s of the 20 KB/s that a node may use.
	maxRecordBytes = 1000
)

// RecordSummary is the hashes that stand for one record when two members compare a bucket.
type RecordSummary struct {
	keyHash     uint32
	versionHash uint32
}

// NewRecordSummary returns the summary of a record from the hash of its kind and key and the hash of its version.
func NewRecordSummary(keyHash, versionHash uint32) RecordSummary {
	return RecordSummary{keyHash: keyHash, versionHash: versionHash}
}

// KeyHash returns the hash of the kind and key of the record.
func (l RecordSummary) KeyHash() uint32 { return l.keyHash }

// VersionHash returns the hash of the version of the record.
func (l RecordSummary) VersionHash() uint32 { return l.versionHash }

// Message is a heartbeat or the reply to one.
type Message struct{ spec MessageSpec }

// MessageSpec holds the fields of a message.
type MessageSpec struct {
	From          string
	Incarnation   uint64
	Head          Head
	Records       []Record
	Accepted      uint64   // in a reply: bit n is set if record n of the heartbeat was newer than the stored one
	BucketHashes  []uint32 // hash of each bucket of records, or empty if no comparison is due
	ListedBuckets uint64   // in a reply: bit n is set if Summaries covers bucket n
	Summaries     []RecordSummary
	Requested     []uint32 // key hashes of the records that the sender requests
}

// NewMessage returns a message and reports whether its sizes are within the limits and its records are valid.
func NewMessage(s MessageSpec) (m Message, ok bool) {
	ok = s.From != "" && len(s.From) <= maxKeyBytes && len(s.Records) <= MaxRecords && len(s.Head.digest) <= maxKeyBytes &&
		s.Head.version >= 0 && (len(s.BucketHashes) == 0 || len(s.BucketHashes) == MaxBuckets) &&
		len(s.Summaries) <= MaxSummaries && len(s.Requested) <= MaxSummaries && s.Incarnation > 0
	for _, r := range s.Records {
		ok = ok && r.isValid()
	}
	return Message{spec: s}, ok
}

// Spec returns the fields of the message; the caller must not modify the slices.
func (m Message) Spec() MessageSpec { return m.spec }

// From returns the name of the sender.
func (m Message) From() string { return m.spec.From }
