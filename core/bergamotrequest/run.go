package bergamotrequest

// Run tells whether a request was run by a target.
type Run int

// RunNo is claimed only before dispatch or on a target's own word; RunUnknown covers every lost reply.
const (
	RunNo Run = iota
	RunYes
	RunUnknown
)

// String returns "no", "yes" or "unknown".
func (r Run) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	default:
		return "unknown"
	}
}
