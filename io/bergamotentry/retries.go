package bergamotentry

import (
	"math/rand/v2"
	"time"

	"bergamotspur/core/bergamotretry"
)

// Retry budgets and backoff.
const (
	retryRatio   = 0.1
	retryReserve = 3
	retryWindow  = 10 * time.Second
	maxRetryKeys = 16384 // more than the 11,000 workspaces and the 3,100 runners of the largest deployment
	backoffBase  = 20 * time.Millisecond
	backoffMax   = 2 * time.Second
)

// newRetries returns the retry budgets and the backoff of the entry.
func (e *Entry) newRetries() *bergamotretry.Retries {
	budget := func() *bergamotretry.Budget {
		return &bergamotretry.Budget{Clock: e.clock, Ratio: retryRatio, Reserve: retryReserve, Window: retryWindow, MaxKeys: maxRetryKeys}
	}
	return &bergamotretry.Retries{
		Clock: e.clock, Workspaces: budget(), Targets: budget(),
		Backoff: &bergamotretry.Backoff{Base: backoffBase, Max: backoffMax, Rand: rand.Float64},
	}
}
