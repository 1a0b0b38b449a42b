package bergamotrelay

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
)

// startingEntry is a clock that jumps over each wait, and the control state of an entry that knows its configuration from
// a time on.
type startingEntry struct {
	now     time.Time
	readyAt time.Time
}

func (e *startingEntry) Now() time.Time { return e.now }

func (e *startingEntry) After(d time.Duration) <-chan time.Time {
	e.now = e.now.Add(d)
	ch := make(chan time.Time, 1)
	ch <- e.now
	return ch
}

func (e *startingEntry) View() *bergamotcluster.View {
	if e.now.Before(e.readyAt) {
		return bergamotcluster.NewState().View()
	}
	return bergamotcluster.NewView(bergamotconfig.New(bergamotconfig.Spec{Version: 1}), 0, bergamotfleet.NewFleet(nil))
}

var _ = ginkgo.Describe("a request at an entry that starts", func() {
	// Guards against refusals in the first 100 to 400 ms after all entries were killed (olilaud-large trouble-1: 166
	// requests), whose callers came back after 300 ms and found another entry that had just started.
	ginkgo.It("waits for the first configuration", func() {
		e := &startingEntry{now: now, readyAt: now.Add(360 * time.Millisecond)}
		w := &StartupWait{Clock: e, Views: e}
		gomega.Expect(w.View(context.Background()).Config()).NotTo(gomega.BeNil())
		gomega.Expect(e.now.Sub(now)).To(gomega.BeNumerically("<=", 370*time.Millisecond))
	})

	// Guards against requests that are held although their callers could try elsewhere.
	ginkgo.It("waits for no longer than 600 ms", func() {
		e := &startingEntry{now: now, readyAt: now.Add(time.Hour)}
		w := &StartupWait{Clock: e, Views: e}
		gomega.Expect(w.View(context.Background()).Config()).To(gomega.BeNil())
		gomega.Expect(e.now.Sub(now)).To(gomega.BeNumerically("~", 600*time.Millisecond, 10*time.Millisecond))
	})
})
