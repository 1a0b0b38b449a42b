package bergamotrequest

// RunState is whether a target ran a request.
type RunState int

// RunNo is only used before dispatch or when the target itself reports it; RunUnknown covers every lost reply.
const (
	RunNo RunState = iota
	RunYes
	RunUnknown
)

// String returns "no", "yes" or "unknown".
func (r RunState) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	default:
		return "unknown"
	}
}
