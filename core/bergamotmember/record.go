package bergamotmember

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of subject that a record describes.
type Kind uint8

// Kinds in the order in which records are added to a message. Kinds with few, urgent records come first: with members
// first, the hint about a dead target waited 25 s behind the 840 member records of a cold start.
const (
	KindTarget Kind = iota + 1 // key: name of the target
	KindCrash                  // key: digest of the request
	KindMember                 // key: name of the member
	KindDemand                 // key: name of the member
)

// Limits of a record; a message with a record that exceeds them is rejected.
const (
	maxKeyBytes   = 64
	maxDataBytes  = 128
	MaxWorkspaces = 8 // number of workspaces in the demand of a member
)

// maxTTLs is the maximum TTL by kind. Member records have no TTL, since the states of a member have their own timeouts.
var maxTTLs = map[Kind]time.Duration{
	KindTarget: 30 * time.Second,
	KindCrash:  time.Hour,
	KindDemand: 8 * time.Minute,
}

// Record is one hint. Among records with the same kind and key, the one with the highest version is valid.
type Record struct {
	kind    Kind
	key     string
	version uint64
	state   State
	ttl     time.Duration
	data    []byte
	demand  []Demand
}

// RecordSpec holds the fields of a record.
type RecordSpec struct {
	Kind    Kind
	Key     string
	Version uint64        // incarnation of a member; for other kinds, a counter of changes
	State   State         // of members and targets
	TTL     time.Duration // remaining lifetime; an absolute expiry time would depend on the clocks of two machines
	Data    []byte        // opaque content of a crash record
	Demand  []Demand
}

// NewRecord returns a record and reports whether it is valid.
func NewRecord(s RecordSpec) (r Record, ok bool) {
	r = Record{kind: s.Kind, key: s.Key, version: s.Version, state: s.State, ttl: s.TTL, data: s.Data, demand: s.Demand}
	return r, r.isValid()
}

// Kind returns the kind of the subject.
func (r Record) Kind() Kind { return r.kind }

// Key returns the name or digest of the subject.
func (r Record) Key() string { return r.key }

// Version returns the version, which orders the records of one subject.
func (r Record) Version() uint64 { return r.version }

// State returns the state of a member or target.
func (r Record) State() State { return r.state }

// TTL returns the remaining lifetime.
func (r Record) TTL() time.Duration { return r.ttl }

// Data returns the opaque content of a crash record; the caller must not modify it.
func (r Record) Data() []byte { return r.data }

// Demand returns the demand of a member; the caller must not modify it.
func (r Record) Demand() []Demand { return r.demand }

// Size returns the approximate size of the record in a message, in bytes.
func (r Record) Size() int { return 14 + len(r.key) + len(r.data) + 8*len(r.demand) }

func (r Record) isValid() bool {
	if r.key == "" || len(r.key) > maxKeyBytes || len(r.data) > maxDataBytes || len(r.demand) > MaxWorkspaces || r.version == 0 {
		return false
	}
	if r.kind != KindMember && (r.ttl <= 0 || r.ttl > maxTTLs[r.kind]) {
		return false
	}
	switch r.kind {
	case KindMember:
		return r.state != Leaving && r.state <= Left && len(r.data)+len(r.demand) == 0 && r.ttl == 0
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

// isNewerThan reports whether r replaces o. The order is total, so that all members keep the same record.
func (r Record) isNewerThan(o Record) bool {
	c := cmp.Or(cmp.Compare(r.version, o.version), cmp.Compare(r.state, o.state), bytes.Compare(r.data, o.data))
	if c == 0 {
		c = slices.CompareFunc(r.demand, o.demand, func(a, b Demand) int {
			return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.rate, b.rate))
		})
	}
	return c > 0
}

func (r Record) id() id { return id{r.kind, r.key} }

// versionHash returns a hash of kind, key, version and state. It omits the remaining lifetime, which differs between
// members.
func (r Record) versionHash() uint32 {
	var buf [10]byte
	binary.LittleEndian.PutUint64(buf[:], r.version)
	buf[8], buf[9] = byte(r.kind), byte(r.state)
	return uint32(xxhash.Sum64(append(buf[:], r.key...)))
}

// id identifies the subject of a record.
type id struct {
	kind Kind
	key  string
}

// hash returns the key hash that record summaries contain.
func (i id) hash() uint32 { return uint32(xxhash.Sum64String(string(rune(i.kind)) + i.key)) }
