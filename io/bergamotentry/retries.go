package bergamotentry

import (
	"math/rand/v2"
	"time"

	"bergamotspur/core/bergamotretry"
)

// Bounds of retries.
const (
	retryRatio   = 0.1
	retryReserve = 3
	retryWindow  = 10 * time.Second
	retryKeys    = 16384 // more than the 11,000 workspaces and the 3,100 runners of the largest deployment
	backoffBase  = 20 * time.Millisecond
	backoffMax   = 2 * time.Second
)

// newRetries returns the budgets of the entry.
func (e *Entry) newRetries() *bergamotretry.Retries {
	budget := func() *bergamotretry.Budget {
		return &bergamotretry.Budget{Clock: e.clock, Ratio: retryRatio, Reserve: retryReserve, Window: retryWindow, MaxKeys: retryKeys}
	}
	return &bergamotretry.Retries{
		Clock: e.clock, Workspaces: budget(), Targets: budget(),
		Backoff: &bergamotretry.Backoff{Base: backoffBase, Max: backoffMax, Rand: rand.Float64},
	}
}
