package bergamotclock_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotspur/core/bergamotclock"
)

// TestRemoteBounds guards against bounds that do not hold the remote time for any delay of question and answer, since a
// lease that is taken over by them would have two holders.
func TestRemoteBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r bergamotclock.Remote
		offset := time.Duration(rapid.Int64Range(1, 1<<40).Draw(t, "offset"))
		now := time.Duration(0)
		pass := func(label string) { now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, label)) }
		for range 5 {
			sent := now
			pass("question")
			at := (now + offset).Truncate(time.Millisecond)
			pass("answer")
			r.Observe(sent, now, at)
			pass("wait")
			least, most, ok := r.Bounds(now)
			if at > 0 && (!ok || least > now+offset || most < now+offset) {
				t.Fatalf("%v is not between %v and %v", now+offset, least, most)
			}
		}
	})
}
