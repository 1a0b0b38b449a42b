package bergamotmemory

// Fault is a fault injected into one operation.
type Fault int

// Faults of an operation. They describe writes; a read fails with ErrNoReply for any fault but OK.
const (
	OK         Fault = iota
	Down             // the write returns an error and has no effect
	ReplyLost        // the write takes effect and returns an error
	Delayed          // the write returns an error and takes effect later
	Duplicated       // the write takes effect, and a duplicate of the request arrives later
	Rejected         // the service rejects the write
	RivalFirst       // FaultInjector.Rival writes first
)
