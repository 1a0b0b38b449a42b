package bergamotdetour_test

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotdetour"
	"bergamotspur/core/bergamottest"
)

// centres are two data centres of three and two entries; hubs are the first two of each.
type centres struct {
	queries atomic.Int64
	answers map[string]bergamotdetour.Answer // that are not AnswerConnected, by name
}

func entryNamed(name string) bergamotdetour.Helper {
	return bergamotdetour.NewHelper(name, name, name[:1])
}

func (*centres) Hubs() []bergamotdetour.Branch {
	return []bergamotdetour.Branch{
		bergamotdetour.NewBranch(entryNamed("a1"), 3), bergamotdetour.NewBranch(entryNamed("a2"), 1),
		bergamotdetour.NewBranch(entryNamed("b1"), 1), bergamotdetour.NewBranch(entryNamed("b2"), 1),
	}
}

func (c *centres) List(_ context.Context, h bergamotdetour.Helper) (l bergamotdetour.Listing, err error) {
	c.queries.Add(1)
	a, listed := c.answers[h.Name()]
	switch {
	case a == bergamotdetour.AnswerSilent:
		return l, errGone
	case !listed:
		a = bergamotdetour.AnswerConnected
	}
	var followers []bergamotdetour.Branch
	if h.Name() == "a1" {
		followers = append(followers, bergamotdetour.NewBranch(entryNamed("a3"), 1), bergamotdetour.NewBranch(entryNamed("self"), 1))
	}
	return bergamotdetour.NewListing(a, followers, c.Hubs(), nil), nil
}

func newHelpers(d bergamotdetour.Directory) (*bergamotdetour.Helpers, *bergamotclock.Virtual) {
	clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
	last := 0
	h := &bergamotdetour.Helpers{Clock: clock, Name: "self", Centre: "a", Directory: d, Random: func(n int) int {
		last++
		return last % n
	}}
	h.Init()
	return h, clock
}

type choiceCase struct {
	listed map[string]bergamotdetour.Answer // at the draw, those that are not AnswerConnected
	drawn  bool                             // a draw comes before the answers
	answer map[string]bergamotdetour.Answer // to requests for connections
	wait   time.Duration                    // after them
	redraw bool                             // a draw comes then
	want   []string
}

var _ = ginkgo.Describe("the entries that may be asked", func() {
	type answers = map[string]bergamotdetour.Answer
	const (
		cut, full, silent, unreached = bergamotdetour.AnswerCut, bergamotdetour.AnswerFull, bergamotdetour.AnswerSilent, bergamotdetour.AnswerUnreached
		stopping, excluded, stale    = bergamotdetour.AnswerStopping, bergamotdetour.AnswerExcluded, bergamotdetour.AnswerStale
	)
	everyone := []string{"a1", "a2", "a3", "b1", "b2"}
	// Guards against connections that are asked for where they have just been declined, against helpers that are never asked again, and
	// against the data centres being used in the wrong order.
	bergamottest.Cases(map[string]choiceCase{
		"are the hubs of the own data centre before the first draw":  {want: []string{"a1", "a2"}},
		"are other hubs when those are cut":                          {answer: answers{"a1": cut, "a2": cut}, want: []string{"b1", "b2"}},
		"are all of the own data centre if there are enough":         {drawn: true, want: []string{"a1", "a2", "a3"}},
		"are those of all data centres if few are left":              {drawn: true, answer: answers{"a1": cut}, want: []string{"a2", "a3", "b1", "b2"}},
		"are those that are not cut by their own word":               {drawn: true, listed: answers{"a1": cut, "a2": stale, "a3": stopping}, want: []string{"b1", "b2"}},
		"are those behind a hub that is cut":                         {drawn: true, listed: answers{"a1": cut}, want: []string{"a2", "a3", "b1", "b2"}},
		"are those that answer":                                      {drawn: true, listed: answers{"a2": silent}, want: []string{"a1", "a3", "b1", "b2"}},
		"are the hubs if no entry answers":                           {drawn: true, listed: answers{"a1": silent, "a2": silent, "b1": silent, "b2": silent}, want: []string{"a1", "a2"}},
		"are none if all are cut":                                    {drawn: true, listed: answers{"a1": cut, "a2": cut, "a3": cut, "b1": cut, "b2": cut}},
		"are without one that is full":                               {drawn: true, answer: answers{"a1": full}, want: []string{"a2", "a3", "b1", "b2"}},
		"are with one that was full":                                 {drawn: true, answer: answers{"a1": full}, wait: 200 * time.Millisecond, want: []string{"a1", "a2", "a3"}},
		"are with one that was cut when it says that it is no more":  {drawn: true, answer: answers{"a1": cut, "b1": cut}, wait: 100 * time.Millisecond, redraw: true, want: []string{"a1", "a2", "a3"}},
		"are without one that was silent, whatever it says":          {drawn: true, answer: answers{"a1": silent, "b1": silent}, wait: 100 * time.Millisecond, redraw: true, want: []string{"a2", "a3", "b2"}},
		"are with one that was silent long ago":                      {drawn: true, answer: answers{"a1": silent, "b1": silent}, wait: time.Second, redraw: true, want: []string{"a1", "a2", "a3"}},
		"are those that do not stop":                                 {drawn: true, answer: answers{"a1": stopping}, wait: 4 * time.Second, redraw: true, want: []string{"a2", "a3", "b1", "b2"}},
		"are the same when the runner was not reached":               {drawn: true, answer: answers{"a1": unreached, "a2": excluded}, want: []string{"a1", "a2", "a3"}},
		"are none again when all have become cut":                    {drawn: true, answer: answers{"a1": cut, "a2": cut, "a3": cut, "b1": cut, "b2": cut}},
		"are found again at the next draw after all were cut before": {drawn: true, answer: answers{"a1": cut, "a2": cut, "a3": cut, "b1": cut, "b2": cut}, wait: 100 * time.Millisecond, redraw: true, want: []string{"a1", "a2", "a3"}},
	}, func(c choiceCase) {
		d := &centres{answers: c.listed}
		h, clock := newHelpers(d)
		h.Prepare(true)
		if c.drawn {
			h.Step(context.Background())
		}
		for _, name := range everyone {
			if a, ok := c.answer[name]; ok {
				h.Record(entryNamed(name), a, 0)
			}
		}
		clock.Advance(c.wait)
		if c.redraw {
			h.Step(context.Background())
		}
		got := map[string]bool{}
		for range 50 {
			if next, ok := h.Next(nil, 0); ok {
				got[next.Name()] = true
			}
		}
		gomega.Expect(h.Available()).To(gomega.Equal(len(c.want) > 0))
		gomega.Expect(got).To(gomega.HaveLen(len(c.want)))
		for _, name := range c.want {
			gomega.Expect(got).To(gomega.HaveKey(name))
		}
	})

	// Guards against an entry that reaches no runner and does not know it yet, which would be asked again and again.
	ginkgo.It("are asked last if they did not reach several runners in a row", func() {
		h, _ := newHelpers(&centres{})
		h.Prepare(true)
		h.Step(context.Background())
		for range 2 {
			h.Record(entryNamed("a1"), unreached, 0)
		}
		var asked []string
		for next, ok := h.Next(asked, 0); ok; next, ok = h.Next(asked, 0) {
			asked = append(asked, next.Name())
		}
		gomega.Expect(asked).To(gomega.HaveLen(len(everyone)))
		gomega.Expect(slices.Index(asked, "a1")).To(gomega.Equal(len(everyone) - 1))
	})
})

var _ = ginkgo.Describe("the pool of helpers", func() {
	// Guards against queries on calm days, and against a pool that is not filled when it is needed or outlives its use.
	ginkgo.It("is filled when a helper is asked for, and given up when none is any more", func() {
		d := &centres{}
		h, clock := newHelpers(d)
		drawn := make(chan bergamotdetour.Draw, 8)
		h.OnDraw = func(r bergamotdetour.Draw) { drawn <- r }
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- h.Run(ctx) }()
		clock.Advance(time.Minute)
		gomega.Expect(d.queries.Load()).To(gomega.BeZero())
		gomega.Expect(clock.PendingTimers()).To(gomega.BeZero())

		_, ok := h.Next(nil, 0)
		gomega.Expect(ok).To(gomega.BeTrue())
		var r bergamotdetour.Draw
		gomega.Eventually(drawn).Should(gomega.Receive(&r))
		gomega.Expect(r.Found()).To(gomega.Equal(5))
		gomega.Expect(r.Listed()).To(gomega.Equal(r.Asked()))
		gomega.Eventually(clock.PendingTimers).Should(gomega.BeNumerically(">", 0))
		gomega.Eventually(func() int {
			clock.Advance(2 * time.Second)
			return clock.PendingTimers()
		}).Should(gomega.BeZero())
		gomega.Expect(drawn).NotTo(gomega.Receive())

		h.Prepare(true)
		gomega.Eventually(drawn).Should(gomega.Receive())
		cancel()
		gomega.Eventually(ended).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
	})
})
