package bergamotmember

// Bounds of a message; one that exceeds them is rejected.
const (
	MaxRecords = 64
	MaxBuckets = 64
	MaxLines   = 128
	// maxBytes is the room for records: 10 messages a second of 1,000 bytes, with base64 and 230 bytes of
	// envelope, TLS and TCP each, are 15.6 KB/s of the 20 KB/s that a node may use.
	maxBytes = 1000
)

// Line stands for one record in a digest of a bucket.
type Line struct {
	key uint32
	sum uint32
}

// NewLine returns a line with the hash of a record's key and of its version.
func NewLine(key, sum uint32) Line { return Line{key: key, sum: sum} }

// Key returns the hash of the key.
func (l Line) Key() uint32 { return l.key }

// Sum returns the hash of the version.
func (l Line) Sum() uint32 { return l.sum }

// Message is one heartbeat, or the reply to one.
type Message struct{ spec MessageSpec }

// MessageSpec holds the fields of a message.
type MessageSpec struct {
	From        string
	Incarnation uint64
	Head        Head
	Records     []Record
	Fresh       uint64   // in a reply: bit n is set when record n of the request was news
	Buckets     []uint32 // hash of each bucket of records, empty when no digest is due
	Listed      uint64   // in a reply: bit n is set when Lines lists bucket n
	Lines       []Line
	Wants       []uint32 // hashes of the keys whose records the sender asks for
}

// NewMessage returns a message and whether its sizes are within their bounds.
func NewMessage(s MessageSpec) (m Message, ok bool) {
	ok = s.From != "" && len(s.From) <= maxKey && len(s.Records) <= MaxRecords && len(s.Head.digest) <= maxKey &&
		s.Head.version >= 0 && (len(s.Buckets) == 0 || len(s.Buckets) == MaxBuckets) &&
		len(s.Lines) <= MaxLines && len(s.Wants) <= MaxLines && s.Incarnation > 0
	for _, r := range s.Records {
		ok = ok && r.valid()
	}
	return Message{spec: s}, ok
}

// Spec returns the fields; the caller must not change the slices.
func (m Message) Spec() MessageSpec { return m.spec }

// From returns the name of the sender.
func (m Message) From() string { return m.spec.From }
