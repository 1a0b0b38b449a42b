package bergamotrequest

// Reason is the one-word cause of a refusal or a retry, used in headers and counter names.
type Reason string

// Reasons of refusals and retries.
const (
	ReasonBody        Reason = "body"     // the request is malformed
	ReasonSize        Reason = "size"     // the body is too large
	ReasonRoute       Reason = "route"    // no such path or method
	ReasonKey         Reason = "key"      // the bearer key is missing or unknown
	ReasonAccess      Reason = "access"   // the workspace has no access to the pipeline or service
	ReasonModel       Reason = "model"    // no pipeline or adapter has that name
	ReasonService     Reason = "service"  // no service or call has that name
	ReasonIdempotency Reason = "idem"     // the idempotency key of a non-idempotent call is missing or too long
	ReasonBundle      Reason = "bundle"   // no bundle is in force yet
	ReasonStale       Reason = "stale"    // the configuration may be out of date
	ReasonDrain       Reason = "drain"    // the entry is shutting down
	ReasonDeadline    Reason = "deadline" // the deadline has passed or cannot be met
	ReasonRate        Reason = "rate"     // the workspace exceeded its request rate
	ReasonTokens      Reason = "tokens"   // the workspace exceeded its token rate
	ReasonFull        Reason = "full"     // the queue or a runner is full
	ReasonLimit       Reason = "limit"    // all runners that could serve the request are at the limits that they have named
	ReasonRoom        Reason = "room"     // the capacity left is expected to be needed by more urgent requests
	ReasonSuspect     Reason = "suspect"  // the request is quarantined because targets failed while running it
	ReasonDigest      Reason = "digest"   // the idempotency key was used with other content
	ReasonProgress    Reason = "progress" // the same call is in progress
	ReasonUnknown     Reason = "unknown"  // the outcome of the call is not known
	ReasonTable       Reason = "table"    // the table service does not respond
	ReasonObject      Reason = "object"   // the object store does not respond
	ReasonPath        Reason = "path"     // no path covers all layers of the model
	ReasonTarget      Reason = "target"   // a target failed
	ReasonPromise     Reason = "promise"  // a target answered with a status that promises that the request was not run, without proof
	ReasonStall       Reason = "stall"    // a target or connection stopped sending
	ReasonLink        Reason = "link"     // the way to the targets failed, not a target
	ReasonProof       Reason = "proof"    // a token lacks the proof that its layers ran once and in order
	ReasonBudget      Reason = "budget"   // the retry budget is exhausted
	ReasonMemory      Reason = "memory"   // the entry has no memory for the request
	ReasonUpload      Reason = "upload"   // the body did not arrive in time
	ReasonCancel      Reason = "cancel"   // the caller disconnected
	ReasonInternal    Reason = "internal" // an internal error of the entry
)

// Reasons returns every reason in a fixed order.
func Reasons() []Reason {
	return []Reason{
		ReasonBody, ReasonSize, ReasonRoute, ReasonKey, ReasonAccess, ReasonModel, ReasonService, ReasonIdempotency, ReasonBundle, ReasonStale,
		ReasonDrain, ReasonDeadline, ReasonRate, ReasonTokens, ReasonFull, ReasonLimit, ReasonRoom, ReasonSuspect, ReasonDigest,
		ReasonProgress, ReasonUnknown, ReasonTable, ReasonObject, ReasonPath, ReasonTarget, ReasonPromise, ReasonStall, ReasonLink,
		ReasonProof, ReasonBudget, ReasonMemory, ReasonUpload, ReasonCancel, ReasonInternal,
	}
}
