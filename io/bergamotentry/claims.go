package bergamotentry

import (
	"crypto/rand"
	"time"

	"bergamotspur/core/bergamotclaim"
)

// Bounds of claims.
const (
	claimTimeout = 2 * time.Second
	claimMargin  = 5 * time.Second
	claimLimit   = 16 << 10 // keeps rows small for a table that also serves bundle heads and leases
	claimMemory  = 16 << 20
)

// newClaims returns the at-most-once calls of the entry.
func (e *Entry) newClaims() *bergamotclaim.Claims {
	c := &bergamotclaim.Claims{
		Table: e.adapters.table, Objects: e.adapters.objects, Clock: e.clock, Counter: e.metrics,
		NewAttemptID: func() string { return e.Setting.Name() + "-" + rand.Text() },
		Backoff:      e.retries.Backoff.Delay, Timeout: claimTimeout, Margin: claimMargin, MaxInlineBytes: claimLimit, MaxQueuedBytes: claimMemory,
	}
	c.Init()
	return c
}
