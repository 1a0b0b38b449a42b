package bergamotfilter

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"bergamotspur/core/bergamotadmission"
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotqueue"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	maxCapacityAge          = 250 * time.Millisecond // age after which the capacity of a model is recomputed
	tokensPerCapacityUpdate = 32                     // tokens of an answer between two checks of the age of the capacity
	maxTokenTime            = 51 * time.Millisecond  // p95 bound of the design on the time between two tokens
	slotDecayTime           = 30 * time.Second       // time in which slots retained after a loss of targets fall by 63 %
	longFactor              = 4.0                    // a request is long if its expected tokens exceed the mean of its model by this factor
)

// PathEstimator estimates what the targets can do for a pipeline.
type PathEstimator interface {
	MaxFlow(w bergamotroute.Query, limit time.Duration) bergamotroute.MaxFlow
	ExpectedTokenTime(w bergamotroute.Query) (token time.Duration, ok bool)
}

// Queue makes requests for pipelines wait for a slot and schedules them fairly between workspaces.
type Queue struct {
	Clock         bergamotqueue.Clock
	PathEstimator PathEstimator
	Lengths       *bergamotadmission.Lengths
	Peers         bergamotadmission.Peers
	MaxWaiting    int           // maximum of requests that wait for one model
	AgingPeriod   time.Duration // each such period of waiting raises the priority of a request by one

	mu      sync.Mutex
	byModel map[string]*modelQueue
}

// modelQueue is the queue of one model.
type modelQueue struct {
	gate          *bergamotqueue.Gate
	refreshed     time.Time
	retainedSlots float64 // slots of the last capacity; after a loss of targets they decrease gradually
	tokenRate     tokenRate
}

// modelPrefix keeps the mean lengths of models apart from those of pipelines, which share one estimator.
const modelPrefix = "model "

// Name returns "queue".
func (f *Queue) Name() string { return "queue" }

// Filter waits for a slot and passes the exchange on. It refuses a request at once if the queue is full or the deadline
// cannot be met; a refused request was not run.
func (f *Queue) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	if x.Request().Kind() == bergamotrequest.KindService {
		return next.Handle(ctx, x)
	}
	gate, job := f.Prepare(x)
	if err := gate.Enter(ctx, job); err != nil {
		return f.refusalFor(err)
	}
	requirement := pathRequirement(x)
	tokenRate := f.tokenRate(x.Pipeline().Model().Name())
	m := &tokenCounter{Sink: x.Sink(), onToken: func(tokens int) {
		tokenRate.addToken(f.Clock.Now())
		if tokens%tokensPerCapacityUpdate == 0 {
			f.gate(requirement, f.Clock.Now())
		}
		if tokens == int(longFactor*job.Cost())+1 {
			gate.MarkLong(job)
		}
	}}
	x.SetSink(m)
	defer func() {
		// Update the capacity for the requests that already wait, since no new one may arrive to trigger it.
		f.gate(requirement, f.Clock.Now())
		gate.Leave(job, float64(m.tokens))
	}()
	err := next.Handle(ctx, x)
	if err == nil {
		f.Lengths.Observe(modelPrefix+x.Pipeline().Model().Name(), "", m.tokens)
	}
	return err
}

// Waiting returns the number of requests that wait for a model.
func (f *Queue) Waiting(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.byModel[model]; ok {
		return l.gate.Waiting()
	}
	return 0
}

// Prepare returns the gate for an exchange and the job to enter it with.
func (f *Queue) Prepare(x *bergamotchain.Exchange) (*bergamotqueue.Gate, *bergamotqueue.Job) {
	p, w, now := x.Pipeline(), x.Workspace(), f.Clock.Now()
	requirement := pathRequirement(x)
	gate := f.gate(requirement, now)
	cost := f.Lengths.Expect(p.Name(), w.Name(), min(x.Request().MaxTokens(), p.MaxAnswerTokens()))
	latestStart := x.Deadline()
	if tokenTime, ok := f.PathEstimator.ExpectedTokenTime(requirement); ok {
		latestStart = latestStart.Add(-time.Duration(cost * float64(tokenTime)))
	}
	class := bergamotqueue.ClassShort
	if cost > longFactor*f.Lengths.ExpectForPipeline(modelPrefix+p.Model().Name()) {
		class = bergamotqueue.ClassLong
	}
	return gate, bergamotqueue.NewJob(bergamotqueue.Spec{
		Workspace: w.Name(), Weight: w.Weight(), Priority: p.Priority(), Class: class, Cost: cost, Arrived: now, LatestStart: latestStart,
	})
}

// pathRequirement returns what a path must satisfy for any request for the pipeline of the exchange.
func pathRequirement(x *bergamotchain.Exchange) bergamotroute.Query {
	return bergamotroute.Query{Pipeline: x.Pipeline(), Fleet: x.View().Fleet(), Bundle: x.View().Bundle()}
}

// gate returns the gate of a model and updates its capacity if that is out of date.
func (f *Queue) gate(w bergamotroute.Query, now time.Time) *bergamotqueue.Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byModel == nil {
		f.byModel = map[string]*modelQueue{}
	}
	name := w.Pipeline.Model().Name()
	l, ok := f.byModel[name]
	if !ok {
		l = &modelQueue{gate: bergamotqueue.NewGate(f.Clock, f.MaxWaiting, f.AgingPeriod)}
		f.byModel[name] = l
	}
	if !ok || now.Sub(l.refreshed) >= maxCapacityAge {
		l.gate.SetCapacity(f.smoothedCapacity(l, w, now))
		l.refreshed = now
	}
	return l.gate
}

// smoothedCapacity returns the capacity of the entry, but lowers the slots only gradually after a loss of targets. The
// planned token time is half of what the deadline allows; this reserve lets the remaining targets run larger batches
// for a while.
func (f *Queue) smoothedCapacity(l *modelQueue, w bergamotroute.Query, now time.Time) bergamotqueue.EntryCapacity {
	p := f.EntryCapacity(w)
	decay := math.Exp(-float64(now.Sub(l.refreshed)) / float64(slotDecayTime))
	if retained := l.retainedSlots * decay; retained > p.Slots {
		maxSlots := f.PathEstimator.MaxFlow(w, 2*p.TokenTime).Slots() / float64(max(f.Peers.Live(), 1))
		retained = max(min(retained, maxSlots), p.Slots)
		p.TokenTime = time.Duration(float64(p.TokenTime) * retained / p.Slots)
		p.Slots = retained
	}
	l.retainedSlots = p.Slots
	return p
}

// EntryCapacity returns the capacity of this entry for a pipeline: its part of the slots of the bound, adjusted by the
// weights of the policy. The weight of recovery keeps slots free for the sequences of lost targets, that of blocking
// reserves slots for short requests, and that of crest (service at peak demand) requires a larger margin to the
// deadline.
func (f *Queue) EntryCapacity(w bergamotroute.Query) bergamotqueue.EntryCapacity {
	p := w.Pipeline
	tokenTime := PlannedTokenTime(p)
	slots := f.PathEstimator.MaxFlow(w, tokenTime).Slots() / float64(max(f.Peers.Live(), 1))
	recovery, crest, blocking := weights(w.Bundle.Policy())
	return bergamotqueue.EntryCapacity{
		Slots: slots * (1 - 0.2*recovery), TokenTime: tokenTime, ShortReserve: 0.1 + 0.4*blocking, Margin: 1 + crest,
	}
}

// PlannedTokenTime returns the time per token that is planned for a pipeline: half of what the deadline allows for the
// longest answer, limited to the maximum of the design.
func PlannedTokenTime(p bergamotbundle.Pipeline) time.Duration {
	return min(p.Deadline()/time.Duration(2*p.MaxAnswerTokens()), maxTokenTime)
}

// weights returns the weights of the policy, scaled so that all four add up to 1.
func weights(p bergamotbundle.Policy) (recovery, crest, blocking float64) {
	sum := p.Throughput() + p.Recovery() + p.Peak() + p.Blocking()
	if sum <= 0 {
		return 0, 0, 0
	}
	return p.Recovery() / sum, p.Peak() / sum, p.Blocking() / sum
}

// Rate returns the tokens per second that callers of a model received recently.
func (f *Queue) Rate(model string) float64 { return f.tokenRate(model).rate(f.Clock.Now()) }

func (f *Queue) tokenRate(model string) *tokenRate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.byModel[model]; ok {
		return &l.tokenRate
	}
	return &tokenRate{}
}

func (f *Queue) refusalFor(err error) error {
	switch {
	case errors.Is(err, bergamotqueue.ErrFull):
		return bergamotrequest.Refuse(bergamotrequest.ReasonFull, "the queue is full").WithRetryAfter(time.Second)
	case errors.Is(err, bergamotqueue.ErrDeadline), errors.Is(err, context.DeadlineExceeded):
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline cannot be met").WithRetryAfter(time.Second)
	default:
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away")
	}
}
