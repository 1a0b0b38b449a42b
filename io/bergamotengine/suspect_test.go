package bergamotengine_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotsuspect"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// toxic makes every engine of the first stage fail at the third token of requests whose id says so. The first
// failure waits until all innocent requests run on that engine, and then the whole fleet is published.
func toxic(r *rig, whole *bergamotcontrol.View, hang bool) (failed func() int) {
	var mu sync.Mutex
	lost, seen := map[string]bool{}, map[string]bool{}
	for name, e := range r.engines {
		if name[0] != 'a' {
			continue
		}
		e.StepTime = 2 * time.Millisecond
		e.SetHook(func(at bergamotfake.Entry) bergamotfake.Action {
			mu.Lock()
			defer mu.Unlock()
			if !strings.HasPrefix(at.Session, "toxic") {
				seen[at.Session] = true
				return bergamotfake.ActionRun
			}
			if at.Position < 2 || len(seen) < innocents {
				return bergamotfake.ActionRun
			}
			lost[name] = true
			r.fleet.Store(whole)
			if !hang {
				return bergamotfake.ActionDie
			}
			mu.Unlock()
			defer mu.Lock()
			<-r.release
			return bergamotfake.ActionRun
		})
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(lost)
	}
}

// reason returns the reason of a refusal in the chain of an error, empty for none.
func reason(err error) bergamotrequest.Reason {
	var f *bergamotrequest.Refusal
	if errors.As(err, &f) {
		return f.Reason()
	}
	return ""
}

// innocents is how many other requests run beside the one that makes targets fail.
const innocents = 12

var _ = ginkgo.Describe("a request that makes targets fail", func() {
	bergamottest.Cases(map[string]struct{ hang bool }{
		"by a crash costs at most 2 of 42 runners": {false},
		"by a hang costs at most 2 of 42 runners":  {true},
	}, func(c struct{ hang bool }) {
		r := newRig(14)
		defer r.close()
		whole := r.View()
		r.limit("a00", "b00", "c00")
		lost := toxic(r, whole, c.hang)
		// Innocent requests in the same batches must get their whole answers and must not be rejected.
		errs := make(chan error, innocents)
		for n := range innocents {
			go func() { errs <- r.check(fmt.Sprintf("innocent-%d", n), fmt.Sprintf("care for board %d", n)) }()
		}
		_, err := r.ask(r.session, r.suspects, "toxic-1", "poison")
		gomega.Expect(reason(err)).To(gomega.Equal(bergamotrequest.ReasonSuspect))
		for range innocents {
			gomega.Expect(<-errs).To(gomega.Succeed())
		}
		gomega.Expect(lost()).To(gomega.Equal(2))
		// Each innocent request was in the batch of the first failure.
		gomega.Expect(r.metrics.Value("retry.target") + r.metrics.Value("retry.stall")).To(gomega.BeNumerically(">=", innocents+2))

		// A resend with another id is recognised, and its "not run" holds.
		_, err = r.ask(r.session, r.suspects, "toxic-2", "poison")
		gomega.Expect(reason(err)).To(gomega.Equal(bergamotrequest.ReasonSuspect))
		gomega.Expect(bergamotrequest.AsRefusal(err).RunState()).To(gomega.Equal(bergamotrequest.RunNo))
		gomega.Expect(r.ran("toxic-2")).To(gomega.BeFalse())

		// Another entry recognises it once the records are exchanged.
		other := bergamotsuspect.NewLedger(bergamotclock.Real{})
		other.Merge(r.suspects.Export())
		session := r.newSession(other)
		defer session.Wait()
		_, err = r.ask(session, other, "toxic-3", "poison")
		gomega.Expect(reason(err)).To(gomega.Equal(bergamotrequest.ReasonSuspect))
		gomega.Expect(r.ran("toxic-3")).To(gomega.BeFalse())
		gomega.Expect(lost()).To(gomega.Equal(2))

		// Innocent requests are cleared: only the confirmed record is left.
		gomega.Expect(r.suspects.Len()).To(gomega.Equal(1))
	})
})
