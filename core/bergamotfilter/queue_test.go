package bergamotfilter_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotadmission"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamottest"
)

// capacity is targets with one slot and a fixed time of a token.
type capacity struct{ token time.Duration }

func (capacity) Bound(bergamotroute.Want, time.Duration) bergamotroute.Bound {
	return bergamotroute.Bound{}
}

func (c capacity) Expect(bergamotroute.Want) (time.Duration, bool) { return c.token, c.token > 0 }

// growing is targets whose slots a test changes.
type growing struct{ slots atomic.Int64 }

func (g *growing) Bound(bergamotroute.Want, time.Duration) bergamotroute.Bound {
	return bergamotroute.NewBound(1, float64(g.slots.Load()))
}

func (*growing) Expect(bergamotroute.Want) (time.Duration, bool) { return time.Millisecond, true }

// answer is a handler that sends tokens and then waits for release, when there is one.
func answer(tokens int, entered chan<- string, release <-chan struct{}) bergamotchain.Handler {
	return bergamotchain.HandlerFunc(func(ctx context.Context, x *bergamotchain.Exchange) error {
		for n := range tokens {
			if err := x.Sink().Token(ctx, bergamotrequest.NewToken(n, n, "", n == tokens-1)); err != nil {
				return err
			}
		}
		if entered != nil {
			entered <- x.Request().ID()
			<-release
		}
		return nil
	})
}

func sinkExchange(change func(s *bergamotrequest.Spec)) *bergamotchain.Exchange {
	spec := baseSpec()
	change(&spec)
	x := newExchange(spec)
	x.SetSink(bergamottest.DiscardSink{})
	return x
}

func loadChain(last bergamotchain.Handler, clock *bergamotclock.Virtual, f bergamotchain.Filter) bergamotchain.Handler {
	return bergamotchain.NewChain(last, bergamotfilter.Identify{}, bergamotfilter.Resolve{}, &bergamotfilter.Deadline{Clock: clock}, f)
}

func newQueue(clock *bergamotclock.Virtual, token time.Duration, most int) *bergamotfilter.Queue {
	return &bergamotfilter.Queue{
		Clock: clock, Capacity: capacity{token}, Lengths: bergamotadmission.NewLengths(),
		Peers: bergamotadmission.Alone{}, Most: most, Age: time.Second,
	}
}

type queueCase struct {
	token  time.Duration // expected time of a token
	most   int           // requests that may wait
	cancel bool          // the caller goes away while the request waits
	want   bergamotrequest.Reason
}

var _ = ginkgo.Describe("Queue", func() {
	// Guards against requests that wait for nothing, and against a rejection that leaves open whether it ran.
	bergamottest.Cases(map[string]queueCase{
		"rejects what cannot meet its deadline": {10 * time.Second, 10, false, bergamotrequest.ReasonDeadline},
		"rejects beyond the bound":              {time.Millisecond, 0, false, bergamotrequest.ReasonFull},
		"frees the place of a caller that left": {time.Millisecond, 10, true, bergamotrequest.ReasonCancel},
	}, func(c queueCase) {
		clock := bergamotclock.NewVirtual(epoch)
		q := newQueue(clock, c.token, c.most)
		entered, release := make(chan string, 2), make(chan struct{})
		first := make(chan error, 1)
		if c.want != bergamotrequest.ReasonDeadline {
			go func() {
				first <- loadChain(answer(1, entered, release), clock, q).Handle(context.Background(), sinkExchange(func(*bergamotrequest.Spec) {}))
			}()
			<-entered
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		ran := false
		go func() {
			done <- loadChain(reached(&ran), clock, q).Handle(ctx, sinkExchange(func(s *bergamotrequest.Spec) { s.ID = "r2" }))
		}()
		if c.cancel {
			gomega.Eventually(func() int { return q.Waiting("care") }).Should(gomega.Equal(1))
			cancel()
		}
		bergamottest.ExpectRefusal(<-done, c.want, bergamotrequest.RunNo)
		gomega.Expect(ran).To(gomega.BeFalse())
		gomega.Expect(q.Waiting("care")).To(gomega.BeZero())
		close(release)
		if c.want != bergamotrequest.ReasonDeadline {
			gomega.Expect(<-first).To(gomega.Succeed())
		}
	})

	// Guards against a rate that counts requests, or that never falls.
	ginkgo.It("measures the tokens that callers got", func() {
		clock := bergamotclock.NewVirtual(epoch)
		q := newQueue(clock, time.Millisecond, 1)
		gomega.Expect(loadChain(answer(100, nil, nil), clock, q).Handle(context.Background(), sinkExchange(func(*bergamotrequest.Spec) {}))).To(gomega.Succeed())
		gomega.Expect(q.Rate("care")).To(gomega.BeNumerically("~", 10, 0.1))
		clock.Advance(time.Minute)
		gomega.Expect(q.Rate("care")).To(gomega.BeNumerically("<", 0.1))
	})

	// Guards against service calls that wait for slots of models.
	ginkgo.It("passes service calls", func() {
		clock, called := bergamotclock.NewVirtual(epoch), false
		x := sinkExchange(service("pickup", "book", "k"))
		gomega.Expect(loadChain(reached(&called), clock, newQueue(clock, time.Hour, 1)).Handle(context.Background(), x)).To(gomega.Succeed())
		gomega.Expect(called).To(gomega.BeTrue())
	})
})

type limitCase struct {
	requests int
	tokens   int // generated by each
	want     bergamotrequest.Reason
}

var _ = ginkgo.Describe("Limit", func() {
	// Guards against limits that count expected tokens instead of generated ones. The workspace has the default
	// limits of 10 requests and 1,000 tokens a second, with a burst of 2 s.
	bergamottest.Cases(map[string]limitCase{
		"passes requests within the limits":   {20, 1, ""},
		"rejects requests beyond the rate":    {21, 1, bergamotrequest.ReasonRate},
		"rejects once the tokens are used up": {12, 300, bergamotrequest.ReasonTokens},
	}, func(c limitCase) {
		clock := bergamotclock.NewVirtual(epoch)
		f := &bergamotfilter.Limit{Clock: clock, Limiter: bergamotadmission.NewLimiter(), Lengths: bergamotadmission.NewLengths()}
		var err error
		for range c.requests {
			x := sinkExchange(func(s *bergamotrequest.Spec) { s.MaxTokens = 400 })
			err = loadChain(answer(c.tokens, nil, nil), clock, f).Handle(context.Background(), x)
		}
		if c.want == "" {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return
		}
		refusal := bergamotrequest.AsRefusal(err)
		bergamottest.ExpectRefusal(refusal, c.want, bergamotrequest.RunNo)
		gomega.Expect(refusal.RetryAfter()).To(gomega.BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("Queue", func() {
	// Guards against a burst that waits for the capacity of its first moment: without new arrivals nothing told the
	// queue that the targets had turned out to be faster, and 200 streams took 60 s instead of a few.
	ginkgo.It("grants waiting requests the capacity that was learned after their arrival", func() {
		clock, capacity := bergamotclock.NewVirtual(epoch), &growing{}
		capacity.slots.Store(1)
		q := newQueue(clock, time.Millisecond, 10)
		q.Capacity = capacity
		entered, first, rest := make(chan string, 3), make(chan struct{}), make(chan struct{})
		done := make(chan error, 3)
		send := func(id string, release chan struct{}) {
			done <- loadChain(answer(1, entered, release), clock, q).Handle(context.Background(),
				sinkExchange(func(s *bergamotrequest.Spec) { s.ID = id }))
		}
		go send("r1", first)
		<-entered
		go send("r2", rest)
		go send("r3", rest)
		gomega.Eventually(func() int { return q.Waiting("care") }).Should(gomega.Equal(2))
		capacity.slots.Store(100)
		clock.Advance(time.Second)
		close(first)
		gomega.Eventually(entered).Should(gomega.Receive())
		gomega.Eventually(entered).Should(gomega.Receive())
		close(rest)
		for range 3 {
			gomega.Eventually(done).Should(gomega.Receive(gomega.BeNil()))
		}
	})
})
