package bergamotclock_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotspur/core/bergamotclock"
)

// TestRemoteBounds guards against bounds that do not enclose the remote time for some delay of a request or its answer: a
// lease that is taken over too early because of them has two holders.
func TestRemoteBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r bergamotclock.Remote
		offset := time.Duration(rapid.Int64Range(1, 1<<40).Draw(t, "offset"))
		now := time.Duration(0)
		advance := func(label string) { now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, label)) }
		for range 5 {
			sent := now
			advance("question")
			at := (now + offset).Truncate(time.Millisecond)
			advance("answer")
			r.Observe(sent, now, at)
			advance("wait")
			earliest, latest, ok := r.Bounds(now)
			if at > 0 && (!ok || earliest > now+offset || latest < now+offset) {
				t.Fatalf("%v is not between %v and %v", now+offset, earliest, latest)
			}
		}
	})
}
