package bergamotprefix

// Event is a change of the prefix cache of a target.
type Event struct {
	sequence int64
	added    bool
	block    uint64
}

// NewEvent returns an event with its sequence number, which a target counts from 1 without gaps; added is false if the
// block was evicted.
func NewEvent(sequence int64, added bool, block uint64) Event {
	return Event{sequence: sequence, added: added, block: block}
}

// Sequence returns the sequence number of the event.
func (e Event) Sequence() int64 { return e.sequence }

// Added reports whether the block was added rather than evicted.
func (e Event) Added() bool { return e.added }

// Block returns the digest of the block.
func (e Event) Block() uint64 { return e.block }
