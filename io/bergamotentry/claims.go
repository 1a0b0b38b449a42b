package bergamotentry

import (
	"crypto/rand"
	"time"

	"bergamotspur/core/bergamotclaim"
)

// Bounds of claims.
const (
	claimTimeout       = 2 * time.Second
	claimMargin        = 5 * time.Second
	maxAnswerInRow     = 16 << 10 // bytes; keeps rows small for a table that also serves bundle heads and leases
	maxAnswersInMemory = 16 << 20 // bytes that may wait until they can be stored
)

// newClaims returns the claims of the entry, which run calls that may not be repeated at most once.
func (e *Entry) newClaims() *bergamotclaim.Claims {
	c := &bergamotclaim.Claims{
		Table: e.clients.table, Objects: e.clients.objects, Clock: e.clock, Counter: e.metrics,
		NewAttemptID: func() string { return e.Setting.Name() + "-" + rand.Text() },
		Backoff:      e.retries.Backoff.Delay, Timeout: claimTimeout, Margin: claimMargin, MaxInlineBytes: maxAnswerInRow, MaxQueuedBytes: maxAnswersInMemory,
	}
	c.Init()
	return c
}
