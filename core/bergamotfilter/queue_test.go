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

// fixedEstimator reports no slots, so that the queue uses its minimum of one, and a fixed time per token.
type fixedEstimator struct{ tokenTime time.Duration }

func (fixedEstimator) MaxFlow(bergamotroute.Query, time.Duration) bergamotroute.MaxFlow {
	return bergamotroute.MaxFlow{}
}

func (c fixedEstimator) ExpectedTokenTime(bergamotroute.Query) (time.Duration, bool) {
	return c.tokenTime, c.tokenTime > 0
}

// growingEstimator reports a number of slots that the test changes.
type growingEstimator struct{ slots atomic.Int64 }

func (g *growingEstimator) MaxFlow(bergamotroute.Query, time.Duration) bergamotroute.MaxFlow {
	return bergamotroute.NewMaxFlow(1, float64(g.slots.Load()))
}

func (*growingEstimator) ExpectedTokenTime(bergamotroute.Query) (time.Duration, bool) {
	return time.Millisecond, true
}

// answerTokens returns a handler that sends tokens and then, unless entered is nil, waits for release.
func answerTokens(tokens int, entered chan<- string, release <-chan struct{}) bergamotchain.Handler {
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

func exchangeWithSink(change func(s *bergamotrequest.Spec)) *bergamotchain.Exchange {
	spec := baseSpec()
	change(&spec)
	x := newExchange(spec)
	x.SetSink(bergamottest.DiscardSink{})
	return x
}

func chainWith(last bergamotchain.Handler, clock *bergamotclock.Virtual, f bergamotchain.Filter) bergamotchain.Handler {
	return bergamotchain.NewChain(last, bergamotfilter.Authenticator{}, bergamotfilter.Resolver{}, &bergamotfilter.Deadline{Clock: clock}, f)
}

func newQueue(clock *bergamotclock.Virtual, tokenTime time.Duration, maxWaiting int) *bergamotfilter.Queue {
	return &bergamotfilter.Queue{
		Clock: clock, PathEstimator: fixedEstimator{tokenTime}, Lengths: bergamotadmission.NewLengths(),
		Peers: bergamotadmission.NoPeers{}, MaxWaiting: maxWaiting, AgingPeriod: time.Second,
	}
}

type queueCase struct {
	tokenTime  time.Duration // expected time per token, unknown if 0
	maxWaiting int           // requests that may wait
	cancel     bool          // the caller disconnects while the request waits
	want       bergamotrequest.Reason
}

var _ = ginkgo.Describe("Queue", func() {
	// Guards against requests that wait in vain, and against a refusal that does not say that the request was not run.
	bergamottest.Cases(map[string]queueCase{
		"refuses a request that cannot meet its deadline":    {10 * time.Second, 10, false, bergamotrequest.ReasonDeadline},
		"refuses a request when the queue is full":           {time.Millisecond, 0, false, bergamotrequest.ReasonFull},
		"dequeues the request of a caller that disconnected": {time.Millisecond, 10, true, bergamotrequest.ReasonCancel},
	}, func(c queueCase) {
		clock := bergamotclock.NewVirtual(epoch)
		q := newQueue(clock, c.tokenTime, c.maxWaiting)
		entered, release := make(chan string, 2), make(chan struct{})
		first := make(chan error, 1)
		if c.want != bergamotrequest.ReasonDeadline {
			go func() {
				first <- chainWith(answerTokens(1, entered, release), clock, q).Handle(context.Background(), exchangeWithSink(func(*bergamotrequest.Spec) {}))
			}()
			<-entered
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		ran := false
		go func() {
			done <- chainWith(recordCall(&ran), clock, q).Handle(ctx, exchangeWithSink(func(s *bergamotrequest.Spec) { s.ID = "r2" }))
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

	// Guards against a rate that counts requests instead of tokens, or that never falls.
	ginkgo.It("measures the tokens that callers received", func() {
		clock := bergamotclock.NewVirtual(epoch)
		q := newQueue(clock, time.Millisecond, 1)
		gomega.Expect(chainWith(answerTokens(100, nil, nil), clock, q).Handle(context.Background(), exchangeWithSink(func(*bergamotrequest.Spec) {}))).To(gomega.Succeed())
		gomega.Expect(q.Rate("care")).To(gomega.BeNumerically("~", 10, 0.1))
		clock.Advance(time.Minute)
		gomega.Expect(q.Rate("care")).To(gomega.BeNumerically("<", 0.1))
	})

	// Guards against service calls that wait for slots of a model.
	ginkgo.It("passes service calls", func() {
		clock, called := bergamotclock.NewVirtual(epoch), false
		x := exchangeWithSink(serviceCall("pickup", "book", "k"))
		gomega.Expect(chainWith(recordCall(&called), clock, newQueue(clock, time.Hour, 1)).Handle(context.Background(), x)).To(gomega.Succeed())
		gomega.Expect(called).To(gomega.BeTrue())
	})
})

type limitCase struct {
	requests int
	tokens   int // generated by each
	want     bergamotrequest.Reason
}

var _ = ginkgo.Describe("Limit", func() {
	// Guards against limits that count expected instead of generated tokens. The workspace has the default limits of 10
	// requests and 1,000 tokens per second, with a burst of 2 s.
	bergamottest.Cases(map[string]limitCase{
		"passes requests within the limits":            {20, 1, ""},
		"refuses requests beyond the rate":             {21, 1, bergamotrequest.ReasonRate},
		"refuses requests once the tokens are used up": {12, 300, bergamotrequest.ReasonTokens},
	}, func(c limitCase) {
		clock := bergamotclock.NewVirtual(epoch)
		f := &bergamotfilter.Limit{Clock: clock, Limiter: bergamotadmission.NewLimiter(), Lengths: bergamotadmission.NewLengths()}
		var err error
		for range c.requests {
			x := exchangeWithSink(func(s *bergamotrequest.Spec) { s.MaxTokens = 400 })
			err = chainWith(answerTokens(c.tokens, nil, nil), clock, f).Handle(context.Background(), x)
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
	// Guards against a burst that keeps the capacity of its first moment: without new arrivals, the queue did not learn
	// that the targets were faster than expected, and 200 streams took 60 s instead of a few.
	ginkgo.It("grants waiting requests slots that were added after their arrival", func() {
		clock, estimator := bergamotclock.NewVirtual(epoch), &growingEstimator{}
		estimator.slots.Store(1)
		q := newQueue(clock, time.Millisecond, 10)
		q.PathEstimator = estimator
		entered, first, rest := make(chan string, 3), make(chan struct{}), make(chan struct{})
		done := make(chan error, 3)
		send := func(id string, release chan struct{}) {
			done <- chainWith(answerTokens(1, entered, release), clock, q).Handle(context.Background(),
				exchangeWithSink(func(s *bergamotrequest.Spec) { s.ID = id }))
		}
		go send("r1", first)
		<-entered
		go send("r2", rest)
		go send("r3", rest)
		gomega.Eventually(func() int { return q.Waiting("care") }).Should(gomega.Equal(2))
		estimator.slots.Store(100)
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
