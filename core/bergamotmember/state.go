package bergamotmember

// State is the state of a member or a target as a hint.
type State uint8

// States in ascending order of precedence: among records of the same version, the highest state wins.
const (
	Alive State = iota
	Suspected
	Leaving // only of targets
	Dead
	Left
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}
