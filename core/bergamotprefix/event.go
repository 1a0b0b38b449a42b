package bergamotprefix

// Event is one change of the cache of a target.
type Event struct {
	sequence int64
	added    bool
	block    uint64
}

// NewEvent returns an event with its number, from 1 without gaps at the target; added is false for an eviction.
func NewEvent(sequence int64, added bool, block uint64) Event {
	return Event{sequence: sequence, added: added, block: block}
}

// Sequence returns the number of the event.
func (e Event) Sequence() int64 { return e.sequence }

// Added tells whether the block was added rather than evicted.
func (e Event) Added() bool { return e.added }

// Block returns the digest of the block.
func (e Event) Block() uint64 { return e.block }
