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

// failOnToxicRequests makes every engine of the first stage fail at the third token of a request whose id starts with
// toxic. The first failure occurs once all innocent requests run on that engine; whole is then published. failed
// returns the number of engines that failed.
func failOnToxicRequests(h *harness, whole *bergamotcontrol.View, hang bool) (failed func() int) {
	var mu sync.Mutex
	failedEngines, seenInnocents := map[string]bool{}, map[string]bool{}
	for name, e := range h.engines {
		if name[0] != 'a' {
			continue
		}
		e.StepTime = 2 * time.Millisecond
		e.SetHook(func(step bergamotfake.StepRecord) bergamotfake.Action {
			mu.Lock()
			defer mu.Unlock()
			if !strings.HasPrefix(step.Session, "toxic") {
				seenInnocents[step.Session] = true
				return bergamotfake.ActionRun
			}
			if step.Position < 2 || len(seenInnocents) < innocentRequests {
				return bergamotfake.ActionRun
			}
			failedEngines[name] = true
			h.view.Store(whole)
			if !hang {
				return bergamotfake.ActionCrash
			}
			mu.Unlock()
			defer mu.Lock()
			<-h.release
			return bergamotfake.ActionRun
		})
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(failedEngines)
	}
}

// refusalReason returns the reason of the refusal that err wraps, or an empty one.
func refusalReason(err error) bergamotrequest.Reason {
	var f *bergamotrequest.Refusal
	if errors.As(err, &f) {
		return f.Reason()
	}
	return ""
}

// innocentRequests is the number of requests that run at the same time as the toxic one.
const innocentRequests = 12

var _ = ginkgo.Describe("a request that makes targets fail", func() {
	bergamottest.Cases(map[string]struct{ hang bool }{
		"by a crash costs at most 2 of 42 runners": {false},
		"by a hang costs at most 2 of 42 runners":  {true},
	}, func(c struct{ hang bool }) {
		h := newHarness(14)
		defer h.close()
		whole := h.View()
		h.publishOnly("a00", "b00", "c00")
		failed := failOnToxicRequests(h, whole, c.hang)
		// Innocent requests in the same batches must get complete answers and no refusal.
		errs := make(chan error, innocentRequests)
		for n := range innocentRequests {
			go func() { errs <- h.checkAnswer(fmt.Sprintf("innocent-%d", n), fmt.Sprintf("care for board %d", n)) }()
		}
		_, err := h.send(h.session, h.suspects, "toxic-1", "poison")
		gomega.Expect(refusalReason(err)).To(gomega.Equal(bergamotrequest.ReasonSuspect))
		for range innocentRequests {
			gomega.Expect(<-errs).To(gomega.Succeed())
		}
		gomega.Expect(failed()).To(gomega.Equal(2))
		// Each innocent request was in the batch of the first failure.
		gomega.Expect(h.metrics.Value("retry.target") + h.metrics.Value("retry.stall")).To(gomega.BeNumerically(">=", innocentRequests+2))

		// The same prompt with another id is refused, and no engine ran it, as the refusal says.
		_, err = h.send(h.session, h.suspects, "toxic-2", "poison")
		gomega.Expect(refusalReason(err)).To(gomega.Equal(bergamotrequest.ReasonSuspect))
		gomega.Expect(bergamotrequest.AsRefusal(err).RunState()).To(gomega.Equal(bergamotrequest.RunNo))
		gomega.Expect(h.hasRun("toxic-2")).To(gomega.BeFalse())

		// Another entry refuses it too after merging the ledger.
		other := bergamotsuspect.NewLedger(bergamotclock.Real{})
		other.Merge(h.suspects.Export())
		session := h.newSession(other)
		defer session.Wait()
		_, err = h.send(session, other, "toxic-3", "poison")
		gomega.Expect(refusalReason(err)).To(gomega.Equal(bergamotrequest.ReasonSuspect))
		gomega.Expect(h.hasRun("toxic-3")).To(gomega.BeFalse())
		gomega.Expect(failed()).To(gomega.Equal(2))

		// The records of innocent requests are cleared; only the confirmed one of the toxic request is left.
		gomega.Expect(h.suspects.Len()).To(gomega.Equal(1))
	})
})
