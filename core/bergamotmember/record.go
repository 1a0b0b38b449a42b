package bergamotmember

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a record is about.
type Kind uint8

// Kinds in the order in which they get room in a message. Few and urgent ones come first: with members first, a dead
// target waited 25 s behind the 840 records of a cold start.
const (
	KindTarget Kind = iota + 1 // key: name of the target
	KindCrash                  // key: digest of the request
	KindMember                 // key: name of the member
	KindDemand                 // key: name of the member
)

// Bounds of one record; a message that exceeds them is rejected.
const (
	maxKey    = 64
	maxData   = 128
	MaxDemand = 8 // workspaces with the most demand that a member announces
)

// lifetimes are the longest lifetimes by kind; members have none, since their states have their own timers.
var lifetimes = map[Kind]time.Duration{
	KindTarget: 30 * time.Second,
	KindCrash:  time.Hour,
	KindDemand: 8 * time.Minute,
}

// Record is one hint. Of two records with the same kind and key the one with the higher version is valid.
type Record struct {
	kind    Kind
	key     string
	version uint64
	state   State
	left    time.Duration
	data    []byte
	demand  []Demand
}

// RecordSpec holds the fields of a record.
type RecordSpec struct {
	Kind    Kind
	Key     string
	Version uint64        // incarnation of a member, count of changes of anything else
	State   State         // of members and targets
	Left    time.Duration // remaining lifetime; an absolute time would compare the clocks of two machines
	Data    []byte        // opaque content of a crash record
	Demand  []Demand
}

// NewRecord returns a record and whether it is valid.
func NewRecord(s RecordSpec) (r Record, ok bool) {
	r = Record{kind: s.Kind, key: s.Key, version: s.Version, state: s.State, left: s.Left, data: s.Data, demand: s.Demand}
	return r, r.valid()
}

// Kind returns what the record is about.
func (r Record) Kind() Kind { return r.kind }

// Key returns the name of what the record is about.
func (r Record) Key() string { return r.key }

// Version returns the number that orders records of one key.
func (r Record) Version() uint64 { return r.version }

// State returns the state of a member or target.
func (r Record) State() State { return r.state }

// Left returns the remaining lifetime.
func (r Record) Left() time.Duration { return r.left }

// Data returns the opaque content of a crash record; the caller must not change it.
func (r Record) Data() []byte { return r.data }

// Demand returns the demand of a member; the caller must not change it.
func (r Record) Demand() []Demand { return r.demand }

// Size returns about how many bytes the record takes in a message.
func (r Record) Size() int { return 14 + len(r.key) + len(r.data) + 8*len(r.demand) }

func (r Record) valid() bool {
	if r.key == "" || len(r.key) > maxKey || len(r.data) > maxData || len(r.demand) > MaxDemand || r.version == 0 {
		return false
	}
	if r.kind != KindMember && (r.left <= 0 || r.left > lifetimes[r.kind]) {
		return false
	}
	switch r.kind {
	case KindMember:
		return r.state != Leaving && r.state <= Left && len(r.data)+len(r.demand) == 0 && r.left == 0
	case KindTarget:
		return (r.state == Leaving || r.state == Dead) && len(r.data)+len(r.demand) == 0
	case KindCrash:
		return r.state == Alive && len(r.demand) == 0
	case KindDemand:
		return r.state == Alive && len(r.data) == 0
	default:
		return false
	}
}

// newer tells whether r replaces o; the order is total, so that all members keep the same record.
func (r Record) newer(o Record) bool {
	c := cmp.Or(cmp.Compare(r.version, o.version), cmp.Compare(r.state, o.state), bytes.Compare(r.data, o.data))
	if c == 0 {
		c = slices.CompareFunc(r.demand, o.demand, func(a, b Demand) int {
			return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.rate, b.rate))
		})
	}
	return c > 0
}

func (r Record) id() id { return id{r.kind, r.key} }

// sum returns a hash of what orders the record; the remaining lifetime differs between members.
func (r Record) sum() uint32 {
	var buf [10]byte
	binary.LittleEndian.PutUint64(buf[:], r.version)
	buf[8], buf[9] = byte(r.kind), byte(r.state)
	return uint32(xxhash.Sum64(append(buf[:], r.key...)))
}

// id identifies what a record is about.
type id struct {
	kind Kind
	key  string
}

// hash returns a short hash of the id for digests.
func (i id) hash() uint32 { return uint32(xxhash.Sum64String(string(rune(i.kind)) + i.key)) }
