package bergamotclaim

// State is the state of a call in its row.
type State string

// States of a row. No entry moves the claim of another entry to StateFree, see docs/decisions/claims.md.
const (
	StateClaimed State = "claimed" // an entry may dispatch the call or has done so
	StateDone    State = "done"    // the call ran and its answer is stored
	StateUnknown State = "unknown" // the call was dispatched and its outcome is not known
	StateRan     State = "ran"     // the call ran and its answer was lost
	StateFree    State = "free"    // the call was not dispatched; the key may be claimed again
)

func (s State) known() bool {
	switch s {
	case StateClaimed, StateDone, StateUnknown, StateRan, StateFree:
		return true
	}
	return false
}
