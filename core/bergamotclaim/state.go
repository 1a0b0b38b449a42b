package bergamotclaim

// State is the state of a call as stored in its row.
type State string

// States of a call. An entry never sets the claim of another entry to StateFree, see docs/decisions/claims.md.
const (
	StateClaimed State = "claimed" // an entry may dispatch the call or has dispatched it
	StateDone    State = "done"    // the call ran and its answer is stored
	StateUnknown State = "unknown" // the call was dispatched and its outcome is unknown
	StateRan     State = "ran"     // the call ran, but its answer was lost
	StateFree    State = "free"    // the call was not dispatched; the key may be claimed again
)

func (s State) isKnown() bool {
	switch s {
	case StateClaimed, StateDone, StateUnknown, StateRan, StateFree:
		return true
	}
	return false
}
