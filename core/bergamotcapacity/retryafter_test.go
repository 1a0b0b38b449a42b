package bergamotcapacity

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRetryAfter guards against a crowd of refused callers that returns at once, in another order than that of urgency, too early
// or when too little of its time is left.
func TestRetryAfter(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	a := NewAdmission(DefaultThresholds())
	a.Publish(now, estimateFor(now, 4, 4000, 1))
	for range 100 { // running requests release 1,000 tokens a second, of which urgent ones take 200
		d, _ := a.Arrive(now, Request{Priority: 0, Tokens: 4})
		d.charge = 20
		a.inFlight += 16
		a.End(now, d)
	}
	const left = 9 * time.Second
	inFirstTenth, sums := 0, map[int]time.Duration{}
	const callers = 60
	for range callers {
		for _, priority := range []int{1, 2} {
			d, ticket := a.Arrive(now, Request{Workspace: "w", Priority: priority, Tokens: 10})
			if ticket == nil {
				t.Fatalf("%v", d)
			}
			d = a.Expire(now, ticket)
			after := a.RetryAfter(now, d, left, random.Float64())
			if after < 300*time.Millisecond || after > left/3 {
				t.Fatalf("a caller returns after %v", after)
			}
			if after < 570*time.Millisecond { // a tenth of the time from 0.3 s to 3 s
				inFirstTenth++
			}
			sums[priority] += after
		}
	}
	if inFirstTenth > callers {
		t.Errorf("%d of %d callers return within the first tenth of the time", inFirstTenth, 2*callers)
	}
	if sums[1] >= sums[2] {
		t.Errorf("less urgent callers return after %v on average, more urgent ones after %v", sums[2]/callers, sums[1]/callers)
	}
	for _, left := range []time.Duration{-time.Second, 0, time.Millisecond, 600 * time.Millisecond, time.Hour} {
		d, ticket := a.Arrive(now, Request{Workspace: "w", Priority: 2, Tokens: 10})
		d = a.Expire(now, ticket)
		if after := a.RetryAfter(now, d, left, random.Float64()); after < 0 || after > max(left/3, 0) {
			t.Errorf("a caller with %v left returns after %v", left, after)
		}
	}
}
