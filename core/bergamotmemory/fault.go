package bergamotmemory

// Fault is what happens to one operation.
type Fault int

// Faults of an operation. A read that does not succeed fails with the same error for each of them.
const (
	OK     Fault = iota
	Down         // an error without an effect
	Lost         // an error after the effect
	Late         // an error now, the effect later
	Double       // the effect now, and a second copy of the request later
	Reject       // the service answers that it does not accept the write
	Race         // the rival writes first
)
