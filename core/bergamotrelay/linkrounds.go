package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

const (
	// maxLinkRounds is how often a request that reached no runner is tried at all of them again while the links of the entry are in doubt, and
	// linkRoundDelay the time before that. By then the entry has found others over which it reaches them, or knows that there are none.
	maxLinkRounds  = 3
	linkRoundDelay = 60 * time.Millisecond
)

// linkRounds counts how often a request was tried at all runners again, since it may have reached none because of the links of the entry.
type linkRounds int

// await waits for a moment and reports whether the request may be tried again at all runners, none of which has got it. f is the failure of the
// last attempt, nil for none.
func (n *linkRounds) await(ctx context.Context, clock Clock, x *Exchange, f *Failure, possibleRuns int, mayLackLinks func() bool) bool {
	isUnreached := f != nil && possibleRuns == 0 && f.runState == bergamotrequest.RunNo && f.reason == bergamotrequest.ReasonTarget
	if !isUnreached || mayLackLinks == nil || !mayLackLinks() || *n >= maxLinkRounds {
		return false
	}
	*n++
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(linkRoundDelay):
	}
	x.Trace().AddStep("tried again, since the links are in doubt")
	return true
}
