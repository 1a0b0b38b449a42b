package bergamotaccount

import "time"

// Kind is the kind of a holder.
type Kind string

// Kinds of holders.
const (
	KindConnection Kind = "connection" // of a caller
	KindHead       Kind = "head"       // of a request that arrives
	KindBody       Kind = "body"       // of a request
	KindAnswer     Kind = "answer"     // of a runner
	KindPeer       Kind = "peer"       // query or reply of another entry
	KindStore      Kind = "store"      // reply of the store
)

// Cause is the reason for an eviction.
type Cause string

// Causes of evictions, in the order in which holders are chosen.
const (
	CauseIdle    Cause = "idle"    // the connection was idle for longest
	CauseStalled Cause = "stalled" // the head or body made no progress
	CauseSlow    Cause = "slow"    // the body arrived too slowly
	CauseLargest Cause = "largest" // the largest holder of the key that held most
	CauseFull    Cause = "full"    // no other holder could be evicted
)

// Holder names what needs memory, who is responsible for it, and how to end it.
type Holder struct {
	kind  Kind
	key   string
	fixed int64
	evict func(Cause)
}

// NewHolder returns a holder. evict ends it and must not block; it is called at most once and by any goroutine, also after the
// charge was closed if that happens at the same time.
func NewHolder(kind Kind, key string, evict func(Cause)) Holder {
	return Holder{kind: kind, key: key, evict: evict}
}

// WithFixed returns a copy whose first bytes do not count when it is compared with SmallHolder: those that each holder of its
// kind needs.
func (h Holder) WithFixed(bytes int64) Holder {
	h.fixed = bytes
	return h
}

// Eviction describes a holder that was evicted.
type Eviction struct {
	cause Cause
	kind  Kind
	key   string
	bytes int64
}

// Cause returns why the holder was evicted.
func (e Eviction) Cause() Cause { return e.cause }

// Kind returns the kind of the holder.
func (e Eviction) Kind() Kind { return e.kind }

// Key returns who was responsible for the holder.
func (e Eviction) Key() string { return e.key }

// Bytes returns the memory of the holder.
func (e Eviction) Bytes() int64 { return e.bytes }

// mode is the stage of a holder.
type mode int

const (
	modeArriving mode = iota // it may be evicted
	modeIdle                 // it is evicted first
	modeHeld                 // it is not evicted, but see Charge.Hold
)

// owner holds the total of all holders with the same key.
type owner struct {
	total   int64
	holders int
}

// holderState is what choose looks at.
type holderState struct {
	kind     Kind
	mode     mode
	owner    *owner
	size     int64         // bytes
	fixed    int64         // bytes of size that do not make it large
	began    time.Duration // when its arrival began
	progress time.Duration // when bytes last arrived, or since when it is idle
	arrived  int64         // bytes since began
}

// isSmall reports whether the holder is evicted only when nothing larger is left.
func (s *holderState) isSmall() bool { return s.size-s.fixed < SmallHolder }

// isRefusable reports whether the holder may be refused while evicted ones have not ended: a large head or body.
func (s *holderState) isRefusable() bool {
	return s.mode != modeHeld && s.kind != KindAnswer && !s.isSmall()
}

// heldBytes returns the bytes that count towards maxHeldShare.
func (s *holderState) heldBytes() int64 {
	if s.mode != modeHeld || s.kind != KindBody || s.isSmall() {
		return 0
	}
	return s.size
}
